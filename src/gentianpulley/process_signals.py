"""Lets a daemon wait for signals."""

import signal
from collections.abc import Iterable
from contextlib import suppress
from queue import Empty, SimpleQueue
from types import FrameType
from typing import Final

POLL_INTERVAL_S: Final = 0.2
"""Maximum delay until the main thread handles a signal that the system
delivered to another thread, as happens if the process is suspended when the
signal arrives. Python runs handlers in the main thread only, and nothing wakes
that thread in this case."""


class ProcessSignals:
    """Passes received signals to the main thread, one by one."""

    def __init__(self, signals: Iterable[signal.Signals]) -> None:
        """Install handlers for these signals."""
        self._received: SimpleQueue[int] = SimpleQueue()
        for number in signals:
            signal.signal(number, self._receive)

    def wait(self) -> signal.Signals:
        """Wait for a signal; call it from the main thread only."""
        while True:
            with suppress(Empty):
                return signal.Signals(
                    self._received.get(timeout=POLL_INTERVAL_S)
                )

    def _receive(self, signum: int, frame: FrameType | None) -> None:
        self._received.put(signum)
