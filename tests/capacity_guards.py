"""Disables guards against capacities that shrink, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable

from gentianpulley.cluster import order_sender, read_freshness, run_tracker
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.timing import FOREVER
from tests.cluster_guards import replace


def shrunk_queued() -> None:
    """Send starts whatever the worker's capacity is by then."""
    replace(run_tracker, 'is_overfilled', lambda *_: False)


def shrunk_limits() -> None:
    """Keep what was computed by the former capacity."""
    replace(Worker, 'invalidate_margins', lambda _: None)


def workers_watched() -> None:
    """Start runs however old the known capacities are."""
    replace(read_freshness, 'MAX_DIRECTORY_AGE_MS', FOREVER)


def start_deadline() -> None:
    """Let starts be carried out for as long as the lease lasts."""
    replace(order_sender, 'MAX_START_DELAY_MS', FOREVER)


CAPACITY_GUARDS: dict[str, Callable[[], None]] = {
    'shrunk-limits': shrunk_limits,
    'shrunk-queued': shrunk_queued,
    'start-deadline': start_deadline,
    'workers-watched': workers_watched,
}
