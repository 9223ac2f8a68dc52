"""Limits a child process to a fraction of a processor, by stopping it."""

import os
import signal
import threading
import time
from contextlib import suppress
from typing import Final

CHECK_S: Final = 0.001
MAX_UNUSED_S: Final = 0.1
"""Wall time whose unused allowance the process may use later."""

_SCHEDULER_CLOCK: Final = 2
_CLOCK_BITS: Final = 3


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds.

    Raises `OSError` if it has ended.
    """
    clock = (~pid << _CLOCK_BITS) | _SCHEDULER_CLOCK
    return time.clock_gettime(clock)


class ProcessorQuota:
    """Stops a process while it is ahead of its allowance.

    The allowance grows by `cores` seconds of processor time a second.
    """

    def __init__(self, pid: int, cores: float) -> None:
        """Start to limit the process."""
        self._pid = pid
        self._cores = cores
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop limiting; the process continues."""
        self._closed.set()
        self._thread.join()
        with suppress(ProcessLookupError):
            os.kill(self._pid, signal.SIGCONT)

    def _run(self) -> None:
        with suppress(OSError):
            self._limit()

    def _limit(self) -> None:
        """Raises `OSError` once the process has ended."""
        checked_s = time.monotonic()
        used_s = processor_s(self._pid)
        allowance_s: float = 0
        while not self._closed.wait(CHECK_S):
            at_s = time.monotonic()
            now_used_s = processor_s(self._pid)
            allowance_s += (at_s - checked_s) * self._cores
            allowance_s -= now_used_s - used_s
            allowance_s = min(allowance_s, self._cores * MAX_UNUSED_S)
            checked_s = at_s
            used_s = now_used_s
            is_ahead = allowance_s < 0
            os.kill(self._pid, signal.SIGSTOP if is_ahead else signal.SIGCONT)
