"""Jobs as submitted by the callers of a loaded cluster, drawn from a seed.

Three queues: urgent steps that reserve their processors, wide best-effort
steps that use idle capacity, and long-running steps that serve users directly.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec
from gentianpulley.resources import Resources

SERVICE: Final = 'service'
FILLING_IMAGES: Final = 18
SERVING_IMAGES: Final = 10
TAIL_TARGET_MS: Final = 50
PAYLOAD_BYTES: Final = 1500
DECIDING: Final = 1.5
SPREAD: Final = 0.4
APART_SHARE: Final = 0.15
SAVING_SHARE: Final = 0.85


@dataclass(frozen=True)
class Kind:
    """The jobs of one queue: arrival rate and mean requirements."""

    queue: str
    priority: int
    attempts: int
    jobs_s: float
    steps: float
    tasks: float
    processors_milli: int
    memory_mib: int
    run_ms: int
    is_endless: bool = False
    fills_spare: bool = False


URGENT: Final = Kind('urgent', 0, 2, 5.5, 1.6, 10, 11_000, 22_000, 1000)
FILLING: Final = Kind(
    'filling', 2, 3, 13, 2, 20, 7000, 13_000, 1700, fills_spare=True
)
ENDLESS: Final = Kind(
    'endless', 0, 3, 0.45, 1, 14, 13_000, 26_000, 320, is_endless=True
)
KINDS: Final = (URGENT, FILLING, ENDLESS)


@dataclass(frozen=True)
class Arrival:
    """A job and the time at which it is accepted."""

    at_ms: int
    spec: JobSpec


class Callers:
    """Draws jobs from one random generator."""

    def __init__(self, seed: int, kinds: tuple[Kind, ...] = KINDS) -> None:
        """Create callers; the same seed draws the same jobs."""
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._count = 0

    def standing(
        self, long_running: int, best_effort: int, at_ms: int
    ) -> list[JobSpec]:
        """Return the jobs that a cluster has at the start."""
        counts = (
            (long_running, [kind for kind in self._kinds if kind.is_endless]),
            (best_effort, [kind for kind in self._kinds if kind.fills_spare]),
        )
        return [
            self._job(kind, at_ms)
            for count, kinds in counts
            for kind in kinds * count
        ]

    def arrivals(self, begin_ms: int, end_ms: int) -> Iterator[Arrival]:
        """Yield the jobs of a time span in order of arrival."""
        drawn: list[Arrival] = []
        for kind in self._kinds:
            at_ms = float(begin_ms)
            while at_ms < end_ms:
                gap_s = self._rng.expovariate(kind.jobs_s)
                at_ms += gap_s * MS_PER_SECOND
                drawn.append(Arrival(int(at_ms), self._job(kind, int(at_ms))))
        yield from sorted(drawn, key=lambda arrival: arrival.at_ms)

    def _job(self, kind: Kind, at_ms: int) -> JobSpec:
        self._count += 1
        low = int(kind.steps)
        steps = low + (self._rng.random() < kind.steps - low)
        return JobSpec(
            f'{self._rng.getrandbits(64):016x}',
            'x' * self._draw_around(PAYLOAD_BYTES),
            QueuePolicy(
                kind.queue,
                SERVICE,
                kind.priority,
                kind.attempts,
                DECIDING,
                MS_PER_SECOND,
            ),
            tuple(self._step(kind, number) for number in range(steps)),
            at_ms,
        )

    def _step(self, kind: Kind, number: int) -> StepSpec:
        is_endless = kind.is_endless
        is_apart = self._rng.random() < APART_SHARE
        return StepSpec(
            self._draw_around(kind.tasks),
            Resources(
                self._draw_around(kind.processors_milli),
                self._draw_around(kind.memory_mib),
            ),
            self._draw_around(kind.run_ms),
            after=(number - 1,) if number else (),
            max_per_worker=int(is_apart and not kind.fills_spare),
            checkpoints=kind.fills_spare and self._rng.random() < SAVING_SHARE,
            is_endless=is_endless,
            fills_spare=kind.fills_spare,
            image=self._image(kind),
            tail_target_ms=TAIL_TARGET_MS if is_endless else 0,
        )

    def _image(self, kind: Kind) -> str:
        if not (kind.is_endless or kind.fills_spare):
            return ''
        images = SERVING_IMAGES if kind.is_endless else FILLING_IMAGES
        return f'{kind.queue}-{self._rng.randrange(images)}'

    def _draw_around(self, mean: float) -> int:
        factor = self._rng.uniform(1 - SPREAD, 1 + SPREAD)
        return max(1, round(mean * factor))
