"""Measures how long a new job of each queue would wait, from a leader's state.

It looks only at queues of which a job has waited for as long as such jobs are
of use, or which are closed, so without an overload it costs next to nothing. A
snapshot is taken under the scheduler's lock, and evaluated without it.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from operator import attrgetter
from typing import Final, NamedTuple

from gentianpulley.cluster.admission import (
    QueueLoad,
    is_refusable,
    useful_wait_ms,
)
from gentianpulley.cluster.delay_cost import DelayCosts
from gentianpulley.cluster.ended_work import (
    MAX_RATE_WINDOW_MS,
    RATE_WINDOW_MS,
    EndedWork,
    WorkClass,
    precedes,
    task_work,
    work_class,
)
from gentianpulley.cluster.step_ordering import SortKey, WorkKind, sort_key
from gentianpulley.cluster.wait_reasons import WaitingSteps, WaitReason
from gentianpulley.jobs.job import StepRun, create_job

MIN_RATE_WINDOW_MS: Final = 1000
"""The shortest time over which a rate is measured."""

CAPACITY_REASONS: Final = frozenset(
    (
        WaitReason.NO_ROOM,
        WaitReason.INTERFERENCE,
        WaitReason.SHAPE_BLOCKED,
        WaitReason.NO_WORKER,
    )
)
"""Reasons of steps that wait for capacity. Others wait for something of their
own, and take none of the capacity that is freed next."""

UNJUDGED_REASONS: Final = frozenset(
    (WaitReason.LINK_SATURATED, WaitReason.INHERITED)
)
"""Reasons of steps that were not tried on any worker."""


class WaitingStep(NamedTuple):
    """A step with waiting tasks, and since when and why they wait."""

    step: StepRun
    tasks: int
    reason: WaitReason
    since_ms: int


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """What waits after the latest plan of a leader, and what has ended."""

    waits: WaitingSteps
    ended: EndedWork
    at_ms: int
    costs: DelayCosts


class LoadMeter:
    """Takes snapshots of one leader; used under the scheduler's lock."""

    def __init__(
        self, waits: WaitingSteps, ended: EndedWork, costs: DelayCosts
    ) -> None:
        """Read what the scheduler records as it plans and as runs end."""
        self._waits = waits
        self._costs = costs
        self._ended = ended

    def snapshot(self, now_ms: int) -> LoadSnapshot:
        """Return what waits after the latest plan, and what has ended."""
        return LoadSnapshot(
            self._waits.copy(), self._ended.copy(), now_ms, self._costs
        )


class _NewJob(NamedTuple):
    """A first step that waits, as an example of a new job of its queue."""

    waiting: WaitingStep
    limit_ms: int


