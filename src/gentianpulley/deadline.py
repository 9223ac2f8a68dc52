"""Deadlines in Unix milliseconds, on a clock that is never stepped.

The code stores and sends deadlines rather than durations, so time spent in a
queue or on a connection counts without any bookkeeping. The clock is set once
from the system time, when the process starts, and then follows the boot-time
clock: a step of the system time does not move a deadline, and time during
which the machine is suspended counts.
"""

import time
from typing import Final

MS_PER_SECOND: Final = 1000
NS_PER_MS: Final = 1_000_000

_EPOCH_OFFSET_NS: Final = time.time_ns() - time.clock_gettime_ns(
    time.CLOCK_BOOTTIME
)


def now_ms() -> int:
    """Return the current time in Unix milliseconds."""
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (boot_ns + _EPOCH_OFFSET_NS) // NS_PER_MS


def deadline_in(milliseconds: int) -> int:
    """Return the deadline `milliseconds` from now."""
    return now_ms() + milliseconds


def ms_left(deadline_ms: int) -> int:
    """Return the milliseconds until the deadline, zero once it has passed."""
    return max(0, deadline_ms - now_ms())


def seconds_left(deadline_ms: int) -> float:
    """Return the seconds until the deadline, zero once it has passed."""
    return ms_left(deadline_ms) / MS_PER_SECOND


def has_passed(deadline_ms: int) -> bool:
    """Return whether the deadline has passed."""
    return now_ms() >= deadline_ms
