"""An instance as a child process that is controlled by signals."""

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Final

from standins.process import own_env

SETTINGS_VARIABLE: Final = 'GENTIANPULLEY_NODE_FILE'
ENTRY_PROGRAM: Final = 'src/gentianpulley_node.py'
POLL_S: Final = 0.05


class InstanceProcess:
    """One instance; it is signalled only by its process id.

    `own_ends` counts unexpected exits of the process, and `late_stops` counts
    planned stops that had to be forced by a kill.
    """

    def __init__(self, settings: Path, log: Path, program: str) -> None:
        """Set the paths; output of the process is appended to `log`."""
        self.log = log
        self.own_ends = 0
        self.late_stops = 0
        self._settings = settings
        self._program = program
        self._popen: subprocess.Popen[bytes] | None = None
        self._is_wanted = False
        self._is_frozen = False
        self._hold_count = 0
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the process unless it is running."""
        with self._lock:
            self._is_wanted = True
            if self._popen is None or self._popen.poll() is not None:
                self._popen = self._launch()

    def hold_down(self) -> None:
        """Prevent restarts of the process; calls nest, as faults overlap."""
        with self._lock:
            self._hold_count += 1
            self._is_wanted = False

    def let_up(self) -> None:
        """Release one hold; the last one restarts the process."""
        with self._lock:
            self._hold_count -= 1
            is_released = not self._hold_count
        if is_released:
            self.start()

    def tell(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if number in {signal.SIGSTOP, signal.SIGCONT}:
            self._is_frozen = number is signal.SIGSTOP
        popen = self._popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    @property
    def pid(self) -> int:
        """Return the process id, zero before the first start."""
        return self._popen.pid if self._popen else 0

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    def revive(self) -> None:
        """Restart the process if it ended unexpectedly."""
        with self._lock:
            has_ended = self._is_wanted and not self.is_running()
            self.own_ends += has_ended
        if has_ended:
            self.start()

    def await_end(self, most_s: float) -> None:
        """Wait for the end of a stopping process; kill it after `most_s`.

        Time during which the process is suspended does not count.
        """
        deadline_s = time.monotonic() + most_s
        while self.is_running():
            if self._is_frozen:
                deadline_s = time.monotonic() + most_s
            if time.monotonic() > deadline_s:
                self.late_stops += 1
                self.tell(signal.SIGKILL)
                return
            time.sleep(POLL_S)

    def end(self, most_s: float) -> None:
        """Stop the process permanently."""
        with self._lock:
            self._is_wanted = False
        self.tell(signal.SIGCONT)
        self.tell(signal.SIGTERM)
        self.await_end(most_s)
        if self._popen is not None:
            self._popen.wait()

    def _launch(self) -> subprocess.Popen[bytes]:
        env = {**own_env(), SETTINGS_VARIABLE: str(self._settings)}
        with self.log.open('ab') as output:
            return subprocess.Popen(
                [sys.executable, *self._program.split()],
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
