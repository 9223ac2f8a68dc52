"""Background threads that repeat one step until they are stopped."""

import random
import threading
from abc import ABC, abstractmethod
from typing import Final

from gentianpulley.errors import GentianpulleyError
from gentianpulley.logs import EventLog

JITTER_FRACTION: Final = 0.2
BACKOFF_FACTOR: Final = 2.0

_CHANCE: Final = random.Random()
"""A generator of the loops' own: they would draw from the process's one while
others rely on its sequence."""


class Backoff:
    """Exponential delays with full jitter, reset by a success."""

    def __init__(self, initial_s: float, max_s: float) -> None:
        """Start at `initial_s` seconds and never exceed `max_s`."""
        self._first_s = initial_s
        self._longest_s = max_s
        self._ceiling_s = initial_s

    def next_delay_s(self) -> float:
        """Return a random delay and raise the ceiling of the next one."""
        delay_s = _CHANCE.uniform(0, self._ceiling_s)
        self._ceiling_s = min(self._ceiling_s * BACKOFF_FACTOR, self._longest_s)
        return delay_s

    def reset(self) -> None:
        """Start again at the first ceiling."""
        self._ceiling_s = self._first_s


class BackgroundLoop(ABC):
    """A thread that calls `step` about every `interval_s` seconds.

    A step that raises is logged and tried again after the next interval.
    """

    def __init__(self, name: str, interval_s: float, log: EventLog) -> None:
        """Prepare the thread without starting it."""
        self.log = log
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after its current step."""
        self._stopping.set()
        self._wake.set()

    def wake(self) -> None:
        """Run the next step at once."""
        self._wake.set()

    @property
    def is_stopping(self) -> bool:
        """Tell whether the thread was asked to end."""
        return self._stopping.is_set()

    @abstractmethod
    def step(self) -> None:
        """Do one round of work."""

    def pause(self, seconds: float) -> None:
        """Wait, but no longer than until `stop` or `wake`."""
        self._wake.wait(seconds)
        self._wake.clear()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except GentianpulleyError as exc:
                self.log.internal_fault(f'{type(exc).__name__}: {exc.text}')
            except Exception as fault:
                self.log.internal_fault(repr(fault))
            jitter = _CHANCE.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            self.pause(self._interval_s * (1 + jitter))
