"""Chooses the worker for a task among those with free capacity."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from gentianpulley.resources import Resources
from gentianpulley.task import TaskOrder


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker with free capacity for the task, as placement sees it."""

    name: str
    rack: str
    free: Resources
    capacity: Resources
    free_slots: int
    running_classes: tuple[str, ...]


class PlacementPolicy(ABC):
    """Ranks workers by preference."""

    @abstractmethod
    def rank(
        self, order: TaskOrder, workers: Iterable[WorkerView]
    ) -> tuple[str, ...]:
        """Return the names of the workers, best first."""


class LeastLoadedPlacement(PlacementPolicy):
    """Prefers the worker with the largest fraction of free processors."""

    def rank(
        self, order: TaskOrder, workers: Iterable[WorkerView]
    ) -> tuple[str, ...]:
        """Return the names of the workers, least loaded first."""
        ranked = sorted(workers, key=_load)
        return tuple(worker.name for worker in ranked)


def create_placement() -> PlacementPolicy:
    """Return the policy that the daemon uses."""
    return LeastLoadedPlacement()


def _load(worker: WorkerView) -> float:
    free = worker.free.processors_milli
    return -free / max(1, worker.capacity.processors_milli)
