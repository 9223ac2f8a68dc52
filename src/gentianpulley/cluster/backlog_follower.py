"""Reads the published backlog while jobs come in.

A read on demand, in the background: submissions never wait for it. Weighed: a
watch costs each instance a full read for each change, and one every two seconds
while nothing waits; a stale read costs a tenth and is asked for only while jobs
come.
"""

import threading
from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.admission import BacklogView
from gentianpulley.cluster.backlog import decode_backlog
from gentianpulley.cluster.leader_notes import BACKLOG_KEY
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Store

READ_GAP_S: Final = 1.0
"""Time between two reads: the backlog is written once a second."""


class BacklogFollower(BackgroundLoop):
    """Keeps one instance's view of the backlog."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Prepare the thread."""
        super().__init__('backlog', READ_GAP_S, log)
        self._store = store
        self._asked = threading.Event()
        self.view = BacklogView()

    def ask(self) -> BacklogView:
        """Return what is known; it is read again soon."""
        self._asked.set()
        return self.view

    def step(self) -> None:
        """Wait until a job comes, and read."""
        self._asked.wait()
        self._asked.clear()
        try:
            entry = self._store.read_stale(BACKLOG_KEY)
        except StoreError as exc:
            self.log.store_trouble(exc.text)
            return
        if entry is None:
            return
        try:
            backlog = decode_backlog(entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self.view.note(backlog, entry.revision, now_ms())
