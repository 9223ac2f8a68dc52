"""Decides which frequent log lines to write, before they are built.

Complete jobs are sampled by a hash of their ids, so that all instances choose
consistently and a sampled job can be followed from end to end. The fraction
of sampled jobs follows the measured volume; the decision for a job is kept.
Only when the sampled jobs alone exceed the limit is one of them given up
permanently, which is counted. Rare events bypass the sampler.
"""

import threading
import zlib
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from time import monotonic
from typing import Any, Final

JOB_LINES_PER_S: Final = 300
"""Limit for lines of sampled jobs per second, half that of other lines."""

JOB_LINES_BURST: Final = 1000
"""Limit for a burst of lines of sampled jobs, as when a wide step is placed;
half of the lines that may be queued."""

ADJUST_INTERVAL_S: Final = 0.1
"""Time between two adjustments of the sampled fraction."""

RATE_WEIGHT: Final = 0.2
"""Weight of the lines since the last adjustment in the measured rate. The rate
follows within half a second, and one wide step changes it little."""

TARGET_UTILIZATION: Final = 0.5
"""Target for the rate, as a fraction of the limit: sampled jobs have most of
their lines still to come."""

REPORT_INTERVAL_S: Final = 10.0
"""Time between two reports of omitted lines."""

REPEAT_INTERVAL_S: Final = 5.0
"""Time between two lines on the same failure of the same worker."""

MAX_REMEMBERED_JOBS: Final = 50_000
"""Jobs whose decision is stored; above that the oldest is evicted, and its
job is decided again."""

MAX_REMEMBERED_WORKERS: Final = 5000
"""Workers whose failures are stored."""

HASH_RANGE: Final = 0x100000000
"""Number of possible hashes of a job id."""


_PERCENT: Final = 100

GIVEN_UP_JOBS: Final = 'given_up_jobs'
"""Name of the count of sampled jobs that were given up above the limit."""


class LogSampler(ABC):
    """Decides which frequent lines to write."""

    @abstractmethod
    def may_write(self, kind: str, job_id: str) -> bool:
        """Return whether to write a line of a job, and count the line."""

    @abstractmethod
    def force_sample(self, job_id: str) -> None:
        """Sample a job from now on, as a failure occurred in it."""

    @abstractmethod
    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Return how many similar lines were omitted; None to omit this one."""

    @abstractmethod
    def report_omitted(self) -> None:
        """Report the omitted lines if a report is due."""


class UnlimitedSampler(LogSampler):
    """Omits no line."""

    def may_write(self, kind: str, job_id: str) -> bool:
        """Write every line."""
        return True

    def force_sample(self, job_id: str) -> None:
        """Do nothing: every job is sampled."""

    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Write every line."""
        return 0

    def report_omitted(self) -> None:
        """Do nothing: no line was omitted."""


class JobLogSampler(LogSampler):
    """Samples jobs by their ids and keeps their lines within a limit."""

    def __init__(
        self, write_report: Callable[[Mapping[str, int], int], None]
    ) -> None:
        """Sample all jobs at first.

        `write_report` gets the counts of omitted lines and given-up jobs, and
        the percentage of jobs that are sampled.
        """
        self._write_report = write_report
        self._lock = threading.Lock()
        self._job_sampling = _JobSampling(monotonic())
        self._failures: dict[str, tuple[float, int]] = {}
        self._omitted: Counter[str] = Counter()
        self._next_report_s = monotonic() + REPORT_INTERVAL_S

    @property
    def sample_percent(self) -> int:
        """Return the percentage of jobs that are currently sampled."""
        return round(self._job_sampling.fraction * _PERCENT)

    def may_write(self, kind: str, job_id: str) -> bool:
        """Return whether to write a line of a job, and count the line."""
        with self._lock:
            if self._job_sampling.admit_line(job_id, monotonic()):
                return True
            self._omitted[kind] += 1
        return False

    def force_sample(self, job_id: str) -> None:
        """Sample a job from now on, as a failure occurred in it."""
        with self._lock:
            self._job_sampling.store_decision(job_id, is_sampled=True)

    def count_suppressed(self, kind: str, name: str) -> int | None:
        """Return how many similar lines were omitted; None to omit this one."""
        now_s = monotonic()
        with self._lock:
            next_line_s, omitted = self._failures.get(name, (now_s, 0))
            if now_s < next_line_s:
                self._failures[name] = (next_line_s, omitted + 1)
                self._omitted[kind] += 1
                return None
            self._failures.pop(name, None)
            _evict_oldest(self._failures, MAX_REMEMBERED_WORKERS)
            self._failures[name] = (now_s + REPEAT_INTERVAL_S, 0)
        return omitted

    def report_omitted(self) -> None:
        """Report the omitted lines if a report is due."""
        now_s = monotonic()
        with self._lock:
            if now_s < self._next_report_s or not self._omitted:
                return
            self._next_report_s = now_s + REPORT_INTERVAL_S
            counts = self._omitted
            counts[GIVEN_UP_JOBS] = self._job_sampling.take_given_up()
            self._omitted = Counter()
        self._write_report(counts, self.sample_percent)


class _JobSampling:
    """The sampled fraction of jobs, and the decision for each job."""

    def __init__(self, now_s: float) -> None:
        self.fraction: float = 1
        self._decisions: dict[str, bool] = {}
        self._tokens: float = JOB_LINES_BURST
        self._line_count = 0
        self._lines_per_s: float = 0
        self._given_up = 0
        self._last_adjust_s = now_s
        self._next_adjust_s = now_s + ADJUST_INTERVAL_S

    def admit_line(self, job_id: str, now_s: float) -> bool:
        if now_s >= self._next_adjust_s:
            self._adjust(now_s)
        self._line_count += 1
        is_sampled = self._decisions.get(job_id)
        if is_sampled is None:
            is_sampled = _hash_job_id(job_id) < self.fraction * HASH_RANGE
            self.store_decision(job_id, is_sampled=is_sampled)
        return is_sampled and self._take_token(job_id)

    def take_given_up(self) -> int:
        given_up = self._given_up
        self._given_up = 0
        return given_up

    def store_decision(self, job_id: str, *, is_sampled: bool) -> None:
        _evict_oldest(self._decisions, MAX_REMEMBERED_JOBS)
        self._decisions[job_id] = is_sampled

    def _take_token(self, job_id: str) -> bool:
        if self._tokens < 1:
            self._decisions[job_id] = False
            self._given_up += 1
            return False
        self._tokens -= 1
        return True

    def _adjust(self, now_s: float) -> None:
        elapsed_s = now_s - self._last_adjust_s
        refill = elapsed_s * JOB_LINES_PER_S
        self._tokens = min(JOB_LINES_BURST, self._tokens + refill)
        rate = self._line_count / elapsed_s
        self._lines_per_s += RATE_WEIGHT * (rate - self._lines_per_s)
        self._line_count = 0
        self._last_adjust_s = now_s
        self._next_adjust_s = now_s + ADJUST_INTERVAL_S
        fill_level = self._tokens / JOB_LINES_BURST
        sustainable = (
            TARGET_UTILIZATION * JOB_LINES_PER_S / max(self._lines_per_s, 1)
        )
        self.fraction = min(1, sustainable) * fill_level


def _hash_job_id(job_id: str) -> int:
    """Return the hash of a job id, the same on every instance."""
    return zlib.crc32(job_id.encode())


def _evict_oldest(entries: dict[str, Any], max_entries: int) -> None:
    while len(entries) >= max_entries:
        entries.pop(next(iter(entries)))
