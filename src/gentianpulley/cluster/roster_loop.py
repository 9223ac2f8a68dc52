"""The thread of a leader that keeps the stored roster up to date.

It is separate from the one that writes records, because a worker that answers
again gets no longer lease before the roster is written.
"""

import threading
from typing import Final

from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.errors import StoreError

MAX_SAVE_WAIT_S: Final = 1.0
"""Maximum wait between two writes while the remaining times of the roster
change. The next leader may have to wait for runs up to this much longer."""

MIN_SAVE_PAUSE_S: Final = 0.15
"""Minimum pause between two writes, so that workers that become unresponsive or
answer again together share one."""


class RosterLoop:
    """Writes the roster when requested, and each second if it changes."""

    def __init__(
        self, service: SchedulerService, worker_watch: WorkerWatch
    ) -> None:
        """Prepare the thread without starting it."""
        self._service = service
        self._worker_watch = worker_watch

    def start(self) -> None:
        """Start the thread; it ends with the leadership."""
        threading.Thread(target=self._run, name='roster', daemon=True).start()

    def _run(self) -> None:
        requested = self._service.roster_save_requested
        while not self._service.leadership.is_over():
            requested.wait(MAX_SAVE_WAIT_S)
            requested.clear()
            try:
                self._save()
            except Exception as error:
                # Without this thread, suspended workers would get no runs.
                self._service.log.internal_fault(repr(error))
            threading.Event().wait(MIN_SAVE_PAUSE_S)

    def _save(self) -> None:
        try:
            self._worker_watch.refresh_roster()
        except DeposedError as deposed:
            self._service.resign(deposed.text)
        except StoreError as exc:
            self._service.log.store_trouble(exc.text)
            self._service.roster_save_requested.set()
