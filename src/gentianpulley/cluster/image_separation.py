"""Decides how far latency-critical images are kept on workers of their own.

Handles a large cluster on which many best-effort images each interfere with
some latency-critical ones. A worker with two latency-critical images is closed
to every best-effort image that interferes with either. Separate images lose
about half a worker each, which only a cluster with many workers for each image
can afford. Others pack all images densely.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.schedulable_workers import SchedulableWorkers
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun

PACKED_IMAGE_COST: Final = 0.05
"""Cost of each other image with latency-critical tasks on a worker where all
images are packed densely. It is small, as filling up a worker comes first: that
leaves other workers without any task that best-effort tasks could interfere
with."""

SEPARATE_IMAGE_COST: Final = 1.0
"""Cost of each other image where every image gets workers of its own. An empty
worker costs as much, so that it is preferred to any worker of other images."""

VIOLATION_COST: Final = 3.0
"""Cost of each latency-critical task that a best-effort task is expected to
push over its target, on a cluster that separates images."""

MIN_IMAGES: Final = 10
"""Number of images for which workers are set aside, also while fewer are live:
long-running tasks stay where they were placed when there were few."""

PACKED_WORKERS_PER_IMAGE: Final = 10
"""Workers for each image up to which all images are packed densely. With 34
workers for 10 images, workers of their own lost a tenth of the worth, and a
replay with 100 workers lost tasks by it."""

SEPARATE_WORKERS_PER_IMAGE: Final = 20
"""Workers for each image from which separation is complete. Trials on a
deployment with 24 workers for each image were best at a cost of 1.0."""

UNRANKED_WORKERS_PER_IMAGE: Final = 4
"""Workers for each image up to which only load ranks workers for best-effort
tasks, as before."""

RANKED_WORKERS_PER_IMAGE: Final = 10
"""Workers for each image from which violations count fully."""

MIN_FREE_SHARE: Final = 0.05
"""Share of workers without long-running tasks up to which all images are packed
densely, so that no further ones are opened for a separate image."""

AMPLE_FREE_SHARE: Final = 0.15
"""Share of workers without long-running tasks from which images are separated.
Best-effort images that interfere with all others, restarts, and tasks as large
as a whole worker need such workers."""

BEST_EFFORT_MEMORY_MS: Final = 60_000
"""Time without best-effort work after which separation begins to decrease."""

NOTICEABLE_CHANGE: Final = 0.1
"""Change of the degree of separation that is logged."""

BEST_EFFORT_FORGOTTEN_MS: Final = 300_000
"""Time without best-effort work after which images are packed densely, as
there is nothing to separate them from."""


@dataclass(frozen=True, slots=True)
class SeparationLoad:
    """What the decision for the workers of one service depends on.

    `free_workers` run no long-running task. `idle_ms` is the time since there
    was best-effort work.
    """

    workers: int
    free_workers: int
    images: int
    idle_ms: int = 0


@dataclass(frozen=True, slots=True)
class Separation:
    """How far images are separated: `degree` is 0 (packed) to 1 (separate).

    `ranking` is how far expected violations count among the workers for a
    best-effort task, from 0 (only load counts) to 1.
    """

    degree: float = 0
    ranking: float = 0

    @property
    def other_image_cost(self) -> float:
        """Return the cost of each other latency-critical image on a worker."""
        extra = SEPARATE_IMAGE_COST - PACKED_IMAGE_COST
        return PACKED_IMAGE_COST + self.degree * extra

    @property
    def violation_cost(self) -> float:
        """Return the cost of each violation that a task is expected to add."""
        return self.ranking * VIOLATION_COST


@dataclass(frozen=True, slots=True)
class DecidedSeparation:
    """A decision and what it was made from."""

    load: SeparationLoad
    separation: Separation

    def differs_from(self, other: 'DecidedSeparation | None') -> bool:
        """Return whether the cost has changed noticeably."""
        before = PACKED if other is None else other.separation
        return abs(self.separation.degree - before.degree) >= NOTICEABLE_CHANGE


PACKED: Final = Separation()


def decide_separation(load: SeparationLoad) -> Separation:
    """Return how far the images of a service are separated.

    The degree is continuous in each input, so that no small change makes the
    placement of the next tasks differ much.
    """
    if not load.workers:
        return PACKED
    per_image = load.workers / max(MIN_IMAGES, load.images)
    ranking = _ramp(
        per_image, UNRANKED_WORKERS_PER_IMAGE, RANKED_WORKERS_PER_IMAGE
    )
    degree = _ramp(
        per_image, PACKED_WORKERS_PER_IMAGE, SEPARATE_WORKERS_PER_IMAGE
    )
    free_share = load.free_workers / load.workers
    degree *= _ramp(free_share, MIN_FREE_SHARE, AMPLE_FREE_SHARE)
    degree *= 1 - _ramp(
        load.idle_ms, BEST_EFFORT_MEMORY_MS, BEST_EFFORT_FORGOTTEN_MS
    )
    return Separation(degree, ranking)


class ImageSeparation:
    """The decisions of one plan, by service."""

    def __init__(self) -> None:
        """Start without workers."""
        self._workers: SchedulableWorkers | None = None
        self._decisions: dict[str, Separation] = {}
        self._latest: dict[str, DecidedSeparation] = {}
        self._best_effort_ms = 0
        self._now_ms = 0

    def begin_plan(
        self,
        workers: SchedulableWorkers,
        steps: Iterable[StepRun],
        now_ms: int,
    ) -> None:
        """Use the workers of a plan and the steps that waited before it."""
        self._workers = workers
        self._decisions.clear()
        self._now_ms = now_ms
        has_best_effort = any(step.spec.fills_spare for step in steps) or any(
            worker.best_effort_milli for worker in workers.workers
        )
        if has_best_effort or not self._best_effort_ms:
            self._best_effort_ms = now_ms

    def decision(self, service: str) -> Separation:
        """Return the decision for the workers of a service."""
        found = self._decisions.get(service)
        if found is None:
            load = self._load(service)
            found = decide_separation(load)
            self._decisions[service] = found
            self._latest[service] = DecidedSeparation(load, found)
        return found

    def latest(self) -> DecidedSeparation | None:
        """Return the latest decision for the service with most workers."""
        return max(
            self._latest.values(),
            key=lambda decided: decided.load.workers,
            default=None,
        )

    def _load(self, service: str) -> SeparationLoad:
        if self._workers is None:
            return SeparationLoad(0, 0, 0)
        workers = self._workers.matching(service, '')
        return SeparationLoad(
            len(workers),
            sum(1 for worker in workers if not worker.long_running_milli),
            len(_images_of(workers)),
            self._now_ms - self._best_effort_ms,
        )


def _images_of(workers: Iterable[Worker]) -> set[str]:
    images: set[str] = set()
    for worker in workers:
        images.update(worker.serving_images)
    return images


def _ramp(amount: float, low: float, high: float) -> float:
    """Return 0 up to `low`, 1 from `high`, and linear values in between."""
    return min(1, max(0, (amount - low) / (high - low)))
