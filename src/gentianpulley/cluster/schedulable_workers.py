"""The workers that may be sent runs, worked out once for each plan.

Answers the pattern of hundreds of workers and tens of waiting steps in one
plan: whether a worker accepts runs does not change within it, and most
workers of a loaded site have no room for most steps.
"""

import math
from collections.abc import Iterable, Iterator
from operator import itemgetter
from typing import Final

from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.spec import StepSpec

LONG_RUNNING_UTILIZATION: Final = 0.6
"""Expected share of its processors that an endless task uses: their load
swings around a half."""

IndexedWorker = tuple[int, Worker]
"""A worker and its place among those that suit a step."""

_Headroom = tuple[float, int, Worker]


class SchedulableWorkers:
    """Workers that accept runs, by the service and label that a step needs."""

    def __init__(
        self,
        workers: Iterable[Worker],
        closed_domains: frozenset[str],
        now_ms: int,
    ) -> None:
        """Leave out workers in closed failure domains."""
        self.workers = [
            worker
            for worker in workers
            if worker.accepts_runs(now_ms)
            and worker.registration.failure_domain not in closed_domains
        ]
        self._now_ms = now_ms
        self._suitable: dict[tuple[str, str], list[Worker]] = {}
        self._headroom: dict[tuple[str, str], list[_Headroom]] = {}

    def matching(self, service: str, label: str) -> list[Worker]:
        """Return those of a service that have a label; any if it is empty."""
        wanted = (service, label)
        found = self._suitable.get(wanted)
        if found is None:
            found = [
                worker
                for worker in self.workers
                if matches_constraints(worker, service, label)
            ]
            self._suitable[wanted] = found
        return found

    def with_headroom(
        self, service: str, label: str, processors: int
    ) -> Iterator[IndexedWorker]:
        """Yield the suitable ones that may have so many to spare.

        Room only shrinks within a plan, so who has too few gets no more.
        """
        wanted = (service, label)
        if wanted not in self._headroom:
            self._headroom[wanted] = self._by_headroom(service, label)
        for spare, place, worker in self._headroom[wanted]:
            if spare < processors:
                break
            yield place, worker

    def _by_headroom(self, service: str, label: str) -> list[_Headroom]:
        """Return the workers that do not rest, the most to spare first."""
        return sorted(
            (
                (headroom(worker), place, worker)
                for place, worker in enumerate(self.matching(service, label))
                if self._now_ms >= worker.best_effort_paused_until_ms
            ),
            key=itemgetter(0),
            reverse=True,
        )


def matches_constraints(worker: Worker, service: str, label: str) -> bool:
    """Return whether a worker is of a service and has a label, if any."""
    facts = worker.registration
    return facts.service == service and (not label or label in facts.labels)


def spare_milli(worker: Worker) -> float:
    """Return the processors expected to be left by tasks that reserve."""
    busy = (
        worker.reserved_processors_milli
        - (1 - LONG_RUNNING_UTILIZATION) * worker.long_running_milli
    )
    return worker.registration.capacity.processors_milli - busy


def free_milli(worker: Worker) -> int:
    """Return the processors that nothing has reserved."""
    return (
        worker.registration.capacity.processors_milli
        - worker.reserved_processors_milli
    )


def headroom(worker: Worker) -> float:
    """Return what is left to filling tasks; a worker without any takes one."""
    if not worker.best_effort_milli:
        return math.inf
    return spare_milli(worker) - worker.best_effort_milli


def with_free_capacity(
    places: Iterable[IndexedWorker], spec: StepSpec
) -> Iterator[IndexedWorker]:
    """Yield the workers with the declared room, each with its place."""
    need = spec.resources
    processors = 0 if spec.fills_spare else need.processors_milli
    for place, worker in places:
        room = worker.registration.capacity
        if (
            worker.reserved_processors_milli + processors
            > room.processors_milli
        ):
            continue
        if worker.reserved_memory_mib + need.memory_mib > room.memory_mib:
            continue
        if (
            worker.reserved_accelerators + need.accelerators
            <= room.accelerators
        ):
            yield place, worker
