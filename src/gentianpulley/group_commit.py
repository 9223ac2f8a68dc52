"""Group-committed writes of job records.

Writes that arrive while a call to the store is in flight are batched into the
next one, so the number of calls grows with time and not with the number of
tasks. A write whose response was lost is retried until its outcome is
confirmed: if the key then holds exactly the bytes of the write, it had taken
effect.
"""

import queue
import threading
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.background import BackgroundLoop, Backoff
from gentianpulley.deadline import has_passed
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRefusedError,
    StoreUnreachableError,
)
from gentianpulley.logs import EventLog
from gentianpulley.messages import write_unconfirmed
from gentianpulley.store import ConditionalWrite, Store, WriteResult

MAX_BATCH_SIZE: Final = 32
INITIAL_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 2.0
NO_DEADLINE_MS: Final = 9_000_000_000_000_000
_IDLE_POLL_S: Final = 0.5


@dataclass
class _QueuedWrite:
    write: ConditionalWrite
    retry_until_ms: int
    fut: 'Future[WriteResult]' = field(default_factory=Future)
    may_have_applied: bool = False


class GroupCommitWriter(BackgroundLoop):
    """Writes job records on one thread, many in one call."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Prepare the thread."""
        super().__init__('journal', 0, log)
        self._store = store
        self._inbox: queue.SimpleQueue[_QueuedWrite] = queue.SimpleQueue()
        self._pending: list[_QueuedWrite] = []
        self._backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._batch_size = MAX_BATCH_SIZE
        self._size_lock = threading.Lock()
        self._pending_count = 0

    def submit(
        self, write: ConditionalWrite, retry_until_ms: int
    ) -> 'Future[WriteResult]':
        """Queue a write; the future fails once the deadline has passed.

        It fails with `StoreUnreachableError` if the write never reached the
        store and with `StoreAnswerLostError` if it may have taken effect.
        """
        queued = _QueuedWrite(write, retry_until_ms)
        with self._size_lock:
            self._pending_count += 1
        self._inbox.put(queued)
        return queued.fut

    def pending_count(self) -> int:
        """Return the number of writes whose outcome is not confirmed yet."""
        return self._pending_count

    def step(self) -> None:
        """Send one batch and complete the writes that the response confirms."""
        self._collect()
        if not self._pending:
            return
        batch = self._pending[: self._batch_size]
        try:
            write_results = self._store.write(
                [queued.write for queued in batch]
            )
        except StoreUnreachableError as unreachable:
            self._retry_later(unreachable, batch, sent=False)
        except StoreRefusedError as refused:
            self._isolate_refused(refused, batch)
        except StoreError as exc:
            self._retry_later(exc, batch, sent=True)
        else:
            self._backoff.reset()
            self._batch_size = MAX_BATCH_SIZE
            self._pending = self._pending[len(batch) :]
            for queued, write_result in zip(batch, write_results, strict=True):
                self._complete(queued, write_result)

    def _collect(self) -> None:
        if not self._pending:
            self._receive(_IDLE_POLL_S)
        while not self._inbox.empty():
            self._receive(0)

    def _receive(self, timeout_s: float) -> None:
        try:
            queued = self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            return
        self._pending.append(queued)

    def _complete(
        self, queued: _QueuedWrite, write_result: WriteResult
    ) -> None:
        current = write_result.current
        confirmed = write_result
        if not write_result.applied and current is not None:
            own_put = queued.write.puts[0]
            if own_put.key == current.key and own_put.body == current.body:
                confirmed = WriteResult(
                    applied=True, revision=current.revision, current=None
                )
        self._count_completed()
        queued.fut.set_result(confirmed)

    def _isolate_refused(
        self, refused: StoreRefusedError, batch: list[_QueuedWrite]
    ) -> None:
        """Resend refused writes one by one, so that one cannot block others."""
        if len(batch) == 1:
            self._pending.remove(batch[0])
            self._count_completed()
            batch[0].fut.set_exception(refused)
        self._batch_size = 1
        self.pause(self._backoff.next_delay_s())

    def _retry_later(
        self, exc: StoreError, batch: list[_QueuedWrite], *, sent: bool
    ) -> None:
        self.log.store_trouble(exc.text)
        for queued in batch:
            queued.may_have_applied = queued.may_have_applied or sent
        expired = [
            waiting
            for waiting in self._pending
            if has_passed(waiting.retry_until_ms)
        ]
        for late in expired:
            self._pending.remove(late)
            self._fail(late)
        self.pause(self._backoff.next_delay_s())

    def _fail(self, queued: _QueuedWrite) -> None:
        self._count_completed()
        text = write_unconfirmed(queued.write.key)
        if queued.may_have_applied:
            queued.fut.set_exception(StoreAnswerLostError(text))
        else:
            queued.fut.set_exception(StoreUnreachableError(text))

    def _count_completed(self) -> None:
        with self._size_lock:
            self._pending_count -= 1
