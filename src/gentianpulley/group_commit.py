"""Group-committed writes of job records.

Writes that arrive while a call to the store is under way share the next one,
so the number of calls grows with time and not with the number of tasks. A
write whose answer was lost is sent again until it is settled: if the key then
holds the very bytes of the write, it had taken effect.
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
class _Ticket:
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
        self._inbox: queue.SimpleQueue[_Ticket] = queue.SimpleQueue()
        self._pending: list[_Ticket] = []
        self._backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._batch_size = MAX_BATCH_SIZE
        self._size_lock = threading.Lock()
        self._unsettled = 0

    def submit(
        self, write: ConditionalWrite, retry_until_ms: int
    ) -> 'Future[WriteResult]':
        """Queue a write; the future fails once the deadline has passed.

        It fails with `StoreUnreachableError` if the write never reached the
        store and with `StoreAnswerLostError` if it may have taken effect.
        """
        ticket = _Ticket(write, retry_until_ms)
        with self._size_lock:
            self._unsettled += 1
        self._inbox.put(ticket)
        return ticket.fut

    def pending_count(self) -> int:
        """Return the number of writes that are not settled yet."""
        return self._unsettled

    def step(self) -> None:
        """Send one batch and settle what the answer allows."""
        self._collect()
        if not self._pending:
            return
        batch = self._pending[: self._batch_size]
        try:
            verdicts = self._store.write([ticket.write for ticket in batch])
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
            for ticket, verdict in zip(batch, verdicts, strict=True):
                self._settle(ticket, verdict)

    def _collect(self) -> None:
        if not self._pending:
            self._take(_IDLE_POLL_S)
        while not self._inbox.empty():
            self._take(0)

    def _take(self, timeout_s: float) -> None:
        try:
            ticket = self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            return
        self._pending.append(ticket)

    def _settle(self, ticket: _Ticket, verdict: WriteResult) -> None:
        current = verdict.current
        settled = verdict
        if not verdict.applied and current is not None:
            wanted = ticket.write.puts[0]
            if wanted.key == current.key and wanted.body == current.body:
                settled = WriteResult(
                    applied=True, revision=current.revision, current=None
                )
        self._done()
        ticket.fut.set_result(settled)

    def _isolate_refused(
        self, refused: StoreRefusedError, batch: list[_Ticket]
    ) -> None:
        """Send refused writes one by one, so that one cannot block others."""
        if len(batch) == 1:
            self._pending.remove(batch[0])
            self._done()
            batch[0].fut.set_exception(refused)
        self._batch_size = 1
        self.pause(self._backoff.next_delay_s())

    def _retry_later(
        self, exc: StoreError, batch: list[_Ticket], *, sent: bool
    ) -> None:
        self.log.store_trouble(exc.text)
        for ticket in batch:
            ticket.may_have_applied = ticket.may_have_applied or sent
        expired = [
            waiting
            for waiting in self._pending
            if has_passed(waiting.retry_until_ms)
        ]
        for late in expired:
            self._pending.remove(late)
            self._fail(late)
        self.pause(self._backoff.next_delay_s())

    def _fail(self, ticket: _Ticket) -> None:
        self._done()
        text = write_unconfirmed(ticket.write.key)
        if ticket.may_have_applied:
            ticket.fut.set_exception(StoreAnswerLostError(text))
        else:
            ticket.fut.set_exception(StoreUnreachableError(text))

    def _done(self) -> None:
        with self._size_lock:
            self._unsettled -= 1
