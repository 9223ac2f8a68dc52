"""Signals that a daemon waits for."""

import signal
from collections.abc import Iterable
from contextlib import suppress
from queue import Empty, SimpleQueue
from types import FrameType
from typing import Final

POLL_INTERVAL_S: Final = 0.2
"""Longest time until a signal is seen that the system gave to another thread,
as it does where the process was stopped when the signal came. Python runs
handlers in the main thread only, and nothing wakes that one then."""


class ProcessSignals:
    """Gives out the signals that came, one by one, to the main thread."""

    def __init__(self, signals: Iterable[signal.Signals]) -> None:
        """Receive these signals from now on."""
        self._came: SimpleQueue[int] = SimpleQueue()
        for number in signals:
            signal.signal(number, self._receive)

    def wait(self) -> signal.Signals:
        """Wait for a signal; only the main thread may."""
        while True:
            with suppress(Empty):
                return signal.Signals(self._came.get(timeout=POLL_INTERVAL_S))

    def _receive(self, signum: int, frame: FrameType | None) -> None:
        self._came.put(signum)
