"""What a leader's scheduler looks like at one moment, for logs and metrics."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.wait_reasons import WaitingSteps
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.jobs.job import StepRun

HIGH_QUANTILE: Final = 0.95
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
class ListingAges:
    """Ages of the workers' latest lists: of half, of most, of the oldest."""

    median_ms: int = 0
    p95_ms: int = 0
    max_ms: int = 0


@dataclass(frozen=True, slots=True)
class PlanReport:
    """Waiting tasks by reason, reserved room by certainty, workers by state.

    Reserved room is in thousandths of a processor.
    """

    waiting: Mapping[str, int]
    oldest: WaitingStep | None
    oldest_endless: WaitingStep | None
    reserved_milli: Mapping[str, int]
    workers: Mapping[str, int]
    listing_ages: ListingAges


def create_plan_report(
    state: SchedulerState, waits: WaitingSteps, now_ms: int
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
        _conditions(state, now_ms),
        _list_ages(workers, now_ms),
    )


def condition_of(worker: Worker, now_ms: int) -> str:
    """Name what keeps a worker from taking runs, `accepting` if nothing."""
    conditions = (
        ('draining', worker.registration.is_draining or worker.is_leaving),
        ('unlisted', not worker.is_registered),
        ('unfenced', not worker.is_fenced),
        ('silent', worker.unresponsive_since_ms > 0),
        ('quarantined', now_ms < worker.quarantined_until_ms),
        ('foreign_runs', bool(worker.foreign_runs)),
        ('resting', now_ms < worker.best_effort_paused_until_ms),
    )
    return next((name for name, holds in conditions if holds), 'accepting')


def _conditions(state: SchedulerState, now_ms: int) -> Counter[str]:
    """Count workers by condition, and those that only the roster names."""
    conditions = Counter(
        condition_of(worker, now_ms) for worker in state.workers.values()
    )
    missing = [
        worker_id
        for worker_id, until_ms in state.unseen_runs_until_ms.items()
        if worker_id not in state.workers and now_ms <= until_ms
    ]
    if missing:
        conditions['missing'] = len(missing)
    return conditions


def _oldest(
    steps: Iterable[StepRun], waits: WaitingSteps, now_ms: int
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
        for charge in worker.reservations.values():
            reserved[_certainty(charge)] += charge.processors_milli
    return reserved


def _certainty(charge: Reservation) -> str:
    if charge.is_stopping or charge.stop_confirmed_ms:
        return 'stopping'
    return 'settled' if charge.confirmed_ms else 'unanswered'


def _list_ages(workers: Iterable[Worker], now_ms: int) -> ListingAges:
    ages = sorted(now_ms - worker.last_contact_ms for worker in workers) or [0]
    half = len(ages) // 2
    most = int(HIGH_QUANTILE * len(ages))
    return ListingAges(ages[half], ages[most], ages[-1])
