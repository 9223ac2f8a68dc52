"""Disables guards of the scheduler for the users' platform, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from gentianpulley.cluster import pacing, run_tracker
from gentianpulley.cluster.leader import Leader
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.scheduler_service import (
    Leadership,
    Reread,
    SchedulerService,
)
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.worker_lifecycle import FOREVER, WorkerLifecycle
from gentianpulley.platform import directory
from gentianpulley.task_client import MAX_SUBMIT_ATTEMPTS, TaskClient


def replace(owner: Any, name: str, member: Any) -> None:
    """Replace a member of a class or module."""
    setattr(owner, name, member)


def leader_exclusivity() -> None:
    """Accept new jobs even if the leader's key may be gone."""
    replace(
        Leadership,
        'is_exclusive',
        lambda leadership, _: not leadership.is_over(),
    )


def lapse_certainty() -> None:
    """Take leases for lapsed even if a successor may have renewed them."""
    replace(Leadership, 'exclusive_until_ms', FOREVER)


def replaced_registrations() -> None:
    """Apply each registration, also one that was replaced before."""
    update_worker = WorkerLifecycle.update_worker

    def update(state: Any, registration: Any, now_ms: int) -> Any:
        newest = dataclasses.replace(registration, revision=FOREVER)
        return update_worker(state, newest, now_ms)

    replace(WorkerLifecycle, 'update_worker', update)


def nesting() -> None:
    """Let the decoder raise what it likes for an entry of the directory."""
    replace(
        directory, 'decode_json', lambda decoder, body: decoder.decode(body)
    )


def earlier_sending() -> None:
    """Treat any refusal of a start as conclusive for all its sendings."""
    replace(run_tracker, 'INCONCLUSIVE_VERDICTS', frozenset())


def poll_before_start() -> None:
    """Send what waits for an unresponsive worker without polling it first."""

    def withdraw_start(service: Any, order: Any) -> bool:
        sender = service._sinks[order.worker_id].sender
        asyncio.ensure_future(sender.send(order, 0))
        return True

    replace(SchedulerService, 'withdraw_start', withdraw_start)


def handover() -> None:
    """Start inherited tasks at once, even if unseen runs may continue."""
    replace(Scheduler, 'is_handover_complete', lambda *_: True)


def _skip_reread(part: Reread) -> None:
    begin = SchedulerService.begin_loading

    def begin_loading(service: SchedulerService) -> None:
        begin(service)
        service.mark_reread(part)

    replace(SchedulerService, 'begin_loading', begin_loading)


def cancellations_first() -> None:
    """Start loaded jobs before what was cancelled meanwhile is known."""
    _skip_reread(Reread.CANCELLATIONS)


def workers_first() -> None:
    """Start before the directory is read again after the load."""
    _skip_reread(Reread.WORKERS)


def domains_amid_load() -> None:
    """Tell a leader that has not loaded yet of no closed domain."""
    tell = Leader.replace_closed_domains

    def replace_closed_domains(leader: Any, domains: frozenset[str]) -> None:
        service = leader.scheduler_service
        if service is None or service.are_jobs_loaded:
            tell(leader, domains)

    replace(Leader, 'replace_closed_domains', replace_closed_domains)


def domains_first() -> None:
    """Let an instance lead that has not read the closed domains."""
    create = LeaderElector.__init__

    def __init__(elector: Any, *args: Any) -> None:
        create(elector, *args)
        elector._closed_domains = frozenset()

    replace(LeaderElector, '__init__', __init__)


def suspensions() -> None:
    """Throttle by the model alone, without suspensions."""
    replace(pacing, 'update_suspension', lambda *_: False)


def unanswered_sending() -> None:
    """Treat the response to one sending of an order as conclusive for all."""

    def send(client: Any, route: Any, order: Any, wait_ms: int) -> Any:
        report = None
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            report = report or client._send_once(route, order, wait_ms)
        return report

    replace(TaskClient, '_send', send)


CLUSTER_GUARDS: dict[str, Callable[[], None]] = {
    'cancellations-first': cancellations_first,
    'certainty': leader_exclusivity,
    'domains-amid-load': domains_amid_load,
    'domains-first': domains_first,
    'earlier-sending': earlier_sending,
    'handover': handover,
    'lapse-certainty': lapse_certainty,
    'look-before-start': poll_before_start,
    'nesting': nesting,
    'old-registrations': replaced_registrations,
    'rests': suspensions,
    'silent-sending': unanswered_sending,
    'workers-first': workers_first,
}
