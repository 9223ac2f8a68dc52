"""A seeded load on one scheduler whose link carries too few starts.

Time is simulated. Starts pass through the link one after the other, workers
accept them and end every run after its estimated time.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from gentianpulley.cluster.start_limiter import START_OVERHEAD_BYTES
from gentianpulley.cluster.delay_cost import DeadlineClass
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    RunningRow,
    StartOrder,
    StartVerdict,
)
from gentianpulley.jobs.job import Job, StepRun
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    START_MS,
    SchedulerHarness,
    create_harness,
    job,
    step,
)

TICK_MS = 10
SAVE_MS = 50
TASK_MIB = 1000
FINISH_MS = 14_000
MS_PER_S = 1000


@dataclass(frozen=True)
class JobKind:
    """Jobs of one priority that arrive at random."""

    name: str
    priority: int
    jobs_per_s: float
    steps: int
    width: int
    processors_milli: int
    run_ms: int
    is_gang: bool = False


@dataclass(frozen=True)
class LinkLoad:
    """A cluster, its leader's link, and the jobs of `traffic_s` seconds.

    The leader plans each `plan_ms`, learns of a reply `reply_ms` after the
    start has passed the link, and of ends each `listing_ms`.
    """

    kinds: tuple[JobKind, ...]
    seed: int
    workers: int = 24
    link_bytes_s: int = 20_000
    traffic_s: int = 40
    rest_s: int = 30
    plan_ms: int = 20
    reply_ms: int = 30
    listing_ms: int = 100


@dataclass
class LoadOutcome:
    """What callers saw: ends of jobs by kind, and waits of tasks in ms.

    A wait lasts from the time at which a task's step could begin until its
    first start. `idle_ms` is the longest time, from `FINISH_MS` after the
    traffic on, for which a job that could go on had no task on a worker, and
    `longest_idle_ms` the same for all of the time.
    `unstarted` are tasks that could have started and never did.
    """

    ends: dict[str, Counter[DeadlineClass]] = field(default_factory=dict)
    waits_ms: list[int] = field(default_factory=list)
    idle_ms: int = 0
    longest_idle_ms: int = 0
    unstarted: int = 0
    starts: int = 0


class LinkReplay:
    """Plays one load."""

    def __init__(self, load: LinkLoad) -> None:
        """Create the cluster without jobs."""
        self._load = load
        self._rng = random.Random(load.seed)
        self._harness: SchedulerHarness = create_harness(
            *(f'w{number}' for number in range(load.workers)),
            link_bytes_s=load.link_bytes_s,
        )
        self._outcome = LoadOutcome(
            {kind.name: Counter() for kind in load.kinds}
        )
        self._link: deque[StartOrder] = deque()
        self._link_free_ms = float(START_MS)
        self._replies: deque[tuple[float, StartOrder]] = deque()
        self._runs: list[tuple[int, int, StartOrder]] = []
        self._ends: dict[str, list[StartOrder]] = {}
        self._open: dict[str, tuple[JobKind, Job]] = {}
        self._ready_ms: dict[tuple[str, int], int] = {}
        self._begun: set[tuple[str, int, int]] = set()
        self._idle_since_ms: dict[str, int] = {}
        self._running: Counter[str] = Counter()
        self._traffic_end_ms = START_MS + load.traffic_s * MS_PER_S
        self._numbers: Counter[str] = Counter()

    def play(self) -> LoadOutcome:
        """Play the traffic and the rest after it."""
        load = self._load
        end_ms = self._traffic_end_ms + load.rest_s * MS_PER_S
        arrivals = deque(sorted(self._arrivals(self._traffic_end_ms)))
        while self._harness.at_ms < end_ms:
            self._harness.at_ms += TICK_MS
            at_ms = self._harness.at_ms
            while arrivals and arrivals[0][0] <= at_ms:
                self._accept(*arrivals.popleft()[1:])
            self._transmit()
            self._reply()
            self._collect_ends()
            if at_ms % load.listing_ms == 0:
                self._list_ends()
            if at_ms % load.plan_ms == 0:
                self._note_ready()
                self._plan()
            if at_ms % SAVE_MS == 0:
                self._save()
        self._note_ready()
        self._count_unfinished()
        return self._outcome

    def _arrivals(self, end_ms: int) -> Iterator[tuple[int, int, JobKind]]:
        count = 0
        for kind in self._load.kinds:
            at_ms = float(START_MS)
            while True:
                at_ms += self._rng.expovariate(kind.jobs_per_s) * MS_PER_S
                if at_ms >= end_ms:
                    break
                count += 1
                yield int(at_ms), count, kind

    def _accept(self, number: int, kind: JobKind) -> None:
        steps = tuple(
            step(
                max(1, round(kind.width * self._rng.uniform(0.5, 1.5))),
                resources=Resources(kind.processors_milli, TASK_MIB),
                estimated_ms=kind.run_ms,
                after=(index - 1,) if index else (),
                is_gang=kind.is_gang,
            )
            for index in range(kind.steps)
        )
        created = job(
            *steps,
            job_id=f'{number:016x}',
            priority=kind.priority,
            submitted_ms=self._harness.at_ms,
        )
        self._open[created.spec.job_id] = (kind, created)
        self._idle_since_ms[created.spec.job_id] = self._harness.at_ms
        self._harness.scheduler.add_job(created)

    def _plan(self) -> None:
        self._link.extend(self._harness.plan())

    def _transmit(self) -> None:
        while self._link and self._link_free_ms <= self._harness.at_ms:
            order = self._link.popleft()
            size = START_OVERHEAD_BYTES + len(order.payload)
            begun_ms = max(self._link_free_ms, self._harness.at_ms - TICK_MS)
            spent_ms = size * MS_PER_S / self._load.link_bytes_s
            self._link_free_ms = begun_ms + spent_ms
            self._replies.append(
                (self._link_free_ms + self._load.reply_ms, order)
            )

    def _reply(self) -> None:
        at_ms = self._harness.at_ms
        while self._replies and self._replies[0][0] <= at_ms:
            _, order = self._replies.popleft()
            self._harness.answer(order, StartVerdict.ACCEPTED)
            self._note_start(order)
            spec = self._step_of(order).spec
            self._outcome.starts += 1
            entry = (at_ms + spec.estimated_ms, self._outcome.starts, order)
            heapq.heappush(self._runs, entry)

    def _note_start(self, order: StartOrder) -> None:
        task = order.key.task_id
        self._begun.add((task.job_id, task.step, task.ordinal))
        ready_ms = self._ready_ms[task.job_id, task.step]
        self._outcome.waits_ms.append(self._harness.at_ms - ready_ms)
        if not self._running[task.job_id]:
            self._note_idle(task.job_id)
        self._running[task.job_id] += 1

    def _collect_ends(self) -> None:
        while self._runs and self._runs[0][0] <= self._harness.at_ms:
            _, _, order = heapq.heappop(self._runs)
            job_id = order.key.task_id.job_id
            self._running[job_id] -= 1
            self._idle_since_ms[job_id] = self._harness.at_ms
            self._ends.setdefault(order.worker_id, []).append(order)

    def _list_ends(self) -> None:
        """Report the ends of each worker in one listing."""
        ends = self._ends
        self._ends = {}
        for worker_id, orders in ends.items():
            ended = {order.key for order in orders}
            rows = []
            for order in orders:
                self._numbers[worker_id] += 1
                number = self._numbers[worker_id]
                rows.append(EndedRow(number, order.key, EndCause.DONE, ''))
            worker = self._harness.scheduler.workers[worker_id]
            running = tuple(
                RunningRow(key, '', 50, 0)
                for key, held in worker.reservations.items()
                if key not in ended and held.confirmed_ms
            )
            self._harness.report_listing(worker_id, running, tuple(rows))

    def _save(self) -> None:
        scheduler = self._harness.scheduler
        number = scheduler.change_number
        scheduler.changed_jobs()
        scheduler.acknowledge_saved_ends(number, self._harness.at_ms)

    def _note_ready(self) -> None:
        """Note which steps can start, and the jobs that have ended."""
        at_ms = self._harness.at_ms
        for job_id, (kind, known) in tuple(self._open.items()):
            if known.state.is_final:
                self._open.pop(job_id)
                self._outcome.ends[kind.name][end_class(known, at_ms)] += 1
            for each in known.ready_steps(at_ms):
                self._ready_ms.setdefault((job_id, each.number), at_ms)

    def _note_idle(self, job_id: str) -> None:
        """Note how long a job had nothing running, at the end and ever."""
        at_ms = self._harness.at_ms
        since_ms = self._idle_since_ms[job_id]
        outcome = self._outcome
        outcome.longest_idle_ms = max(outcome.longest_idle_ms, at_ms - since_ms)
        end_ms = max(since_ms, self._traffic_end_ms + FINISH_MS)
        outcome.idle_ms = max(outcome.idle_ms, at_ms - end_ms)

    def _count_unfinished(self) -> None:
        for job_id, (kind, known) in self._open.items():
            self._outcome.ends[kind.name][DeadlineClass.EXPIRED] += 1
            if not self._running[job_id]:
                self._note_idle(job_id)
            for each in known.ready_steps(self._harness.at_ms):
                self._count_unstarted(each)

    def _count_unstarted(self, known: StepRun) -> None:
        job_id = known.job.spec.job_id
        since_ms = self._ready_ms[job_id, known.number]
        for ordinal in known.waiting:
            if (job_id, known.number, ordinal) not in self._begun:
                self._outcome.unstarted += 1
                self._outcome.waits_ms.append(self._harness.at_ms - since_ms)

    def _step_of(self, order: StartOrder) -> StepRun:
        task_id = order.key.task_id
        known = self._harness.scheduler.jobs[task_id.job_id]
        return known.steps[task_id.occurrence, task_id.step]


def end_class(known: Job, at_ms: int) -> DeadlineClass:
    spec = known.spec
    objective_ms = spec.objective_ms()
    if at_ms <= objective_ms:
        return DeadlineClass.ON_TIME
    allowed_ms = objective_ms - spec.submitted_ms
    is_late = at_ms <= spec.submitted_ms + 3 * allowed_ms
    return DeadlineClass.LATE if is_late else DeadlineClass.EXPIRED


def play(load: LinkLoad) -> LoadOutcome:
    """Play one load."""
    return LinkReplay(load).play()
