"""Publishes how long work waits, for the instances that accept it."""

from gentianpulley.cluster.backlog import (
    MEASURE_MS,
    Backlog,
    encode_backlog,
)
from gentianpulley.cluster.leader_notes import LeaderNotes


class BacklogPublisher:
    """Writes what was measured, about once a second."""

    def __init__(self, notes: LeaderNotes) -> None:
        """Have written nothing yet."""
        self._notes = notes
        self._next_ms = 0
        self._written: Backlog | None = None

    def publish(self, backlog: Backlog, now_ms: int) -> None:
        """Write the backlog if it is time to; raises `StoreError`.

        One in which work waits is written again even if it has not changed,
        as it holds only for a short time.
        """
        if now_ms < self._next_ms:
            return
        if not backlog.waits and backlog == self._written:
            return
        self._next_ms = now_ms + MEASURE_MS
        self._notes.save_backlog(encode_backlog(backlog))
        self._written = backlog
