"""Writes log lines without ever blocking the threads that log.

Lines wait in a bounded queue for one writer thread. Lines above
`MAX_LINES_PER_S`, or that find the queue full because no process reads the
pipe, are dropped and counted; the next line that is written reports the count.
Lines that the sampler has admitted have a limit of their own there, so they
use no capacity of the other lines.
"""

import os
import threading
from collections import deque
from time import monotonic, sleep
from typing import Any, Final

import msgspec

MAX_LINES_PER_S: Final = 600
"""Limit for lines of rare events; three for each of 200 failing tasks."""

MAX_QUEUED_LINES: Final = 2000
"""At about 200 bytes per line, less than half a megabyte."""

MAX_WRITE_BYTES: Final = 4096
"""Size of an atomic pipe write (PIPE_BUF on Linux): lines of two writes never
interleave, and a reader that reads one write at a time gets complete lines
only."""

WRITE_INTERVAL_S: Final = 0.05
"""Lines that arrive within this time share one write."""

FLUSH_TIMEOUT_S: Final = 0.5
"""How long an exiting process waits for its last lines to be written."""

ADMITTED_FIELD: Final = 'is_admitted'
"""Marks a line that the sampler has already counted; never written."""

MAX_QUEUED_FOR_ADMITTED: Final = 1500
"""Queue length from which admitted lines are dropped in favor of others."""

_OMITTED_FIELDS: Final = ('task_uuid', 'task_level', ADMITTED_FIELD)
"""Fields that carry no information about a single event."""

Message = dict[str, Any]


class LogSink:
    """A destination for messages of the logging library."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor."""
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._wakeup = threading.Event()
        self._lock = threading.Lock()
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0
        self._reported_drops = 0
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._write_all, daemon=True).start()

    def __call__(self, message: Message) -> None:
        """Queue one message, or count it as dropped."""
        if not self._may_queue(is_admitted=ADMITTED_FIELD in message):
            return
        fields = {
            name: field
            for name, field in message.items()
            if name not in _OMITTED_FIELDS
        }
        if self._dropped != self._reported_drops:
            fields['left_out'] = self._dropped
            self._reported_drops = self._dropped
        line = msgspec.json.encode(fields, enc_hook=str)
        self._idle.clear()
        self._queue.append(line)
        self._wakeup.set()

    @property
    def dropped_lines(self) -> int:
        """Return how many lines have been dropped so far."""
        return self._dropped

    def flush(self) -> None:
        """Wait up to `FLUSH_TIMEOUT_S` until the queue is written."""
        self._wakeup.set()
        self._idle.wait(FLUSH_TIMEOUT_S)

    def _may_queue(self, *, is_admitted: bool) -> bool:
        with self._lock:
            if is_admitted:
                return self._may_queue_admitted()
            second = int(monotonic())
            if second != self._second:
                self._second = second
                self._lines_in_second = 0
            self._lines_in_second += 1
            is_full = len(self._queue) >= MAX_QUEUED_LINES
            if is_full or self._lines_in_second > MAX_LINES_PER_S:
                self._dropped += 1
                return False
            return True

    def _may_queue_admitted(self) -> bool:
        if len(self._queue) < MAX_QUEUED_FOR_ADMITTED:
            return True
        self._dropped += 1
        return False

    def _write_all(self) -> None:
        while self._wakeup.wait():
            self._wakeup.clear()
            self._write_some()

    def _write_some(self) -> None:
        _write(self._descriptor, self._take_lines())
        if self._queue:
            self._wakeup.set()
            return
        self._idle.set()
        sleep(WRITE_INTERVAL_S)

    def _take_lines(self) -> bytes:
        """Return complete lines for one write; a longer line goes alone."""
        lines: list[bytes] = []
        free_bytes = MAX_WRITE_BYTES
        while self._queue:
            free_bytes -= len(self._queue[0]) + 1
            if lines and free_bytes < 0:
                break
            lines.append(self._queue.popleft())
        lines.append(b'')
        return b'\n'.join(lines)


def _write(descriptor: int, text: bytes) -> None:
    unwritten = text
    while unwritten:
        try:
            unwritten = unwritten[os.write(descriptor, unwritten) :]
        except OSError:
            # No process reads the log any more, and there is nowhere else to
            # report it.
            return
