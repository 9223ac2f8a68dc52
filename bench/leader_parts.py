"""Adds up the processor time of named parts, plainly or under a profile."""

import cProfile
import pstats
import time
from collections import Counter
from collections.abc import Callable
from typing import Final, TypeVar

NS_PER_S: Final = 1_000_000_000

_Result = TypeVar('_Result')


class Parts:
    """Processor time of this thread by part."""

    def __init__(self, profile: cProfile.Profile | None = None) -> None:
        """Begin at zero; a profile sees what the parts do."""
        self._profile = profile
        self.spent_ns: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()

    def clear(self) -> None:
        """Begin anew."""
        self.spent_ns.clear()
        self.calls.clear()
        if self._profile is not None:
            self._profile.clear()

    def time(self, name: str, work: Callable[[], _Result]) -> _Result:
        """Do a piece of work that belongs to a part."""
        began_ns = time.thread_time_ns()
        if self._profile is None:
            outcome = work()
        else:
            outcome = self._profile.runcall(work)
        self.spent_ns[name] += time.thread_time_ns() - began_ns
        self.calls[name] += 1
        return outcome


class ProfiledParts:
    """What a profile says of single functions."""

    def __init__(self, profile: cProfile.Profile) -> None:
        """Read a profile that is over."""
        self._rows = pstats.Stats(profile).stats  # type: ignore[attr-defined]
        self.whole_s = sum(row[2] for row in self._rows.values())

    def share(self, *names: str) -> float:
        """Return the share of the time within functions, as file:name."""
        inside = sum(
            row[3] for place, row in self._rows.items() if _name(place) in names
        )
        return inside / self.whole_s

    def dearest(self, most: int) -> list[tuple[str, int, float]]:
        """Return the functions with the most time of their own."""
        rows = sorted(
            self._rows.items(), key=lambda item: item[1][2], reverse=True
        )
        return [
            (_name(place), row[1], row[2] / self.whole_s)
            for place, row in rows[:most]
        ]


def _name(place: tuple[str, int, str]) -> str:
    path, _, name = place
    return f'{path.rpartition("/")[2]}:{name}'