@dataclass(slots=True)
class _Backlog:
    """The waiting jobs of one queue that have not started."""

    jobs: dict[str, _NewJob] = field(default_factory=dict)
    reasons: set[WaitReason] = field(default_factory=set)

    def add(self, waiting: WaitingStep) -> None:
        """Add a first step of a job."""
        step = waiting.step
        allowed_ms = step.objective_ms - step.release_ms
        limit_ms = useful_wait_ms(allowed_ms, step.critical_path_ms)
        self.jobs[step.job.spec.job_id] = _NewJob(waiting, limit_ms)
        self.reasons.add(waiting.reason)

    def typical(self) -> _NewJob:
        """Return the job with the median limit."""
        by_limit = sorted(self.jobs.values(), key=attrgetter('limit_ms'))
        return by_limit[len(by_limit) // 2]

    def oldest_ms(self, at_ms: int) -> int:
        """Return how long one of the jobs has waited."""
        return at_ms - min(job.waiting.since_ms for job in self.jobs.values())

    @property
    def least_milli(self) -> int:
        """Return the processors that the smallest of the tasks needs."""
        specs = [job.waiting.step.spec for job in self.jobs.values()]
        return min(spec.resources.processors_milli for spec in specs)

    @property
    def is_blocked(self) -> bool:
        """Return whether no worker was found for any task."""
        return not self.reasons & UNJUDGED_REASONS and bool(
            self.reasons & CAPACITY_REASONS
        )


def measure_queues(
    snapshot: LoadSnapshot, closed: Collection[str]
) -> list[QueueLoad]:
    """Return the loads of the queues that are closed or may have to close."""
    waiting = _rows(snapshot.waits)
    loads = []
    for queue, backlog in _backlogs(waiting).items():
        is_old = backlog.oldest_ms(snapshot.at_ms) > backlog.typical().limit_ms
        if is_old or queue in closed:
            loads.append(_measure(queue, backlog, waiting, snapshot))
    return loads


def _rows(waits: WaitingSteps) -> list[WaitingStep]:
    return [
        WaitingStep(step, len(step.waiting), reason, since_ms)
        for step, reason, since_ms in waits.rows()
    ]


def _measure(
    queue: str,
    backlog: _Backlog,
    waiting: list[WaitingStep],
    snapshot: LoadSnapshot,
) -> QueueLoad:
    typical = backlog.typical()
    ended = snapshot.ended.jobs_since(RATE_WINDOW_MS, snapshot.at_ms)
    return QueueLoad(
        queue,
        expected_wait_ms(typical.waiting.step, waiting, snapshot),
        typical.limit_ms,
        backlog.oldest_ms(snapshot.at_ms),
        len(backlog.jobs),
        ended[queue],
        backlog.is_blocked,
        backlog.least_milli,
    )


def expected_wait_ms(
    example: StepRun, waiting: Iterable[WaitingStep], snapshot: LoadSnapshot
) -> int | None:
    """Return how long a new job like that of a step would wait at least.

    The work that waits before it in the order of placement is divided by the
    rate at which such work has ended. None if none of it has ended lately: as
    capacity may come back at any time, this tells nothing of the wait.
    """
    rivals = [each for each in waiting if _is_rival(each, example)]
    ahead = _work_ahead(example, rivals, snapshot)
    if not ahead:
        return 0
    window_ms = _rate_window_ms(rivals, snapshot.at_ms)
    ended = snapshot.ended.work_since(window_ms, snapshot.at_ms)
    last = max(ahead)
    rate = sum(ended[each] for each in ended if precedes(each, last))
    return window_ms * ahead.total() // rate if rate else None


def _work_ahead(
    example: StepRun, rivals: Iterable[WaitingStep], snapshot: LoadSnapshot
) -> Counter[WorkClass]:
    """Return the work of rivals that are placed before a new job."""
    newest = _new_job_key(example, snapshot)
    ahead: Counter[WorkClass] = Counter()
    for rival in rivals:
        step = rival.step
        if _key(step, snapshot) < newest:
            ahead[work_class(step)] += rival.tasks * task_work(step)
    return ahead


def _backlogs(waiting: Iterable[WaitingStep]) -> dict[str, _Backlog]:
    """Return the jobs that have not started, by queue that may close."""
    backlogs: defaultdict[str, _Backlog] = defaultdict(_Backlog)
    for each in waiting:
        job = each.step.job
        is_first = not job.has_started and not each.step.spec.after
        if is_first and is_refusable(job.spec):
            backlogs[job.spec.policy.queue].add(each)
    return backlogs


def _is_rival(waiting: WaitingStep, example: StepRun) -> bool:
    """Return whether a step waits for what a new job would wait for."""
    if waiting.reason not in CAPACITY_REASONS or waiting.step.spec.is_endless:
        return False
    return precedes(work_class(waiting.step), work_class(example))


def _rate_window_ms(rivals: Iterable[WaitingStep], at_ms: int) -> int:
    """Return the time over which to measure at which rate rivals end.

    It is as long as the longest of them runs, as such tasks end in waves, but
    not longer than they have waited, as less may have been submitted before.
    """
    longest_ms = max(each.step.spec.estimated_ms for each in rivals)
    waited_ms = at_ms - min(each.since_ms for each in rivals)
    window_ms = min(max(RATE_WINDOW_MS, longest_ms), MAX_RATE_WINDOW_MS)
    return max(MIN_RATE_WINDOW_MS, min(window_ms, waited_ms))


def _new_job_key(example: StepRun, snapshot: LoadSnapshot) -> SortKey:
    """Return the place in the order of a job submitted now."""
    spec = example.job.spec
    narrow = tuple(replace(each, task_count=1) for each in spec.steps)
    submitted = replace(spec, steps=narrow, submitted_ms=snapshot.at_ms)
    job = create_job(submitted, is_inherited=False)
    return _key(job.steps[0, example.number], snapshot)


def _key(step: StepRun, snapshot: LoadSnapshot) -> SortKey:
    return sort_key(step, WorkKind.BATCH, snapshot.at_ms, snapshot.costs)
