"""The workers that may be sent runs, worked out once for each plan.

Answers the pattern of hundreds of workers and tens of waiting steps in one
plan: whether a worker accepts runs does not change within it, and most
workers of a loaded site have no room for most steps.
"""

from collections.abc import Iterable, Iterator

from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.spec import StepSpec


class OpenWorkers:
    """Workers that accept runs, by the service and label that a step needs."""

    def __init__(
        self,
        workers: Iterable[Worker],
        closed_domains: frozenset[str],
        now_ms: int,
    ) -> None:
        """Leave out workers in closed failure domains."""
        self._workers = [
            worker
            for worker in workers
            if worker.accepts(now_ms)
            and worker.facts.failure_domain not in closed_domains
        ]
        self._suitable: dict[tuple[str, str], list[Worker]] = {}

    def suitable(self, service: str, label: str) -> list[Worker]:
        """Return those of a service that have a label; any if it is empty."""
        wanted = (service, label)
        found = self._suitable.get(wanted)
        if found is None:
            found = [
                worker
                for worker in self._workers
                if worker.facts.service == service
                and label in {'', *worker.facts.labels}
            ]
            self._suitable[wanted] = found
        return found


def with_room(
    workers: Iterable[Worker], spec: StepSpec
) -> Iterator[tuple[int, Worker]]:
    """Yield the workers with the declared room, each with its place."""
    need = spec.resources
    processors = 0 if spec.fills_spare else need.processors_milli
    for place, worker in enumerate(workers):
        room = worker.facts.capacity
        if worker.processors + processors > room.processors_milli:
            continue
        if worker.memory + need.memory_mib > room.memory_mib:
            continue
        if worker.accelerators + need.accelerators <= room.accelerators:
            yield place, worker
