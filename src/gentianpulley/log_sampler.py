"""Decides which of the frequent log lines are written, before they are built.

Whole jobs are chosen by a hash of their ids, so that every instance chooses
alike and a chosen job can be followed from end to end. The share of chosen
jobs follows the measured volume; what was decided for a job stands. Only when
the chosen jobs alone pass the bound, one is given up for good, which is
counted. Rare events never ask here.
"""

import threading
import zlib
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from time import monotonic
from typing import Any, Final

JOB_LINES_PER_S: Final = 300
"""Lines of chosen jobs a second, half as many as all other lines may be."""

JOB_LINES_BURST: Final = 1000
"""Lines of chosen jobs that may come at once, as when a wide step is placed;
half of what may wait to be written."""

ADJUST_INTERVAL_S: Final = 0.1
"""Time between two adjustments of the share."""

RATE_WEIGHT: Final = 0.2
"""Weight of the lines since the last adjustment in the measured rate, which so
follows within half a second and is not moved much by one wide step."""

TARGET_UTILIZATION: Final = 0.5
"""Share of the bound that is aimed at: jobs that are chosen have most of their
lines still to come."""

REPORT_INTERVAL_S: Final = 10.0
"""Time between two lines that say what was left out."""

REPEAT_INTERVAL_S: Final = 5.0
"""Time between two lines of the same trouble with the same worker."""

MAX_REMEMBERED_JOBS: Final = 50_000
"""Jobs whose decision is remembered; after that the oldest is decided anew."""

MAX_REMEMBERED_WORKERS: Final = 5000
"""Workers whose trouble is remembered."""

HASH_RANGE: Final = 0x100000000
"""Number of values of the hash of a job's id."""


_PERCENT: Final = 100

GIVEN_UP_JOBS: Final = 'given_up_jobs'
"""Name under which chosen jobs that passed the bound are counted."""


class LogSampler(ABC):
    """Decides on frequent lines."""

    @abstractmethod
    def may_write(self, kind: str, job_id: str) -> bool:
        """Tell whether a line of a job is to be written, and count it."""

    @abstractmethod
    def force_sample(self, job_id: str) -> None:
        """Choose a job from now on, as something went wrong with it."""

    @abstractmethod
    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Return how many alike lines were left out; None to leave one out."""

    @abstractmethod
    def report_omitted(self) -> None:
        """Say what was left out if it is time to."""


class UnlimitedSampler(LogSampler):
    """Leaves nothing out."""

    def may_write(self, kind: str, job_id: str) -> bool:
        """Write every line."""
        return True

    def force_sample(self, job_id: str) -> None:
        """Do nothing: every job is chosen."""

    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Write every line."""
        return 0

    def report_omitted(self) -> None:
        """Say nothing: nothing was left out."""


class JobLogSampler(LogSampler):
    """Chooses jobs by their ids and keeps their lines within a bound."""

    def __init__(
        self, write_report: Callable[[Mapping[str, int], int], None]
    ) -> None:
        """Choose all jobs at first.

        `write_report` gets counts and the share.
        """
        self._say = write_report
        self._lock = threading.Lock()
        self._sampling = _Sampling(monotonic())
        self._troubles: dict[str, tuple[float, int]] = {}
        self._left_out: Counter[str] = Counter()
        self._next_report_s = monotonic() + REPORT_INTERVAL_S

    @property
    def sample_percent(self) -> int:
        """Return the share of jobs that are chosen now."""
        return round(self._sampling.share * _PERCENT)

    def may_write(self, kind: str, job_id: str) -> bool:
        """Tell whether a line of a job is to be written, and count it."""
        with self._lock:
            if self._sampling.chooses(job_id, monotonic()):
                return True
            self._left_out[kind] += 1
        return False

    def force_sample(self, job_id: str) -> None:
        """Choose a job from now on, as something went wrong with it."""
        with self._lock:
            self._sampling.remember(job_id, is_chosen=True)

    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Return how many alike lines were left out; None to leave one out."""
        at_s = monotonic()
        with self._lock:
            due_s, omitted = self._troubles.get(name, (at_s, 0))
            if at_s < due_s:
                self._troubles[name] = (due_s, omitted + 1)
                self._left_out[kind] += 1
                return None
            self._troubles.pop(name, None)
            _bound(self._troubles, MAX_REMEMBERED_WORKERS)
            self._troubles[name] = (at_s + REPEAT_INTERVAL_S, 0)
        return omitted

    def report_omitted(self) -> None:
        """Say what was left out if it is time to."""
        at_s = monotonic()
        with self._lock:
            if at_s < self._next_report_s or not self._left_out:
                return
            self._next_report_s = at_s + REPORT_INTERVAL_S
            counts = self._left_out
            counts[GIVEN_UP_JOBS] = self._sampling.take_given_up()
            self._left_out = Counter()
        self._say(counts, self.sample_percent)


class _Sampling:
    """The share of chosen jobs, and what was decided for each."""

    def __init__(self, at_s: float) -> None:
        self.share: float = 1
        self._chosen: dict[str, bool] = {}
        self._room: float = JOB_LINES_BURST
        self._seen = 0
        self._rate: float = 0
        self._given_up = 0
        self._adjusted_s = at_s
        self._adjust_s = at_s + ADJUST_INTERVAL_S

    def chooses(self, job_id: str, at_s: float) -> bool:
        if at_s >= self._adjust_s:
            self._adjust(at_s)
        self._seen += 1
        is_chosen = self._chosen.get(job_id)
        if is_chosen is None:
            is_chosen = _slot(job_id) < self.share * HASH_RANGE
            self.remember(job_id, is_chosen=is_chosen)
        return is_chosen and self._takes_room(job_id)

    def take_given_up(self) -> int:
        given_up = self._given_up
        self._given_up = 0
        return given_up

    def remember(self, job_id: str, *, is_chosen: bool) -> None:
        _bound(self._chosen, MAX_REMEMBERED_JOBS)
        self._chosen[job_id] = is_chosen

    def _takes_room(self, job_id: str) -> bool:
        if self._room < 1:
            self._chosen[job_id] = False
            self._given_up += 1
            return False
        self._room -= 1
        return True

    def _adjust(self, at_s: float) -> None:
        elapsed_s = at_s - self._adjusted_s
        refill = elapsed_s * JOB_LINES_PER_S
        self._room = min(JOB_LINES_BURST, self._room + refill)
        rate = self._seen / elapsed_s
        self._rate += RATE_WEIGHT * (rate - self._rate)
        self._seen = 0
        self._adjusted_s = at_s
        self._adjust_s = at_s + ADJUST_INTERVAL_S
        left = self._room / JOB_LINES_BURST
        bearable = TARGET_UTILIZATION * JOB_LINES_PER_S / max(self._rate, 1)
        self.share = min(1, bearable) * left


def _slot(job_id: str) -> int:
    """Return a job's place among all, the same on every instance."""
    return zlib.crc32(job_id.encode())


def _bound(known: dict[str, Any], most: int) -> None:
    while len(known) >= most:
        known.pop(next(iter(known)))
