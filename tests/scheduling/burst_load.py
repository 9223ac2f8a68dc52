"""Bursts of jobs on one scheduler, with or without admission control.

Extends the replay of a load by queues that may close, callers that come back
when they are told to, bursts, and workers that accept nothing for a while.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from operator import attrgetter

from gentianpulley.cluster.admission import (
    QueueAdmission,
    find_refusal,
)
from gentianpulley.cluster.load_meter import measure_queues
from gentianpulley.cluster.delay_cost import DeadlineClass
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import SERVICE, START_MS, step
from tests.scheduling.link_load import (
    TASK_MIB,
    JobKind,
    LinkLoad,
    LinkReplay,
    end_class,
)

MEASURE_MS = 500
MAX_ATTEMPTS = 6
FAST_LINK = 1_000_000_000

Policy = Callable[[], QueueAdmission | None]


@dataclass(frozen=True)
class Span:
    """A time in the traffic, in seconds: a burst, or a loss of workers.

    Jobs of a kind arrive `factor` times as often; the named `kind` is empty if
    `lost` workers accept nothing.
    """

    begins_s: float
    ends_s: float
    kind: str = ''
    factor: float = 1
    lost: int = 0


@dataclass(frozen=True)
class BurstLoad(LinkLoad):
    """A load with bursts and losses."""

    spans: tuple[Span, ...] = ()
    best_effort: frozenset[str] = frozenset()


@dataclass
class Caller:
    """What one caller has seen of its job."""

    kind: JobKind
    first_ms: int
    attempts: int = 0
    job: Job | None = None
    ended_ms: int = 0

    @property
    def result(self) -> str:
        """Return what became of the job for its caller."""
        if self.job is None:
            return 'refused'
        if not self.ended_ms:
            return 'useless'
        found = end_class(self.job, self.ended_ms)
        if found is DeadlineClass.EXPIRED:
            return 'useless'
        name = 'on_time' if found is DeadlineClass.ON_TIME else 'late'
        return f'{name}_on_return' if self.attempts > 1 else name

    @property
    def wait_ms(self) -> int:
        """Return the time from the first attempt to the end of a useful job."""
        is_served = self.result not in {'refused', 'useless'}
        return self.ended_ms - self.first_ms if is_served else 0


class BurstReplay(LinkReplay):
    """Plays one load."""

    def __init__(
        self, load: BurstLoad, admission: QueueAdmission | None
    ) -> None:
        """Create the cluster; without `admission` every job is accepted."""
        super().__init__(load)
        self._burst_load = load
        self._admission = admission
        self.callers: dict[str, Caller] = {}
        self._returns: list[tuple[int, str, JobSpec]] = []
        self._lost = 0
        self.closed_ms: Counter[str] = Counter()
        self.changes = 0

    def _arrivals(self, end_ms: int) -> Iterator[tuple[int, int, JobKind]]:
        number = 0
        for kind in self._burst_load.kinds:
            at_ms = float(START_MS)
            while True:
                rate = kind.jobs_per_s * self._factor(kind.name, at_ms)
                at_ms += self._rng.expovariate(rate) * MS_PER_SECOND
                if at_ms >= end_ms:
                    break
                number += 1
                yield int(at_ms), number, kind

    def _factor(self, kind: str, at_ms: float) -> float:
        factor: float = 1
        for span in self._spans_at(at_ms):
            if span.kind == kind:
                factor *= span.factor
        return factor

    def _spans_at(self, at_ms: float) -> list[Span]:
        at_s = (at_ms - START_MS) / MS_PER_SECOND
        spans = self._burst_load.spans
        return [each for each in spans if each.begins_s <= at_s < each.ends_s]

    def _accept(self, number: int, kind: JobKind) -> None:
        policy = QueuePolicy(kind.name, SERVICE, kind.priority, 3, 2, 1000)
        steps = tuple(self._step(kind, index) for index in range(kind.steps))
        job_id = f'{self._rng.getrandbits(64):016x}'
        spec = JobSpec(job_id, 'payload', policy, steps, 0)
        self.callers[job_id] = Caller(kind, self._harness.at_ms)
        self._submit(spec)

    def _step(self, kind: JobKind, index: int) -> StepSpec:
        return step(
            max(1, round(kind.width * self._rng.uniform(0.5, 1.5))),
            resources=Resources(kind.processors_milli, TASK_MIB),
            estimated_ms=round(kind.run_ms * self._rng.uniform(0.5, 1.5)),
            after=(index - 1,) if index else (),
            fills_spare=kind.name in self._burst_load.best_effort,
        )

    def _submit(self, spec: JobSpec) -> None:
        caller = self.callers[spec.job_id]
        caller.attempts += 1
        at_ms = self._harness.at_ms
        spec = replace(spec, submitted_ms=at_ms)
        closed = self._admission.closed if self._admission else {}
        refusal = find_refusal(spec, closed.get(spec.policy.queue))
        if refusal is None:
            caller.job = create_job(spec, is_inherited=False)
            self._open[spec.job_id] = (caller.kind, caller.job)
            self._idle_since_ms[spec.job_id] = at_ms
            self._harness.scheduler.add_job(caller.job)
        elif caller.attempts < MAX_ATTEMPTS:
            back_ms = at_ms + refusal.retry_after_s * MS_PER_SECOND
            heapq.heappush(self._returns, (back_ms, spec.job_id, spec))

    def _transmit(self) -> None:
        at_ms = self._harness.at_ms
        while self._returns and self._returns[0][0] <= at_ms:
            self._submit(heapq.heappop(self._returns)[2])
        self._lose_workers(at_ms)
        if at_ms % MEASURE_MS == 0 and self._admission is not None:
            self._measure(self._admission, at_ms)
        super()._transmit()

    def _measure(self, admission: QueueAdmission, at_ms: int) -> None:
        snapshot = self._harness.scheduler.load_meter.snapshot(at_ms)
        loads = measure_queues(snapshot, admission.closed)
        self.changes += len(admission.update(loads, at_ms))
        for queue in admission.closed:
            self.closed_ms[queue] += MEASURE_MS

    def _lose_workers(self, at_ms: int) -> None:
        """Let as many workers as are lost now accept nothing."""
        lost = max((each.lost for each in self._spans_at(at_ms)), default=0)
        if lost != self._lost:
            for number in range(self._burst_load.workers):
                self._harness.register(f'w{number}', is_draining=number < lost)
            self._lost = lost

    def _note_ready(self) -> None:
        for job_id, (_, job) in self._open.items():
            if job.state.is_final:
                self.callers[job_id].ended_ms = self._harness.at_ms
        super()._note_ready()


@dataclass
class QueueOutcome:
    """What the callers of one queue got; `longest_ms` of those served."""

    results: Counter[str] = field(default_factory=Counter)
    longest_ms: int = 0
    closed_ms: int = 0

    @property
    def worth(self) -> float:
        """Return what the callers got, a late job counting little."""
        late = self.results['late'] + self.results['late_on_return']
        on_time = self.results['on_time'] + self.results['on_time_on_return']
        return on_time + 0.15 * late


def play(
    load: BurstLoad, admission: QueueAdmission | None
) -> dict[str, QueueOutcome]:
    """Play one load; return what callers got, by queue."""
    replay = BurstReplay(load, admission)
    replay.play()
    outcomes: dict[str, QueueOutcome] = {}
    for caller in sorted(replay.callers.values(), key=attrgetter('first_ms')):
        outcome = outcomes.setdefault(caller.kind.name, QueueOutcome())
        outcome.results[caller.result] += 1
        outcome.longest_ms = max(outcome.longest_ms, caller.wait_ms)
        outcome.closed_ms = replay.closed_ms[caller.kind.name]
    return outcomes
