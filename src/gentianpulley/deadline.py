"""Deadlines in Unix milliseconds, on a clock that is never stepped.

Deadlines are stored and sent, never durations, so that time spent in a queue
or on a connection is counted without any bookkeeping. The clock is read once
from the time of day, when the process starts, and then follows the boot-time
clock: a step of the time of day moves no deadline, and time during which the
machine was suspended counts.
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
