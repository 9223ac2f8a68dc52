"""Replays bursts of batch jobs to compare orders of waiting work.

Extends `bench.leader_replay` by workers whose runs take other times than
estimated, take time to stop, and resume from their checkpoints.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from bench.leader_parts import Parts
from bench.leader_replay import BEGIN_MS, Replay, Shape, Site
from bench.leader_work import Arrival
from bench.leader_workers import (
    FOREVER_MS,
    QuietWorker,
    Run,
    create_registrations,
)
from bench.order_work import MACHINE, BurstCallers, Load, run_time_ms
from gentianpulley.cluster.delay_cost import MAX_LATENESS_FACTOR
from gentianpulley.cluster.worker_protocol import (
    RunKey,
    StartOrder,
    WorkerRegistration,
)
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.job import Job, JobState
from gentianpulley.jobs.spec import JobSpec, StepSpec
from gentianpulley.platform.task_names import task_name

PLAN_GAP_MS: Final = 20
RESTORE_MS: Final = 300
STOP_MS: Final = (200, 900)
WIDE_TASKS: Final = 40
BASE_WORTH: Final = 0.3
LATE_WORTH: Final = 0.15
STOPPED: Final = 'stopped'
NS_PER_US: Final = 1000
MILLI_MS_PER_CORE_S: Final = 1_000_000


class VaryingWorker(QuietWorker):
    """A worker whose runs have true run times, checkpoints and slow stops.

    A stop keeps the progress; a resumed run makes progress from `RESTORE_MS`
    on. The progress of runs that are stopped without a checkpoint is lost. No
    run fails, as a failed urgent task is late whatever the order.
    """

    failing_share = 0

    def __init__(self, facts: WorkerRegistration, load: Load) -> None:
        """Start without runs."""
        super().__init__(facts, load.seed)
        self.lost_milli_ms: float = 0
        self.stopped = 0
        self._load = load
        self._stops = random.Random(f'{load.seed} {facts.worker_id}')
        self._stops_ms: dict[RunKey, int] = {}

    def advance(self, at_ms: int) -> None:
        """End the runs whose stop is due, too."""
        super().advance(at_ms)
        due = [key for key, due_ms in self._stops_ms.items() if due_ms <= at_ms]
        for key in due:
            self._stops_ms.pop(key)
            self._finish_stop(key)
        self.set_speeds()
        self.next_ms = min(self.next_ms, *self._stops_ms.values(), FOREVER_MS)

    def _start(self, order: StartOrder, spec: StepSpec) -> None:
        total_ms = run_time_ms(self._load, order.key.task_id, spec)
        left_ms = total_ms
        if order.checkpoint:
            left_ms += RESTORE_MS - int(order.checkpoint, 16)
        name = task_name(order.key.task_id)
        self.runs[order.key] = Run(
            order.key,
            spec,
            name,
            left_ms,
            checkpoint=order.checkpoint,
            total_ms=total_ms,
        )

    def _stop(self, key: RunKey) -> None:
        self._stops_ms.setdefault(
            key, self._at_ms + self._stops.randint(*STOP_MS)
        )

    def _finish_stop(self, key: RunKey) -> None:
        run = self.runs.get(key)
        if run is None:
            return
        self.stopped += 1
        done_ms = max(0, int(run.total_ms - run.left_ms))
        if run.spec.checkpoints:
            run.checkpoint = f'{done_ms:016x}'
        else:
            self.lost_milli_ms += done_ms * run.spec.resources.processors_milli
        self._end(key, STOPPED)


@dataclass
class QueueOutcome:
    """What the callers of one queue saw; `worth` against the whole worth."""

    jobs: int = 0
    on_time: int = 0
    late: int = 0
    worth: float = 0
    owed: float = 0
    waits_ms: list[int] = field(default_factory=list)


@dataclass
class LoadOutcome:
    """The outcome of one replay.

    `longest_wide_ms` is the longest time for which a wide job took, counted
    until the end of the replay for one that did not end.
    """

    queues: dict[str, QueueOutcome]
    longest_wide_ms: int
    lost_core_s: float
    stopped: int
    plan_us: float


class _BurstSite(Site):
    """The workers and callers of a load."""

    def __init__(self, load: Load) -> None:
        self.machines: list[VaryingWorker] = []
        self.specs: list[JobSpec] = []
        self.ends: dict[str, tuple[int, JobState]] = {}
        self._load = load

    def create_workers(self) -> Iterator[QuietWorker]:
        for facts in create_registrations(self._load.workers, MACHINE):
            worker = VaryingWorker(facts, self._load)
            self.machines.append(worker)
            yield worker

    def arrivals(self, end_ms: int) -> Iterator[Arrival]:
        for arrival in BurstCallers(self._load).arrivals(BEGIN_MS):
            if not arrival.spec.is_endless():
                self.specs.append(arrival.spec)
            yield arrival

    def note_saved(self, job: Job, at_ms: int) -> None:
        """Record the end of a job."""
        if job.state.is_final:
            self.ends[job.spec.job_id] = (at_ms, job.state)


def play_load(load: Load) -> LoadOutcome:
    """Play a load; return what its callers saw."""
    site = _BurstSite(load)
    parts = Parts()
    shape = Shape(PLAN_GAP_MS, load.workers, 0, 0, 0, load.total_s, load.seed)
    Replay(shape, parts, site).play()
    queues: defaultdict[str, QueueOutcome] = defaultdict(QueueOutcome)
    longest_wide_ms = 0
    mean_work = _mean_work(site.specs)
    unended = BEGIN_MS + load.total_s * MS_PER_SECOND, JobState.QUEUED
    for spec in site.specs:
        end_ms, state = site.ends.get(spec.job_id, unended)
        mean = mean_work[spec.policy.queue]
        _add(queues[spec.policy.queue], spec, end_ms, state, mean)
        if max(step.task_count for step in spec.steps) >= WIDE_TASKS:
            took_ms = end_ms - spec.submitted_ms
            longest_wide_ms = max(longest_wide_ms, took_ms)
    return LoadOutcome(
        dict(queues),
        longest_wide_ms,
        sum(each.lost_milli_ms for each in site.machines) / MILLI_MS_PER_CORE_S,
        sum(each.stopped for each in site.machines),
        parts.spent_ns['plan'] / NS_PER_US / max(1, parts.calls['plan']),
    )


def _add(
    queue: QueueOutcome,
    spec: JobSpec,
    end_ms: int,
    state: JobState,
    mean_work: float,
) -> None:
    worth = BASE_WORTH + (1 - BASE_WORTH) * job_work(spec) / mean_work
    queue.jobs += 1
    queue.owed += worth
    allowed_ms = spec.objective_ms() - spec.submitted_ms
    took_ms = end_ms - spec.submitted_ms
    queue.waits_ms.append(took_ms)
    if state is not JobState.COMPLETED:
        return
    if took_ms <= allowed_ms:
        queue.on_time += 1
        queue.worth += worth
    elif took_ms <= MAX_LATENESS_FACTOR * allowed_ms:
        queue.late += 1
        queue.worth += LATE_WORTH * worth


def job_work(spec: JobSpec) -> float:
    """Return the processor time of a job by its estimates."""
    return sum(
        step.task_count * step.resources.processors_milli * step.estimated_ms
        for step in spec.steps
    )


def _mean_work(specs: list[JobSpec]) -> dict[str, float]:
    work: Counter[str] = Counter()
    count: Counter[str] = Counter()
    for spec in specs:
        work[spec.policy.queue] += int(job_work(spec))
        count[spec.policy.queue] += 1
    return {queue: work[queue] / count[queue] for queue in work}
