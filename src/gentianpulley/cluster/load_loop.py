"""The thread of a leader that closes queues and publishes which are closed.

It measures each half second and writes only while a queue is closed, and once
more when the last one opens. A leader that does not plan knows nothing of what
fits, so it closes nothing.
"""

import threading
from typing import Final

from gentianpulley.cluster.admission import QueueAdmission, QueueChange
from gentianpulley.cluster.leader_store import DeposedError, LeaderStore
from gentianpulley.cluster.load_digest import (
    LOAD_KEY,
    MAX_DIGEST_AGE_MS,
    LoadDigest,
    encode_digest,
)
from gentianpulley.cluster.load_meter import measure_queues
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.store import Put, Transaction

PUBLISH_INTERVAL_S: Final = 0.5
"""Pause between two measurements, and so between two writes of the digest. It
is a quarter of the age up to which instances use a digest."""

MAX_PLAN_AGE_MS: Final = 2000
"""How old the latest plan may be. A leader plans five times a second or more
often while it may start anything."""


class LoadLoop:
    """Closes and opens queues for one leader term."""

    def __init__(self, service: SchedulerService, store: LeaderStore) -> None:
        """Prepare the thread without starting it."""
        self._service = service
        self._store = store
        self._admission = QueueAdmission()
        self._sequence = 0
        self._open_digest_due_until_ms = 0

    def start(self) -> None:
        """Start the thread; it ends with the leadership."""
        threading.Thread(target=self._run, name='load', daemon=True).start()

    def step(self, at_ms: int) -> None:
        """Measure, decide and publish once; raises `StoreError`."""
        with self._service.lock:
            snapshot = self._service.scheduler.load_meter.snapshot(at_ms)
        is_current = at_ms - snapshot.waits.planned_ms <= MAX_PLAN_AGE_MS
        loads = (
            measure_queues(snapshot, self._admission.closed)
            if is_current
            else []
        )
        for change in self._admission.update(loads, at_ms):
            self._report(change)
        closed_count = len(self._admission.closed)
        self._service.counters.set('leader_queues_closed', closed_count)
        self._publish(at_ms)

    def _run(self) -> None:
        while not self._service.leadership.is_over():
            try:
                self._step_safely()
            except Exception as error:
                # Without this thread, overloaded queues would accept all jobs.
                self._service.log.internal_fault(repr(error))
            threading.Event().wait(PUBLISH_INTERVAL_S)
        self._service.counters.set('leader_queues_closed', 0)

    def _step_safely(self) -> None:
        try:
            self.step(now_ms())
        except DeposedError as deposed:
            self._service.resign(deposed.text)
        except StoreError as exc:
            self._service.log.store_trouble(exc.text)

    def _report(self, change: QueueChange) -> None:
        self._service.log.queue_admission(
            change.queue, is_closed=change.is_closed, inputs=_inputs(change)
        )

    def _publish(self, at_ms: int) -> None:
        """Write the digest if a queue is closed, or one was until now.

        Instances forget an old digest by themselves, so a last write that fails
        for as long as that is given up.
        """
        closed = self._admission.closed
        if not closed and at_ms >= self._open_digest_due_until_ms:
            return
        if closed:
            self._open_digest_due_until_ms = at_ms + MAX_DIGEST_AGE_MS
        self._sequence += 1
        digest = LoadDigest(
            self._service.term.token, self._sequence, dict(closed)
        )
        put = Put(LOAD_KEY, encode_digest(digest))
        self._store.commit(Transaction((), (put,)))
        self._service.counters.add('load_digests_written')
        if not closed:
            self._open_digest_due_until_ms = 0


def _inputs(change: QueueChange) -> dict[str, int]:
    """Return what has decided a change, as the fields of a log line."""
    load = change.load
    if load is None:
        return {}
    inputs = {
        'limit_ms': load.limit_ms,
        'oldest_ms': load.oldest_ms,
        'waiting_jobs': load.waiting_jobs,
        'ended_jobs': load.ended_jobs,
        'is_blocked': int(load.is_blocked),
    }
    if load.wait_ms is not None:
        inputs['wait_ms'] = load.wait_ms
    return inputs
