"""Compares two placements under interference: `python -m bench.placing_replay`.

Usage: python -m bench.placing_replay [WORKERS [SEEDS [SECONDS]]]

Each seed is played with all images packed densely and best-effort tasks ranked
by load alone, as before, then with `image_separation`. Reports are half a
second late.
"""

import random
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import Final
from unittest.mock import patch

from bench.leader_parts import Parts
from bench.leader_replay import BEGIN_MS, Replay, Shape, Site
from bench.leader_work import ENDLESS, FILLING, URGENT, Arrival, Callers
from bench.leader_workers import (
    FULL,
    NOISE,
    QuietWorker,
    Run,
    create_registrations,
)
from gentianpulley.cluster.image_separation import (
    PACKED,
    Separation,
    SeparationLoad,
    decide_separation,
)
from gentianpulley.cluster.worker_protocol import RunKey, WorkerRegistration
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.job import Job, JobState
from gentianpulley.resources import Resources

REFERENCE_WORKERS: Final = 246
SMALL_CLUSTER: Final = 34
SMALL_CLUSTER_MILLI: Final = 64_000
PROCESSORS_MILLI: Final = 16_000
MEMORY_MIB: Final = 62_500
LONG_RUNNING_JOBS: Final = 60
SETTLE_S: Final = 8
DEFAULT_S: Final = 8
DEFAULT_SEEDS: Final = 5
PLAN_GAP_MS: Final = 20
REPORT_GAP_MS: Final = 250
LATE_REPORTS: Final = 3
STRONG_SHARE: Final = 0.6
STRONG: Final = 8.0
WEAK: Final = 0.5

URGENT_KIND: Final = replace(URGENT, processors_milli=2750, memory_mib=5500)
FILLING_KIND: Final = replace(
    FILLING, processors_milli=1800, memory_mib=3300, run_ms=2200
)
ENDLESS_KIND: Final = replace(
    ENDLESS, jobs_s=2, processors_milli=3200, memory_mib=6500
)

DECISION: Final = 'gentianpulley.cluster.image_separation.decide_separation'
SIZES: Final = (24, 34, 100, 246)
NS_PER_US: Final = 1000

Decision = Callable[[SeparationLoad], Separation]


def _pack(load: SeparationLoad) -> Separation:
    """Pack all images densely, as before."""
    return PACKED


PLACEMENTS: Final = (
    ('former', _pack),
    ('new', decide_separation),
)


@dataclass
class Score:
    """What callers got in the measured time, in milliseconds and tasks."""

    critical_ms: int = 0
    over_ms: int = 0
    best_effort_ms: int = 0
    slowed_ms: int = 0
    due: int = 0
    on_time: int = 0
    stops: int = 0
    plan_us: int = 0

    def add(self, other: 'Score') -> None:
        """Add the score of another seed."""
        for name, amount in vars(other).items():
            setattr(self, name, getattr(self, name) + amount)

    def __str__(self) -> str:
        """Return the shares of the whole."""
        return (
            f'on time {self.on_time / max(1, self.due):6.1%}, '
            f'over target {self.over_ms / max(1, self.critical_ms):6.2%}, '
            f'slowed {self.slowed_ms / max(1, self.best_effort_ms):6.1%}, '
            f'{self.stops} stops, {self.plan_us} us a plan'
        )


class LateWorker(QuietWorker):
    """A worker whose tail latencies are reported half a second late."""

    def __init__(
        self, facts: WorkerRegistration, seed: int, pairs: int, score: Score
    ) -> None:
        """Use the interference drawn from `pairs`; add up a score."""
        super().__init__(facts, seed)
        self._pairs = pairs
        self._score = score
        self._reports: dict[RunKey, deque[int]] = {}
        self._next_report_ms = 0

    def interference(self, critical: str, best_effort: str) -> float:
        """Return the coefficient that the seed draws for a pair."""
        return drawn_interference(self._pairs, critical, best_effort)

    def measure(self, run: Run) -> int:
        """Return the oldest kept report of a long-running task."""
        if not run.spec.is_endless:
            return super().measure(run)
        reports = self._reports.get(run.key)
        return reports[0] if reports else 0

    def advance(self, at_ms: int) -> None:
        """Report and score before runs change."""
        if at_ms >= self._next_report_ms:
            self._next_report_ms = at_ms + REPORT_GAP_MS
            for run in self.runs.values():
                self._report(run)
        super().advance(at_ms)

    def set_speeds(self) -> None:
        """Wake up for the next report, too."""
        super().set_speeds()
        if self.runs:
            self.next_ms = min(self.next_ms, self._next_report_ms)

    def _report(self, run: Run) -> None:
        score = self._score
        if run.spec.is_endless:
            is_over = self.tail_ms(run, 0) > run.spec.tail_target_ms
            score.critical_ms += REPORT_GAP_MS
            score.over_ms += REPORT_GAP_MS * is_over
            reports = self._reports.setdefault(
                run.key, deque(maxlen=LATE_REPORTS)
            )
            reports.append(self.tail_ms(run, self.rng.gauss(0, NOISE)))
        elif run.spec.fills_spare:
            score.best_effort_ms += REPORT_GAP_MS
            score.slowed_ms += REPORT_GAP_MS * (run.percent < FULL)


