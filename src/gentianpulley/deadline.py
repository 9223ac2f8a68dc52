"""Wall-clock deadlines in Unix milliseconds.

Deadlines are stored and sent, never durations, so that time spent in a queue
or on a connection is counted without any bookkeeping.
"""

import time

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return the current time in Unix milliseconds."""
    return time.time_ns() // NS_PER_MS


def deadline_in(milliseconds: int) -> int:
    """Return the deadline that lies `milliseconds` ahead."""
    return now_ms() + milliseconds


def ms_left(deadline_ms: int) -> int:
    """Return the milliseconds until the deadline, zero once it passed."""
    return max(0, deadline_ms - now_ms())


def seconds_left(deadline_ms: int) -> float:
    """Return the seconds until the deadline, zero once it passed."""
    return ms_left(deadline_ms) / MS_PER_SECOND


def has_passed(deadline_ms: int) -> bool:
    """Tell whether the deadline lies in the past."""
    return now_ms() >= deadline_ms
