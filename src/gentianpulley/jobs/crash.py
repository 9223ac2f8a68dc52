"""Crashes of workers under a task, and when the task is to blame for them.

A task may crash each worker that starts it. It then takes along whatever else
runs there, so a crash alone does not tell which of the worker's tasks caused
it. The causes that remain possible are the runs that had just begun. Each of
them is started again apart from the others, which shows the one to blame.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, NamedTuple

MAX_CRASHES: Final = 3
"""Crashes after which a task that is to blame is given up. Clusters allow two
more starts, for crashes that a leader did not live to record."""

MIN_BLAMED_CRASHES: Final = 2
"""Of these crashes, those for which no other task can be to blame."""


class Incarnation(NamedTuple):
    """One incarnation of a worker, and where it was reached.

    It started at `since_ms`, in Unix milliseconds; zero if it did not say.
    """

    worker_id: str
    since_ms: int
    address: str

    def is_replaced_by(self, other: 'Incarnation') -> bool:
        """Return whether another incarnation shows that this one is over.

        That is a later one of the worker, or of any worker at its address.
        """
        is_same_place = (
            self.worker_id == other.worker_id or self.address == other.address
        )
        return is_same_place and 0 < self.since_ms < other.since_ms


@dataclass(frozen=True, slots=True)
class Crash:
    """One incarnation of a worker that was lost soon after a run began there.

    Until `is_certain`, the worker may only be unreachable. `is_blamed` means
    that of the runs that had just begun there, this one alone was involved in
    as many crashes before.
    """

    run: int
    incarnation: Incarnation
    is_certain: bool = False
    is_blamed: bool = False


def count_crashes(crashes: Iterable[Crash]) -> int:
    """Return how many incarnations are certain to have crashed."""
    return len({each.incarnation for each in crashes if each.is_certain})


def is_deadly(crashes: Iterable[Crash]) -> bool:
    """Return whether a task with these crashes is given up."""
    known = tuple(crashes)
    blamed = [each for each in known if each.is_blamed]
    return (
        count_crashes(known) >= MAX_CRASHES
        and count_crashes(blamed) >= MIN_BLAMED_CRASHES
    )
