"""Background threads that repeat a step until they are stopped."""

import random
import threading
from abc import ABC, abstractmethod
from typing import Final

from gentianpulley.errors import GentianpulleyError
from gentianpulley.logs import EventLog

JITTER_FRACTION: Final = 0.2
BACKOFF_FACTOR: Final = 2.0

_RNG: Final = random.Random()
"""A separate generator for the loops, so that they do not draw from the global
one while other code relies on its sequence."""


class Backoff:
    """Exponential back-off with full jitter, reset after a success."""

    def __init__(self, initial_s: float, max_s: float) -> None:
        """Start with a ceiling of `initial_s` seconds, limited to `max_s`."""
        self._initial_s = initial_s
        self._max_s = max_s
        self._ceiling_s = initial_s

    def next_delay_s(self) -> float:
        """Return a random delay and raise the ceiling for the next one."""
        delay_s = _RNG.uniform(0, self._ceiling_s)
        self._ceiling_s = min(self._ceiling_s * BACKOFF_FACTOR, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Return to the initial ceiling."""
        self._ceiling_s = self._initial_s


class BackgroundLoop(ABC):
    """A thread that calls `step` about every `interval_s` seconds.

    An exception in a step is logged; the step is retried after the next
    interval.
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
        """Signal the thread to end after its current step."""
        self._stopping.set()
        self._wake.set()

    def wake(self) -> None:
        """Run the next step without waiting for the interval."""
        self._wake.set()

    @property
    def is_stopping(self) -> bool:
        """Return whether `stop` was called."""
        return self._stopping.is_set()

    @abstractmethod
    def step(self) -> None:
        """Do the work of one iteration."""

    def pause(self, seconds: float) -> None:
        """Wait for `seconds`, or until `stop` or `wake` is called."""
        self._wake.wait(seconds)
        self._wake.clear()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except GentianpulleyError as exc:
                self.log.internal_fault(f'{type(exc).__name__}: {exc.text}')
            except Exception as unexpected:
                self.log.internal_fault(repr(unexpected))
            jitter = _RNG.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            self.pause(self._interval_s * (1 + jitter))
