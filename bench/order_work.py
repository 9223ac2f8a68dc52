"""Bursts of batch jobs beside urgent jobs and long-running tasks.

The cluster has room for about half of the batch work of a burst. Widths, run
times and estimates vary by much, as those of callers do.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bench.leader_work import FILLING_IMAGES, SERVICE, SERVING_IMAGES, Arrival
from bench.leader_workers import SIZES
from gentianpulley.cluster.schedulable_workers import LONG_RUNNING_UTILIZATION
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec, TaskId
from gentianpulley.resources import Resources

MACHINE: Final = Resources(16_000, 62_500)
BURST_S: Final = 25
LULL_S: Final = 15
BURSTS: Final = 2
DRAIN_S: Final = 25
INTERFERENCE_ROOM: Final = 0.6
LULL_LOAD: Final = 0.3
SETTLE_MS: Final = 3000

URGENT: Final = QueuePolicy('urgent', SERVICE, 0, 3, 1.5, 300)
BATCH: Final = QueuePolicy('batch', SERVICE, 2, 3, 1.5, 2500)
SERVING: Final = QueuePolicy('serving', SERVICE, 0, 3, 1.5, 300)
URGENT_JOBS_S: Final = 0.5
URGENT_STEPS: Final = 1.6
URGENT_TASKS: Final = 10
URGENT_PROCESSORS: Final = 2600
URGENT_MEMORY: Final = 5000
URGENT_MS: Final = 1000
BATCH_STEPS: Final = 2
BATCH_TASKS: Final = 20
BATCH_PROCESSORS: Final = 1800
SERVING_TASKS: Final = 6
SERVING_PROCESSORS: Final = 3200
SERVING_MEMORY: Final = 5000
TAIL_TARGET_MS: Final = 50
WIDTH_SPREAD: Final = 0.6
RUN_SPREAD: Final = 0.5
TASK_SPREAD: Final = 0.25
URGENT_ERROR: Final = 0.1
RUN_ERROR: Final = 0.15


@dataclass(frozen=True)
class Load:
    """One burst of batch work.

    `serving_share` is the share of the processors that long-running tasks
    reserve, `overload` the batch work of a burst as a multiple of the room for
    it. `estimate_error` is the standard deviation of the logarithm of the run
    time against its estimate.
    """

    name: str
    seed: int
    fills_spare: bool
    workers: int = 24
    serving_share: float = 0.75
    overload: float = 2
    estimate_error: float = 0.5
    batch_ms: int = 2200
    batch_memory: int = 3000
    checkpoint_share: float = 0.85

    @property
    def burst_end_s(self) -> int:
        """Return when the last burst and its lull are over."""
        return BURSTS * (BURST_S + LULL_S)

    @property
    def total_s(self) -> int:
        """Return the simulated time, in which every job ends or expires."""
        return self.burst_end_s + DRAIN_S

    def capacity_milli(self) -> float:
        """Return the processors of all workers."""
        sizes = (SIZES[each % len(SIZES)] for each in range(self.workers))
        return MACHINE.processors_milli * sum(sizes)

    def batch_jobs_s(self) -> float:
        """Return the batch jobs a second of a burst."""
        used_share = self.serving_share
        if self.fills_spare:
            used_share *= LONG_RUNNING_UTILIZATION
        urgent = URGENT_JOBS_S * URGENT_STEPS * URGENT_TASKS * URGENT_PROCESSORS
        room = self.capacity_milli() * (1 - used_share) - urgent
        if self.fills_spare:
            room *= INTERFERENCE_ROOM
        work = BATCH_STEPS * BATCH_TASKS * BATCH_PROCESSORS * self.batch_ms
        spread = math.exp((WIDTH_SPREAD**2 + RUN_SPREAD**2) / 2)
        return self.overload * room * MS_PER_SECOND / (work * spread)


def run_time_ms(load: Load, task_id: TaskId, spec: StepSpec) -> float:
    """Return how long a task takes at full speed; each run takes the same."""
    if spec.is_endless:
        return math.inf
    of_job = random.Random(f'{load.seed} {task_id.job_id}')
    of_task = random.Random(f'{load.seed} {task_id}')
    is_batch = spec.estimated_ms != URGENT_MS
    job_error = load.estimate_error if is_batch else URGENT_ERROR
    log_error = of_job.gauss(0, job_error) + of_task.gauss(0, RUN_ERROR)
    return max(50, spec.estimated_ms * math.exp(log_error))


class BurstCallers:
    """Draws the jobs of a load from its seed."""

    def __init__(self, load: Load) -> None:
        """Create callers; the same seed draws the same jobs."""
        self._load = load
        self._rng = random.Random(f'{load.name} {load.seed}')

    def arrivals(self, begin_ms: int) -> Iterator[Arrival]:
        """Yield the jobs in order of arrival, long-running ones first."""
        for spec in self._serving_jobs(begin_ms):
            yield Arrival(begin_ms, spec)
        busy_ms = begin_ms + SETTLE_MS
        end_ms = begin_ms + self._load.burst_end_s * MS_PER_SECOND
        drawn = [
            Arrival(at_ms, self._urgent(at_ms))
            for at_ms in self._times(busy_ms, end_ms, URGENT_JOBS_S)
        ]
        jobs_s = self._load.batch_jobs_s()
        for burst in range(BURSTS):
            burst_ms = busy_ms + burst * (BURST_S + LULL_S) * MS_PER_SECOND
            lull_ms = burst_ms + BURST_S * MS_PER_SECOND
            lull_end_ms = lull_ms + LULL_S * MS_PER_SECOND
            times = (
                *self._times(burst_ms, lull_ms, jobs_s),
                *self._times(
                    lull_ms, min(lull_end_ms, end_ms), LULL_LOAD * jobs_s
                ),
            )
            drawn.extend(Arrival(at_ms, self._batch(at_ms)) for at_ms in times)
        yield from sorted(drawn, key=lambda arrival: arrival.at_ms)

    def _times(
        self, begin_ms: int, end_ms: int, jobs_s: float
    ) -> Iterator[int]:
        at_ms = float(begin_ms)
        while True:
            at_ms += self._rng.expovariate(jobs_s) * MS_PER_SECOND
            if at_ms >= end_ms:
                return
            yield int(at_ms)

    def _serving_jobs(self, at_ms: int) -> Iterator[JobSpec]:
        left = self._load.capacity_milli() * self._load.serving_share
        number = 0
        while left > 0:
            count = min(SERVING_TASKS, math.ceil(left / SERVING_PROCESSORS))
            left -= count * SERVING_PROCESSORS
            image = f'endless-{number % SERVING_IMAGES}'
            number += 1
            step = StepSpec(
                count,
                Resources(SERVING_PROCESSORS, SERVING_MEMORY),
                320,
                is_endless=True,
                image=image,
                tail_target_ms=TAIL_TARGET_MS,
            )
            yield self._job(SERVING, (step,), at_ms)

    def _urgent(self, at_ms: int) -> JobSpec:
        low = int(URGENT_STEPS)
        count = low + (self._rng.random() < URGENT_STEPS - low)
        steps = tuple(
            StepSpec(
                URGENT_TASKS,
                Resources(URGENT_PROCESSORS, URGENT_MEMORY),
                URGENT_MS,
                after=(number - 1,) if number else (),
            )
            for number in range(count)
        )
        return self._job(URGENT, steps, at_ms)

    def _batch(self, at_ms: int) -> JobSpec:
        load = self._load
        image = f'filling-{self._rng.randrange(FILLING_IMAGES)}'
        checkpoints = self._rng.random() < load.checkpoint_share
        steps = tuple(
            StepSpec(
                self._vary(BATCH_TASKS, WIDTH_SPREAD),
                Resources(
                    self._vary(BATCH_PROCESSORS, TASK_SPREAD),
                    self._vary(load.batch_memory, TASK_SPREAD),
                ),
                self._vary(load.batch_ms, RUN_SPREAD),
                after=(number - 1,) if number else (),
                checkpoints=checkpoints,
                fills_spare=load.fills_spare,
                image=image if load.fills_spare else '',
            )
            for number in range(BATCH_STEPS)
        )
        return self._job(BATCH, steps, at_ms)

    def _vary(self, median: float, spread: float) -> int:
        return max(1, round(median * math.exp(self._rng.gauss(0, spread))))

    def _job(
        self, policy: QueuePolicy, steps: tuple[StepSpec, ...], at_ms: int
    ) -> JobSpec:
        job_id = f'{self._rng.getrandbits(64):016x}'
        return JobSpec(job_id, 'x' * 100, policy, steps, at_ms)
