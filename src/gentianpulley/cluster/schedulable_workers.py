"""The workers that may be sent runs, computed once for each plan.

Handles the load of hundreds of workers and tens of waiting steps in one plan:
whether a worker accepts runs does not change within it, and most workers of a
loaded cluster have no free capacity for most steps.
"""

import math
from collections.abc import Iterable, Iterator
from operator import itemgetter
from typing import Final

from gentianpulley.cluster.worker import Worker, is_only_quarantined
from gentianpulley.jobs.spec import StepSpec

LONG_RUNNING_UTILIZATION: Final = 0.6
"""Expected fraction of its processors that a long-running task uses: the load
of such tasks varies around a half."""

IndexedWorker = tuple[int, Worker]
"""A worker and its index among those that match a step."""

_Headroom = tuple[float, int, Worker]


class SchedulableWorkers:
    """Workers that accept runs, by the service and label that a step needs."""

    def __init__(
        self,
        workers: Iterable[Worker],
        closed_domains: frozenset[str],
        now_ms: int,
    ) -> None:
        """Select the accepting workers outside closed failure domains."""
        self.workers = [
            worker
            for worker in workers
            if worker.accepts_runs(now_ms)
            and worker.registration.failure_domain not in closed_domains
        ]
        self._quarantined = [
            worker
            for worker in workers
            if is_only_quarantined(worker, now_ms)
            and worker.registration.failure_domain not in closed_domains
        ]
        self._now_ms = now_ms
        self._matching_workers: dict[tuple[str, str], list[Worker]] = {}
        self._headroom: dict[tuple[str, str], list[_Headroom]] = {}

    def matching(self, service: str, label: str) -> list[Worker]:
        """Return a service's workers that have a label, all if it is empty."""
        key = (service, label)
        found = self._matching_workers.get(key)
        if found is None:
            found = [
                worker
                for worker in self.workers
                if matches_constraints(worker, service, label)
            ]
            self._matching_workers[key] = found
        return found

    def includes(self, worker: Worker) -> bool:
        """Return whether a worker accepts runs, or would but for quarantine."""
        return worker in self.workers or worker in self._quarantined

    def quarantined(self, service: str, label: str) -> list[Worker]:
        """Return the workers that would match but for their quarantine."""
        return [
            worker
            for worker in self._quarantined
            if matches_constraints(worker, service, label)
        ]

    def with_headroom(
        self, service: str, label: str, processors: int
    ) -> Iterator[IndexedWorker]:
        """Yield the matching workers that may have enough processors to spare.

        Free capacity only shrinks within a plan, so a worker with too few does
        not get more.
        """
        key = (service, label)
        if key not in self._headroom:
            self._headroom[key] = self._sorted_by_headroom(service, label)
        for spare, index, worker in self._headroom[key]:
            if spare < processors:
                break
            yield index, worker

    def _sorted_by_headroom(self, service: str, label: str) -> list[_Headroom]:
        """Return workers without a suspension, the most headroom first."""
        return sorted(
            (
                (headroom(worker), index, worker)
                for index, worker in enumerate(self.matching(service, label))
                if self._now_ms >= worker.best_effort_paused_until_ms
            ),
            key=itemgetter(0),
            reverse=True,
        )


def matches_constraints(worker: Worker, service: str, label: str) -> bool:
    """Return whether a worker is of a service and has a label, if any."""
    registration = worker.registration
    return registration.service == service and (
        not label or label in registration.labels
    )


def spare_milli(worker: Worker) -> float:
    """Return the processors that reserving tasks are expected to leave."""
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


def is_overfilled(worker: Worker, spec: StepSpec) -> bool:
    """Return whether a worker has no room any more for a reserved task.

    Its capacity may have shrunk since, and what it runs counts first.
    """
    need = spec.reserved
    capacity = worker.registration.capacity
    return (
        need.processors_milli > 0
        and worker.reserved_processors_milli > capacity.processors_milli
        or need.memory_mib > 0
        and worker.reserved_memory_mib > capacity.memory_mib
        or need.accelerators > 0
        and worker.reserved_accelerators > capacity.accelerators
    )


def headroom(worker: Worker) -> float:
    """Return the processors that are left for best-effort tasks.

    Infinite for a worker without such tasks, so that it takes at least one.
    """
    if not worker.best_effort_milli:
        return math.inf
    return spare_milli(worker) - worker.best_effort_milli


def with_free_capacity(
    candidates: Iterable[IndexedWorker], spec: StepSpec
) -> Iterator[IndexedWorker]:
    """Yield the workers with the declared capacity free, with their index."""
    need = spec.resources
    processors = 0 if spec.fills_spare else need.processors_milli
    for index, worker in candidates:
        capacity = worker.registration.capacity
        if (
            worker.reserved_processors_milli + processors
            > capacity.processors_milli
        ):
            continue
        if worker.reserved_memory_mib + need.memory_mib > capacity.memory_mib:
            continue
        if (
            worker.reserved_accelerators + need.accelerators
            <= capacity.accelerators
        ):
            yield index, worker
