"""Keeps capacity free for restarts of long-running tasks that fit nowhere yet.

Handles a full cluster on which runs end one by one: other tasks would take each
part of a worker that becomes free, and never leave enough for a larger one. A
held worker gets no other runs until the restart fits or the hold expires.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from operator import itemgetter
from typing import Final

from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources

MAX_HELD_SHARE: Final = 0.1
"""Maximum fraction of the workers that are held at a time, so that other work
goes on when many tasks have to restart."""

MAX_SEARCHES: Final = 2
"""Maximum number of searches for a worker in one plan. A search looks at every
run of every worker."""

SEARCH_INTERVAL_MS: Final = 500
"""Minimum interval between searches for a step that found no worker, so that
other steps are searched for meanwhile."""

HOLD_MARGIN_MS: Final = 1000
"""How much later than expected the capacity of a held worker may become free,
before another worker is searched for."""

FindWorkers = Callable[[StepRun], list[Worker]]

_ExpectedEnd = tuple[int, Resources]
"""When a run is expected to end, and what it releases."""


@dataclass(frozen=True, slots=True)
class _Hold:
    """A worker that is held for one task of a step, until a deadline."""

    worker: Worker
    step: StepRun
    until_ms: int


class CapacityHolds:
    """The held workers of one leader."""

    def __init__(self) -> None:
        """Start without holds."""
        self._holds: dict[str, _Hold] = {}
        self._next_search_ms: dict[StepRun, int] = {}

    def __len__(self) -> int:
        """Return how many workers are held."""
        return len(self._holds)

    def is_held_from(self, worker: Worker, step: StepRun) -> bool:
        """Return whether a worker is held for another step than this one."""
        hold = self._holds.get(worker.worker_id)
        return hold is not None and hold.step is not step

    def renew(
        self,
        overdue: Iterable[StepRun],
        workers: Mapping[str, Worker],
        find_workers: FindWorkers,
        now_ms: int,
    ) -> list[Worker]:
        """Hold a worker for each overdue restart; return those released.

        `overdue` are the steps with such restarts, in the order of placement,
        and `find_workers` returns the workers that accept a task of a step.
        """
        previous = self._holds
        missing = Counter(
            {step: len(step.overdue_restarts(now_ms)) for step in overdue}
        )
        self._holds = {}
        for hold in previous.values():
            is_current = workers.get(hold.worker.worker_id) is hold.worker
            if is_current and missing[hold.step] and now_ms < hold.until_ms:
                missing[hold.step] -= 1
                self._add(hold)
        max_holds = max(1, int(MAX_HELD_SHARE * len(workers)))
        for step in self._searched_steps(missing, now_ms):
            if len(self._holds) < max_holds:
                self._hold_for(step, find_workers(step), now_ms)
        released = previous.keys() - self._holds.keys()
        return [previous[released_id].worker for released_id in released]

    def _searched_steps(
        self, missing: Counter[StepRun], now_ms: int
    ) -> list[StepRun]:
        """Return the steps to search a worker for in this plan."""
        self._next_search_ms = {
            step: next_ms
            for step, next_ms in self._next_search_ms.items()
            if missing[step] and now_ms < next_ms
        }
        due = (
            step
            for step in missing.elements()
            if step not in self._next_search_ms
        )
        return list(islice(due, MAX_SEARCHES))

    def _add(self, hold: _Hold) -> None:
        self._holds[hold.worker.worker_id] = hold

    def _hold_for(
        self, step: StepRun, workers: Iterable[Worker], now_ms: int
    ) -> None:
        """Hold the worker that is expected to have capacity first."""
        candidates = [
            (free_at_ms, index, worker)
            for index, worker in enumerate(workers)
            if worker.worker_id not in self._holds
            and (free_at_ms := _free_at_ms(worker, step.spec, now_ms))
        ]
        if candidates:
            free_at_ms, _, worker = min(candidates)
            self._add(_Hold(worker, step, free_at_ms + HOLD_MARGIN_MS))
        else:
            self._next_search_ms[step] = now_ms + SEARCH_INTERVAL_MS


def _free_at_ms(worker: Worker, spec: StepSpec, now_ms: int) -> int:
    """Return when a task is expected to fit, zero if that is unknown."""
    if worker.has_room(spec):
        return now_ms
    free = _free_capacity(worker)
    for end_ms, released in sorted(
        _expected_ends(worker, now_ms), key=itemgetter(0)
    ):
        free = free.plus(released)
        if spec.reserved.fits_in(free):
            return end_ms
    return 0


def _free_capacity(worker: Worker) -> Resources:
    reserved = Resources(
        worker.reserved_processors_milli,
        worker.reserved_memory_mib,
        worker.reserved_accelerators,
    )
    return worker.registration.capacity.minus(reserved)


def _expected_ends(worker: Worker, now_ms: int) -> Iterator[_ExpectedEnd]:
    """Yield the ends of runs that are stopped or end by themselves.

    A run that is past its estimate is expected to take as long again.
    """
    for reservation in worker.reservations.values():
        if reservation.is_stopping:
            yield now_ms, reservation.spec.reserved
        elif not reservation.spec.is_endless:
            ran_ms = now_ms - reservation.sent_ms
            left_ms = reservation.spec.estimated_ms - ran_ms
            if left_ms <= 0:
                left_ms = ran_ms
            yield now_ms + left_ms, reservation.spec.reserved
