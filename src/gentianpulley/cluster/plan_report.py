"""Snapshot of a leader's scheduler, for logs and metrics."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest
from typing import Final

from gentianpulley.cluster.customer_report import (
    CustomerReport,
    create_customer_reports,
)
from gentianpulley.cluster.image_separation import DecidedSeparation
from gentianpulley.cluster.restart_report import (
    WaitingRestart,
    find_waiting_restart,
)
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.wait_reasons import WaitingSteps
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.cluster.worker_lifecycle import WorkerLifecycle
from gentianpulley.jobs.job import StepRun

HIGH_QUANTILE: Final = 0.95
"""Fraction of the workers whose listings are at most as old as `p95_ms`."""

MAX_AWAITED_SHOWN: Final = 3
"""How many of the workers that inherited work waits for a report names."""


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with tasks that wait; `task` is the first of them.

    `age_ms` counts from the first plan since which tasks of the step have
    waited without interruption.
    """

    job_id: str
    task: str
    reason: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class ListingAges:
    """Ages of the workers' latest listings: median (half), p95, maximum."""

    median_ms: int = 0
    p95_ms: int = 0
    max_ms: int = 0


@dataclass(frozen=True, slots=True)
class AwaitedWorker:
    """A worker that may have runs of earlier leaders for `remaining_ms` more.

    `condition` is why it has not listed them, and `basis` what the previous
    leader left: whether the worker was in use, or how long its runs might
    continue.
    """

    worker_id: str
    condition: str
    basis: str
    remaining_ms: int

    def __str__(self) -> str:
        """Return the form for logs."""
        return (
            f'{self.worker_id} {self.condition} {self.basis}'
            f' {self.remaining_ms} ms'
        )


@dataclass(frozen=True, slots=True)
class PlanReport:
    """Waiting tasks by reason, reserved capacity by state, workers by state.

    Reserved capacity is in thousandths of a processor. `awaited` are the
    workers that inherited work waits for the longest, `customers` what each
    customer holds, and `separation` the latest decision on how far
    latency-critical images are separated.
    """

    waiting: Mapping[str, int]
    oldest: WaitingStep | None
    oldest_endless: WaitingStep | None
    restart: WaitingRestart | None
    held_count: int
    reserved_milli: Mapping[str, int]
    workers: Mapping[str, int]
    listing_ages: ListingAges
    awaited: tuple[AwaitedWorker, ...] = ()
    customers: tuple[CustomerReport, ...] = ()
    separation: DecidedSeparation | None = None


def create_plan_report(
    state: WorkerLifecycle, waits: WaitingSteps, held_count: int, now_ms: int
) -> PlanReport:
    """Return a report on the state after the latest plan.

    `held_count` is how many workers are held for restarts.
    """
    waiting: Counter[str] = Counter()
    for waiter, reason in waits.reasons.items():
        waiting[reason.value] += len(waiter.waiting)
    workers = state.workers.values()
    endless = [step for step in waits.since_ms if step.spec.is_endless]
    return PlanReport(
        waiting,
        _oldest(waits.since_ms, waits, now_ms),
        _oldest(endless, waits, now_ms),
        find_waiting_restart(state, waits, now_ms),
        held_count,
        _reserved(workers),
        _conditions(state, now_ms),
        _listing_ages(workers, now_ms),
        _longest_awaited(state, now_ms),
        create_customer_reports(state.usage),
    )


def condition_of(worker: Worker, now_ms: int) -> str:
    """Return what keeps a worker from accepting runs, else `accepting`."""
    conditions = (
        ('draining', worker.registration.is_draining or worker.is_leaving),
        ('unlisted', not worker.is_registered),
        ('unfenced', not worker.is_fenced),
        ('silent', worker.unresponsive_since_ms > 0),
        ('suspended', worker.is_suspended),
        ('unanswered', bool(worker.unanswered_starts)),
        ('quarantined', now_ms < worker.quarantined_until_ms),
        ('backing_off', now_ms < worker.backoff_until_ms),
        ('foreign_runs', bool(worker.foreign_runs)),
        ('resting', now_ms < worker.best_effort_paused_until_ms),
    )
    return next((name for name, holds in conditions if holds), 'accepting')


def _conditions(state: SchedulerState, now_ms: int) -> Counter[str]:
    """Count workers by condition, and those that only the roster lists."""
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


def _longest_awaited(
    state: SchedulerState, now_ms: int
) -> tuple[AwaitedWorker, ...]:
    """Return the workers that inherited work waits for the longest."""
    awaited = [
        (until_ms - now_ms, worker_id)
        for worker_id, until_ms in state.unseen_runs_until_ms.items()
        if now_ms <= until_ms
    ]
    return tuple(
        _create_awaited(state, worker_id, remaining_ms, now_ms)
        for remaining_ms, worker_id in nlargest(MAX_AWAITED_SHOWN, awaited)
    )


def _create_awaited(
    state: SchedulerState, worker_id: str, remaining_ms: int, now_ms: int
) -> AwaitedWorker:
    worker = state.workers.get(worker_id)
    condition = condition_of(worker, now_ms) if worker else 'missing'
    is_recorded = worker_id in state.term.predecessor_runs_until_ms
    basis = 'recorded' if is_recorded else 'in use'
    return AwaitedWorker(worker_id, condition, basis, remaining_ms)


def _oldest(
    steps: Iterable[StepRun], waits: WaitingSteps, now_ms: int
) -> WaitingStep | None:
    waiting_steps = [step for step in steps if step.waiting]
    if not waiting_steps:
        return None
    step = min(waiting_steps, key=lambda each: waits.since_ms[each])
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
        for reservation in worker.reservations.values():
            reserved[_reservation_state(reservation)] += (
                reservation.processors_milli
            )
    return reserved


def _reservation_state(reservation: Reservation) -> str:
    if reservation.is_stopping or reservation.stop_confirmed_ms:
        return 'stopping'
    return 'settled' if reservation.confirmed_ms else 'unanswered'


def _listing_ages(workers: Iterable[Worker], now_ms: int) -> ListingAges:
    ages = sorted(now_ms - worker.last_contact_ms for worker in workers) or [0]
    median_index = len(ages) // 2
    p95_index = int(HIGH_QUANTILE * len(ages))
    return ListingAges(ages[median_index], ages[p95_index], ages[-1])
