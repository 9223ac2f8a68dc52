"""Keeps capacity free for restarts of long-running tasks that fit nowhere yet.

Handles a full cluster on which runs end one by one: other tasks would take each
part of a worker that becomes free, and never leave enough for a larger one. A
held worker gets only overdue restarts until one fits or the hold expires.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
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
"""Interval after which a worker is searched for again for a step that has found
none or whose hold has expired, so that others get their turn meanwhile."""

HOLD_MARGIN_MS: Final = 1000
"""How much later than expected the capacity of a held worker may become free,
before another worker is searched for."""

_ExpectedEnd = tuple[int, Resources]
"""When a run is expected to end, and what it releases."""


class HoldableWorkers(ABC):
    """The workers that may be held in one plan."""

    @property
    @abstractmethod
    def count(self) -> int:
        """Return how many workers accept runs."""

    @abstractmethod
    def for_step(self, step: StepRun) -> list[Worker]:
        """Return the workers for a task of a step, whatever is free there."""

    @abstractmethod
    def is_usable(self, worker: Worker, step: StepRun) -> bool:
        """Return whether a task of a step may still be sent to a worker."""


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

    @property
    def worker_ids(self) -> Collection[str]:
        """Return the ids of the held workers."""
        return self._holds.keys()

    def release(self, worker: Worker) -> None:
        """Release a worker that was given a restart."""
        self._holds.pop(worker.worker_id, None)

    def renew(
        self, overdue: Iterable[StepRun], holdable: HoldableWorkers, now_ms: int
    ) -> list[Worker]:
        """Hold a worker for each overdue restart; return those released.

        `overdue` are the steps with such restarts, in the order of placement.
        """
        previous = self._holds
        missing = Counter(
            {step: len(step.overdue_restarts(now_ms)) for step in overdue}
        )
        self._holds = self._kept(missing, holdable, now_ms)
        max_holds = max(1, int(MAX_HELD_SHARE * holdable.count))
        for step in self._searched_steps(missing, now_ms):
            if len(self._holds) < max_holds:
                self._hold_for(step, holdable.for_step(step), now_ms)
        released = previous.keys() - self._holds.keys()
        return [previous[released_id].worker for released_id in released]

    def _kept(
        self,
        missing: Counter[StepRun],
        holdable: HoldableWorkers,
        now_ms: int,
    ) -> dict[str, _Hold]:
        """Return the holds that are still of use; their restarts need no other.

        Others get their turn once a hold has expired.
        """
        kept: dict[str, _Hold] = {}
        for worker_id, hold in self._holds.items():
            if missing[hold.step] <= 0:
                continue
            if now_ms >= hold.until_ms:
                self._delay_search(hold.step, now_ms)
            elif holdable.is_usable(hold.worker, hold.step):
                missing[hold.step] -= 1
                kept[worker_id] = hold
        return kept

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
            self._holds[worker.worker_id] = _Hold(
                worker, step, free_at_ms + HOLD_MARGIN_MS
            )
        else:
            self._delay_search(step, now_ms)

    def _delay_search(self, step: StepRun, now_ms: int) -> None:
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
