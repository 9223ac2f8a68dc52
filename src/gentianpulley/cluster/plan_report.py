"""What a leader's scheduler looks like at one moment, for logs and metrics."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.backlog import Line, Pending, pending_tasks
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.waiting import Waits
from gentianpulley.cluster.worker import Charge, Worker
from gentianpulley.jobs.job import StepRun

MOST_SHARE: Final = 0.95
"""Share of the workers whose lists are at most as old as the second age."""


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with tasks that wait; `task` is the first of them.

    `age_ms` counts from the first plan since when tasks of the step have
    waited without a break.
    """

    job_id: str
    task: str
    reason: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class ListAges:
    """Ages of the workers' latest lists: of half, of most, of the oldest."""

    half_ms: int = 0
    most_ms: int = 0
    oldest_ms: int = 0


@dataclass(frozen=True, slots=True)
class PlanReport:
    """Waiting tasks by reason, reserved room by certainty, workers by state.

    Reserved room is in thousandths of a processor. `pending` are the tasks
    that go before those of a new job.
    """

    waiting: Mapping[str, int]
    oldest: WaitingStep | None
    oldest_endless: WaitingStep | None
    reserved_milli: Mapping[str, int]
    workers: Mapping[str, int]
    list_ages: ListAges
    pending: Mapping[Line, Pending]


def create_plan_report(
    state: SchedulerState, waits: Waits, now_ms: int
) -> PlanReport:
    """Sum up what the latest plan left."""
    waiting: Counter[str] = Counter()
    for waiter, reason in waits.reasons.items():
        waiting[reason.value] += len(waiter.waiting)
    workers = state.workers.values()
    endless = [step for step in waits.since_ms if step.spec.is_endless]
    return PlanReport(
        waiting,
        _oldest(waits.since_ms, waits, now_ms),
        _oldest(endless, waits, now_ms),
        _reserved(workers),
        Counter(condition_of(worker, now_ms) for worker in workers),
        _list_ages(workers, now_ms),
        pending_tasks(state, waits, now_ms),
    )


def condition_of(worker: Worker, now_ms: int) -> str:
    """Name what keeps a worker from taking runs, `accepting` if nothing."""
    conditions = (
        ('draining', worker.facts.is_draining or worker.is_leaving),
        ('unlisted', not worker.is_listed),
        ('unfenced', not worker.is_fenced),
        ('silent', worker.silent_since_ms > 0),
        ('quarantined', now_ms < worker.quarantined_until_ms),
        ('foreign_runs', bool(worker.foreign)),
        ('resting', now_ms < worker.rests_until_ms),
    )
    return next((name for name, holds in conditions if holds), 'accepting')


def _oldest(
    steps: Iterable[StepRun], waits: Waits, now_ms: int
) -> WaitingStep | None:
    still = [step for step in steps if step.waiting]
    if not still:
        return None
    step = min(still, key=lambda each: waits.since_ms[each])
    ordinal = min(step.waiting)
    return WaitingStep(
        step.job.spec.job_id,
        f'{step.occurrence}.{step.number}.{ordinal}',
        waits.reasons[step].value,
        now_ms - waits.since_ms[step],
    )


def _reserved(workers: Iterable[Worker]) -> Counter[str]:
    reserved: Counter[str] = Counter()
    for worker in workers:
        for charge in worker.charges.values():
            reserved[_certainty(charge)] += charge.processors_milli
    return reserved


def _certainty(charge: Charge) -> str:
    if charge.is_stopping or charge.barred_ms:
        return 'stopping'
    return 'settled' if charge.settled_ms else 'unanswered'


def _list_ages(workers: Iterable[Worker], now_ms: int) -> ListAges:
    ages = sorted(now_ms - worker.heard_ms for worker in workers) or [0]
    half = len(ages) // 2
    most = int(MOST_SHARE * len(ages))
    return ListAges(ages[half], ages[most], ages[-1])
