"""Disables guards of the admission control, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable
from typing import Any

from gentianpulley.cluster import admission
from gentianpulley.cluster.admission import QueueLoad
from gentianpulley.cluster.entry_job_store import EntryJobStore
from gentianpulley.cluster.load_loop import LoadLoop
from gentianpulley.cluster.load_watch import DigestTracker
from tests.cluster_guards import replace


def hopeless_only() -> None:
    """Close a queue as soon as its expected wait is over the limit."""
    replace(
        QueueLoad,
        'is_hopeless',
        property(lambda load: (load.wait_ms or 0) > load.limit_ms),
    )


def spread_returns() -> None:
    """Limit only the sum of the delay and its spread."""
    replace(admission, 'MAX_BASE_RETRY_S', 1 << 40)


def digest_order() -> None:
    """Take every digest for a newer one."""
    update = DigestTracker.update

    def take(tracker: Any, *args: Any, **named: Any) -> bool:
        tracker._known = type(tracker._known)()
        return update(tracker, *args, **named)

    replace(DigestTracker, 'update', take)


def digest_baseline() -> None:
    """Take every digest for one that was just written."""
    update = DigestTracker.update

    def take(tracker: Any, digest: Any, after_ms: int, at_ms: int) -> Any:
        return update(tracker, digest, at_ms, at_ms)

    replace(DigestTracker, 'update', take)


def closed_writes() -> None:
    """Write a digest with each measurement."""
    publish = LoadLoop._publish

    def publish_always(loop: Any, at_ms: int) -> None:
        loop._open_digest_due_until_ms = at_ms + 1
        publish(loop, at_ms)

    replace(LoadLoop, '_publish', publish_always)


def accepted_before() -> None:
    """Refuse a job without reading whether it was accepted before."""
    replace(EntryJobStore, 'exists', lambda *_: False)


LOAD_GUARDS: dict[str, Callable[[], None]] = {
    'accepted-before': accepted_before,
    'closed-writes': closed_writes,
    'digest-baseline': digest_baseline,
    'digest-order': digest_order,
    'hopeless-only': hopeless_only,
    'spread-returns': spread_returns,
}
