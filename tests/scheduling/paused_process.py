"""A process that stands still at a chosen point, by the clock it reads."""

import time
from collections.abc import Callable
from typing import Any

import pytest

from gentianpulley import deadline
from gentianpulley.deadline import NS_PER_MS


class PausableClock:
    """Stands in for the `time` module of `deadline`."""

    def __init__(self) -> None:
        """Start without pauses."""
        self.CLOCK_BOOTTIME = time.CLOCK_BOOTTIME
        self._paused_ns = 0

    def clock_gettime_ns(self, clock: int) -> int:
        """Return the time of a clock, later by all pauses so far."""
        return time.clock_gettime_ns(clock) + self._paused_ns

    def pause(self, duration_ms: int) -> None:
        """Let time pass while the process stands still."""
        self._paused_ns += duration_ms * NS_PER_MS


def install_clock(monkeypatch: pytest.MonkeyPatch) -> PausableClock:
    """Let all deadlines follow a clock that the test can move on."""
    clock = PausableClock()
    monkeypatch.setattr(deadline, 'time', clock)
    return clock


def pause_before(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    pause: Callable[[], None],
) -> None:
    """Pause each time before a method is called."""
    method = getattr(owner, name)

    def call_later(*args: Any, **options: Any) -> Any:
        pause()
        return method(*args, **options)

    monkeypatch.setattr(owner, name, call_later)


def pause_after(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    pause: Callable[[], None],
) -> None:
    """Pause each time after a method has returned."""
    method = getattr(owner, name)

    def return_later(*args: Any, **options: Any) -> Any:
        returned = method(*args, **options)
        pause()
        return returned

    monkeypatch.setattr(owner, name, return_later)
