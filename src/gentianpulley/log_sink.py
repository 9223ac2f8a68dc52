"""Writes log lines without ever holding up the threads that log.

Lines wait in a bounded queue for one writer thread. What comes faster than
`MAX_LINES_PER_S`, or finds the queue full because nobody reads the pipe, is
left out and counted; the next line that is written says how many. Lines that
the gate has admitted have a bound of their own there, so they take nothing
from the others.
"""

import os
import threading
from collections import deque
from time import monotonic, sleep
from typing import Any, Final

import msgspec

MAX_LINES_PER_S: Final = 600
"""Lines of rare events; three for each of 200 tasks that all go wrong."""

MAX_QUEUED_LINES: Final = 2000
"""Lines of some 200 bytes: less than half a megabyte."""

MAX_WRITE_BYTES: Final = 4096
"""What a pipe takes in one piece (PIPE_BUF of Linux): lines of two writes never
mix, and a reader that takes a write at a time sees whole lines only."""

WRITE_INTERVAL_S: Final = 0.05
"""Lines that come within this time share one write."""

FLUSH_TIMEOUT_S: Final = 0.5
"""How long a process that ends waits for its last lines."""

ADMITTED_FIELD: Final = 'is_admitted'
"""Marks a line that was counted against a bound already; never written."""

MAX_QUEUED_FOR_ADMITTED: Final = 1500
"""Waiting lines above which admitted ones are left out for the others."""

_LEFT_OUT_FIELDS: Final = ('task_uuid', 'task_level', ADMITTED_FIELD)
"""Fields that say nothing of single events."""

Message = dict[str, Any]


class LogSink:
    """A destination for messages of the logging library."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor."""
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._came = threading.Event()
        self._lock = threading.Lock()
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0
        self._reported = 0
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._write_all, daemon=True).start()

    def __call__(self, message: Message) -> None:
        """Queue one message, or count it as left out."""
        if not self._may_queue(is_admitted=ADMITTED_FIELD in message):
            return
        fields = {
            name: told
            for name, told in message.items()
            if name not in _LEFT_OUT_FIELDS
        }
        if self._dropped != self._reported:
            fields['left_out'] = self._dropped
            self._reported = self._dropped
        line = msgspec.json.encode(fields, enc_hook=str)
        self._idle.clear()
        self._waiting.append(line)
        self._came.set()

    @property
    def dropped_lines(self) -> int:
        """Return how many lines were left out so far."""
        return self._dropped

    def flush(self) -> None:
        """Wait for the queue to be written, but not for long."""
        self._came.set()
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
            is_full = len(self._waiting) >= MAX_QUEUED_LINES
            if is_full or self._lines_in_second > MAX_LINES_PER_S:
                self._dropped += 1
                return False
            return True

    def _may_queue_admitted(self) -> bool:
        if len(self._waiting) < MAX_QUEUED_FOR_ADMITTED:
            return True
        self._dropped += 1
        return False

    def _write_all(self) -> None:
        while self._came.wait():
            self._came.clear()
            self._write_some()

    def _write_some(self) -> None:
        _write(self._descriptor, self._take_lines())
        if self._waiting:
            self._came.set()
            return
        self._idle.set()
        sleep(WRITE_INTERVAL_S)

    def _take_lines(self) -> bytes:
        """Return whole lines for one write; a longer line goes alone."""
        lines: list[bytes] = []
        room = MAX_WRITE_BYTES
        while self._waiting:
            room -= len(self._waiting[0]) + 1
            if lines and room < 0:
                break
            lines.append(self._waiting.popleft())
        lines.append(b'')
        return b'\n'.join(lines)


def _write(descriptor: int, text: bytes) -> None:
    rest = text
    while rest:
        try:
            rest = rest[os.write(descriptor, rest) :]
        except OSError:
            # Nobody reads the log any more, and there is no other place to
            # say so.
            return
