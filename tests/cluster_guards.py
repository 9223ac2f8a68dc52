"""Guards of the scheduler on the users' platform, each switched off.

As in `tests.guards`, every function replaces something from the outside.
"""

from collections.abc import Callable
from typing import Any

from gentianpulley.cluster import pacing, run_tracker
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.task_client import MAX_SUBMIT_ATTEMPTS, TaskClient


def replace(owner: Any, name: str, member: Any) -> None:
    """Replace a member of a class or module."""
    setattr(owner, name, member)


def certainty() -> None:
    """Take up new jobs whether or not the leader's key may be gone."""
    replace(Leadership, 'is_exclusive', lambda tenure, _: not tenure.is_over())


def earlier_sending() -> None:
    """Take any refusal of a start as proof for all its sendings."""
    replace(run_tracker, 'INCONCLUSIVE_VERDICTS', frozenset())


def look_before_start() -> None:
    """Send what waits for a silent worker without a look."""

    def withdraw_start(office: Any, order: Any) -> bool:
        office._sinks[order.worker_id]._send(order, 0)
        return True

    replace(SchedulerService, 'withdraw_start', withdraw_start)


def handover() -> None:
    """Start inherited tasks at once, whatever may still run unseen."""
    replace(Scheduler, 'is_handover_complete', lambda *_: True)


def rests() -> None:
    """Pace by the model alone."""
    replace(pacing, 'update_suspension', lambda *_: False)


def silent_sending() -> None:
    """Take the answer to any sending of an order for the answer to all."""

    def send(follower: Any, route: Any, order: Any, wait_ms: int) -> Any:
        report = None
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            report = report or follower._send_once(route, order, wait_ms)
        return report

    replace(TaskClient, '_send', send)


CLUSTER_GUARDS: dict[str, Callable[[], None]] = {
    'certainty': certainty,
    'earlier-sending': earlier_sending,
    'handover': handover,
    'look-before-start': look_before_start,
    'rests': rests,
    'silent-sending': silent_sending,
}
