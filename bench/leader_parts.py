"""Sums the processor time of named components, optionally profiled."""

import cProfile
import pstats
import time
from collections import Counter
from collections.abc import Callable
from typing import Final, TypeVar

NS_PER_S: Final = 1_000_000_000

_Result = TypeVar('_Result')


class Parts:
    """Processor time of this thread by component."""

    def __init__(self, profile: cProfile.Profile | None = None) -> None:
        """Start at zero; `profile`, if given, profiles the components."""
        self._profile = profile
        self.spent_ns: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()

    def clear(self) -> None:
        """Reset all figures and the profile."""
        self.spent_ns.clear()
        self.calls.clear()
        if self._profile is not None:
            self._profile.clear()

    def time(self, name: str, work: Callable[[], _Result]) -> _Result:
        """Run `work`, count its time for a component, return its result."""
        start_ns = time.thread_time_ns()
        if self._profile is None:
            outcome = work()
        else:
            outcome = self._profile.runcall(work)
        self.spent_ns[name] += time.thread_time_ns() - start_ns
        self.calls[name] += 1
        return outcome


class ProfiledParts:
    """Figures of a profile for individual functions."""

    def __init__(self, profile: cProfile.Profile) -> None:
        """Read a completed profile."""
        self._rows = pstats.Stats(profile).stats  # type: ignore[attr-defined]
        self.whole_s = sum(row[2] for row in self._rows.values())

    def share(self, *names: str) -> float:
        """Return the fraction of time spent within functions (file:name)."""
        cumulative_s = sum(
            row[3]
            for location, row in self._rows.items()
            if _name(location) in names
        )
        return cumulative_s / self.whole_s

    def dearest(self, most: int) -> list[tuple[str, int, float]]:
        """Return name, calls and fraction for the largest own times."""
        rows = sorted(
            self._rows.items(), key=lambda item: item[1][2], reverse=True
        )
        return [
            (_name(location), row[1], row[2] / self.whole_s)
            for location, row in rows[:most]
        ]


def _name(location: tuple[str, int, str]) -> str:
    path, _, name = location
    return f'{path.rpartition("/")[2]}:{name}'
