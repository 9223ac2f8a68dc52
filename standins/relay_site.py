"""A relay with a link to it, and a leader's links to workers through it."""

from dataclasses import dataclass, field

from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.cluster.link import WorkerFacts, WorkerLink
from gentianpulley.cluster.relay_payloads import PayloadShelf
from gentianpulley.cluster.relay_server import RelayParts, RelayServer
from gentianpulley.cluster.relay_table import RelayTable
from gentianpulley.cluster.relayed_link import RelayedLinks, RelayUse
from gentianpulley.cluster.relaying import RelayFacts
from gentianpulley.counters import Counters, create_counters
from gentianpulley.errors import StoreUnreachableError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import connect_kv_store
from gentianpulley.platform.worker_link import HttpWorkerLinks
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.site import free_port
from standins.tcp_proxy import TcpProxy

NARROW = InstanceCapacity(link_bytes_s=1)


@dataclass
class RelaySite:
    """One relay behind a link of its own; the leader's table knows it."""

    store: GridStore
    longest_slack_ms: int = 500
    counters: Counters = field(default_factory=create_counters)
    served: Counters = field(default_factory=create_counters)
    is_store_cut: bool = False

    def __post_init__(self) -> None:
        """Start the relay and learn of it."""
        log = EventLog()
        self.store_link = TcpProxy(self.store.port)
        store = connect_kv_store(
            HttpAddress(HOST, self.store_link.port), self.served
        )
        parts = RelayParts(
            HttpWorkerLinks(), PayloadShelf(store, log), self.served, log
        )
        self.server = RelayServer(HttpAddress(HOST, free_port()), parts)
        self.server.start()
        self.link = TcpProxy(self.server.address.port)
        address = HttpAddress(HOST, self.link.port)
        relay = RelayFacts('relay', 'a', str(address))
        self._relay = relay
        self.table = RelayTable('leader', NARROW, self._read, log)
        self.table.start()
        self._links = RelayedLinks(
            HttpWorkerLinks(self.longest_slack_ms),
            RelayUse(self.table, self.counters),
        )

    def connect(self, facts: WorkerFacts) -> WorkerLink:
        """Return a link that goes through the relay."""
        link = self._links.connect(facts)
        wait_until(lambda: self.table.usable)
        return link

    def relayed(self, kind: str, outcome: str = 'answered') -> int:
        """Return how many calls through the relay came to an outcome."""
        return self.counters.count(f'relayed_{kind}_{outcome}')

    def close(self) -> None:
        """Stop everything but the store."""
        self.table.stop()
        self.server.close()
        self.link.close()
        self.store_link.close()

    def _read(self) -> tuple[RelayFacts, ...]:
        if self.is_store_cut:
            raise StoreUnreachableError('cut')
        return (self._relay,)
