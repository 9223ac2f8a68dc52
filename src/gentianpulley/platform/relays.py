"""What an instance does for other leaders, and uses of others as a leader."""

from gentianpulley.cluster.link import WorkerLinks
from gentianpulley.cluster.relay_payloads import PayloadShelf
from gentianpulley.cluster.relay_presence import RelayPresence, read_relays
from gentianpulley.cluster.relay_server import RelayParts, RelayServer
from gentianpulley.cluster.relay_table import RelayTable
from gentianpulley.cluster.relayed_link import RelayedLinks, RelayUse
from gentianpulley.cluster.relaying import RelayFacts
from gentianpulley.counters import Counters
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.node_file import NodeSettings
from gentianpulley.platform.worker_link import HttpWorkerLinks
from gentianpulley.store import Store


class Relays:
    """Relays where the settings name a port for it, and knows the others."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Build all parts; listen nowhere yet."""
        self._settings = settings
        self._store = store
        self._log = log
        self._parts = RelayParts(
            HttpWorkerLinks(), PayloadShelf(store, log), counters, log
        )
        self._server: RelayServer | None = None
        self._presence: RelayPresence | None = None
        self._table = RelayTable(
            settings.instance,
            settings.capacity,
            lambda: read_relays(store, log),
            log,
        )

    def links(self, longest_slack_ms: int) -> WorkerLinks:
        """Return links to workers, through relays where those are needed."""
        return RelayedLinks(
            HttpWorkerLinks(longest_slack_ms),
            RelayUse(self._table, self._parts.counters),
        )

    def start(self) -> None:
        """Listen and be known; raises `OSError` if the address is taken."""
        address = self._settings.relay
        if address is not None:
            self._serve(address)
        self._table.start()

    def withdraw(self) -> None:
        """Be known no more; calls that still come are relayed."""
        if self._presence is not None:
            self._presence.withdraw()

    def close(self) -> None:
        """End all threads and connections."""
        self._table.stop()
        if self._server is not None:
            self._server.close()

    def _serve(self, address: HttpAddress) -> None:
        settings = self._settings
        self._server = RelayServer(address, self._parts)
        self._server.start()
        own = RelayFacts(
            settings.instance, settings.failure_domain, str(address)
        )
        self._presence = RelayPresence(self._store, own, self._log)
        self._presence.start()
