"""Leaders over a stand-in of the store, without an election."""

from gentianpulley.cluster.job_book import LEADER_KEY
from gentianpulley.cluster.leader import Leader, LeaderParts, open_tenure
from gentianpulley.cluster.office import Tenure
from gentianpulley.cluster.timing import create_timing
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.logs import EventLog
from gentianpulley.platform.directory import create_directory
from gentianpulley.platform.worker_link import HttpWorkerLinks
from gentianpulley.store import Guard, Store
from standins.grid_store import GridStore

TIMING = create_timing(
    max_lease_ms=6000, contact_ms=3000, stop_ms=900, look_ms=1000
)


def create_leader(
    server: GridStore, client: Store, tenure: Tenure | None = None
) -> Leader:
    """Return a leader under a new token."""
    token = server.put(LEADER_KEY, {})
    log = EventLog()
    parts = LeaderParts(
        store=client,
        directory=create_directory(client, log),
        links=HttpWorkerLinks(),
        adviser=None,
        park=None,
        timing=TIMING,
        status_ms=120_000,
        upkeep_ms=2000,
        counters=create_counters(),
        log=log,
    )
    tenure = tenure or open_tenure(now_ms(), TIMING)
    return Leader(parts, Guard(LEADER_KEY, token), tenure)