class PlacingSite(Site):
    """Workers with drawn interference, and rates that fit their processors."""

    def __init__(self, shape: Shape, score: Score) -> None:
        """Prepare the cluster of a shape."""
        self._shape = shape
        self._score = score
        is_small = shape.workers <= SMALL_CLUSTER
        self._size = SMALL_CLUSTER_MILLI / PROCESSORS_MILLI if is_small else 1
        self.done_ms: dict[str, int] = {}

    def create_workers(self) -> Iterator[QuietWorker]:
        """Yield workers that report late."""
        shape = self._shape
        machine = Resources(
            int(PROCESSORS_MILLI * self._size), int(MEMORY_MIB * self._size)
        )
        for number, facts in enumerate(
            create_registrations(shape.workers, machine)
        ):
            seed = shape.seed * shape.workers + number
            yield LateWorker(facts, seed, shape.seed, self._score)

    def arrivals(self, end_ms: int) -> Iterator[Arrival]:
        """Yield the initial jobs, then the arriving ones."""
        shape = self._shape
        scale = shape.workers * self._size / REFERENCE_WORKERS
        kinds = tuple(
            replace(kind, jobs_s=kind.jobs_s * scale)
            for kind in (URGENT_KIND, FILLING_KIND, ENDLESS_KIND)
        )
        callers = Callers(shape.seed, kinds)
        for spec in callers.standing(
            shape.endless_jobs, shape.filling_jobs, BEGIN_MS
        ):
            yield Arrival(BEGIN_MS, spec)
        yield from callers.arrivals(BEGIN_MS, end_ms)

    def note_saved(self, job: Job, at_ms: int) -> None:
        """Note when a job has ended as done."""
        if job.state is JobState.COMPLETED:
            self.done_ms.setdefault(job.spec.job_id, at_ms)


class PlacingReplay(Replay):
    """A replay that adds up what callers got."""

    def __init__(self, shape: Shape, score: Score) -> None:
        """Create the cluster."""
        self._costs = Parts()
        site = PlacingSite(shape, score)
        super().__init__(shape, self._costs, site)
        self.score = score
        self._done_ms = site.done_ms
        self._rng = random.Random(shape.seed)
        self._long_running: list[Job] = []

    def start_measuring(self) -> None:
        """Forget the settling time."""
        super().start_measuring()
        vars(self.score).update(vars(Score()))

    def finish(self) -> Score:
        """Play, and count the tasks due in the measured time."""
        self.play()
        score = self.score
        begin_ms = BEGIN_MS + SETTLE_S * MS_PER_SECOND
        for job in self.jobs:
            objective_ms = job.spec.objective_ms()
            is_due = begin_ms < objective_ms <= self.at_ms
            if is_due and job.spec.steps[0].fills_spare:
                tasks = sum(step.task_count for step in job.spec.steps)
                done_ms = self._done_ms.get(job.spec.job_id, self.at_ms)
                score.due += tasks
                score.on_time += tasks * (done_ms < objective_ms)
        score.stops = self._costs.calls['StopOrder']
        plans = max(1, self._costs.calls['plan'])
        score.plan_us = self._costs.spent_ns['plan'] // plans // NS_PER_US
        return score

    def _tick(self, jobs: deque[Arrival]) -> None:
        """Cancel one long-running job for each that arrives.

        So their images mix on the workers, and their load stays the same.
        """
        count = len(self.jobs)
        super()._tick(jobs)
        for added in self.jobs[count:]:
            if added.spec.is_endless():
                self._long_running.append(added)
        while len(self._long_running) > self._shape.endless_jobs:
            index = self._rng.randrange(len(self._long_running))
            cancelled = self._long_running.pop(index)
            self._service.cancel(cancelled.spec.job_id)


@cache
def drawn_interference(seed: int, critical: str, best_effort: str) -> float:
    """Return the coefficient of a pair, the same in every replay of a seed."""
    image_rng = random.Random(f'{seed}/{best_effort}')
    largest = STRONG if image_rng.random() < STRONG_SHARE else WEAK
    pair_rng = random.Random(f'{seed}/{critical}/{best_effort}')
    return largest * pair_rng.random()


def play(workers: int, seed: int, seconds: int, decision: Decision) -> Score:
    """Play one cluster, with rates in proportion to its processors."""
    is_small = workers <= SMALL_CLUSTER
    size = SMALL_CLUSTER_MILLI / PROCESSORS_MILLI if is_small else 1
    scale = workers * size / REFERENCE_WORKERS
    shape = Shape(
        PLAN_GAP_MS,
        workers,
        round(LONG_RUNNING_JOBS * scale),
        0,
        SETTLE_S,
        seconds,
        seed,
    )
    replay = PlacingReplay(shape, Score())
    with patch(DECISION, decision):
        return replay.finish()


def main() -> None:
    """Print both placements for each cluster, and their sums."""
    given = [int(text) for text in sys.argv[1:]]
    sizes = given[:1] or SIZES
    seeds = given[1] if len(given) > 1 else DEFAULT_SEEDS
    seconds = given[2] if len(given) > 2 else DEFAULT_S
    for workers in sizes:
        for name, decision in PLACEMENTS:
            total = Score()
            for seed in range(1, seeds + 1):
                score = play(workers, seed, seconds, decision)
                print(f'{workers} workers, seed {seed}, {name}: {score}')
                total.add(score)
            print(f'{workers} workers, all, {name}: {total}', flush=True)


if __name__ == '__main__':
    main()
