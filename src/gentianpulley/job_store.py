"""Job records in the store: every transition is one compare-and-swap.

Two indexes go with the records in the same writes: the queued jobs of each
coordinator and the placed jobs of each worker. Successors find a dead
instance's jobs there without reading all records.
"""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.control_keys import (
    PLACED_PREFIX,
    QUEUES_PREFIX,
    job_key,
    payload_key,
    placed_key,
    placed_prefix,
    queue_key,
)
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.errors import StoreRefusedError
from gentianpulley.job import (
    Job,
    JobResult,
    JobState,
    Placement,
    StoredJob,
    decode_job,
    encode_job,
)
from gentianpulley.journal import FOREVER_MS, Journal
from gentianpulley.logs import EventLog
from gentianpulley.messages import damaged_record
from gentianpulley.store import ABSENT, Entry, GuardedWrite, Put, Store, Verdict

_SETTLE_S: Final = 10.0
_NO_BODY: Final = b''

StoredListener = Callable[[StoredJob], None]


@dataclass(frozen=True, slots=True)
class Creation:
    """The record that stands after a creation, and whether it is new."""

    stored: StoredJob
    is_new: bool


@dataclass(frozen=True, slots=True)
class QueueIndex:
    """One row of the index of queued jobs."""

    coordinator: str
    request_key: str


class JobStore:
    """Reads and moves job records."""

    def __init__(self, store: Store, journal: Journal, log: EventLog) -> None:
        """Write through `journal`, read from `store`."""
        self._store = store
        self._journal = journal
        self._log = log

    def create(self, job: Job, payload: bytes, retry_until_ms: int) -> Creation:
        """Write a new record, or return the one that has the key.

        Raises `StoreUnreachableError` if nothing was written and
        `StoreAnswerLostError` if that is not known.
        """
        write = GuardedWrite(
            job_key(job.request_key),
            ABSENT,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(payload_key(job.request_key), payload),
                Put(queue_key(job.coordinator, job.request_key), _NO_BODY),
            ),
        )
        verdict = self._journal.submit(write, retry_until_ms).result()
        if verdict.applied:
            return Creation(StoredJob(job, verdict.revision), is_new=True)
        if verdict.current is None:
            raise StoreRefusedError(damaged_record(job.request_key))
        return Creation(_stored(verdict.current), is_new=False)

    def place(
        self, stored: StoredJob, placement: Placement
    ) -> 'Future[Verdict]':
        """Give a queued job to a worker; the write is retried for ever."""
        job = stored.job.place(placement)
        write = GuardedWrite(
            job_key(job.request_key),
            stored.revision,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(placed_key(placement.worker, job.request_key), _NO_BODY),
            ),
            (queue_key(job.coordinator, job.request_key),),
        )
        return self._journal.submit(write, FOREVER_MS)

    def requeue(
        self, stored: StoredJob, moved: Job, listener: StoredListener
    ) -> None:
        """Write a placed job back as queued; tells the listener if applied."""
        write = GuardedWrite(
            job_key(moved.request_key),
            stored.revision,
            (
                Put(job_key(moved.request_key), encode_job(moved)),
                Put(queue_key(moved.coordinator, moved.request_key), _NO_BODY),
            ),
            _index_keys(stored.job),
        )
        self._log.job_requeued(moved.request_key, moved.incarnation)
        self._submit(write, moved, listener)

    def finish(
        self, stored: StoredJob, ending: JobResult, listener: StoredListener
    ) -> None:
        """End a job for good; tells the listener if applied."""
        job = stored.job.finish(ending)
        write = GuardedWrite(
            job_key(job.request_key),
            stored.revision,
            (Put(job_key(job.request_key), encode_job(job)),),
            (*_index_keys(stored.job), payload_key(job.request_key)),
        )
        self._submit(write, job, listener)

    def finish_now(
        self, stored: StoredJob, ending: JobResult, retry_until_ms: int
    ) -> StoredJob | None:
        """End a job and wait; None if the record had changed.

        Raises `StoreError` if the write was not settled in time.
        """
        job = stored.job.finish(ending)
        write = GuardedWrite(
            job_key(job.request_key),
            stored.revision,
            (Put(job_key(job.request_key), encode_job(job)),),
            (*_index_keys(stored.job), payload_key(job.request_key)),
        )
        verdict = self._journal.submit(write, retry_until_ms).result()
        return StoredJob(job, verdict.revision) if verdict.applied else None

    def adopt(
        self, stored: StoredJob, coordinator: str, retry_until_ms: int
    ) -> StoredJob | None:
        """Take over a dead coordinator's job; None if another was first."""
        job = stored.job.adopt(coordinator)
        write = GuardedWrite(
            job_key(job.request_key),
            stored.revision,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(queue_key(coordinator, job.request_key), _NO_BODY),
            ),
            _index_keys(stored.job),
        )
        verdict = self._journal.submit(write, retry_until_ms).result()
        return StoredJob(job, verdict.revision) if verdict.applied else None

    def read(self, request_key: str) -> StoredJob | None:
        """Return the record with this key; raises `StoreError`."""
        entry = self._store.read(job_key(request_key))
        return _stored(entry) if entry else None

    def read_payload(self, request_key: str) -> bytes:
        """Return a job's payload; raises `StoreError`."""
        entry = self._store.read(payload_key(request_key))
        return entry.body if entry else b''

    def placed_on(self, worker: str) -> tuple[StoredJob, ...]:
        """Return the jobs whose records name the worker."""
        prefix = placed_prefix(worker)
        found = self._store.read_prefix(prefix)
        stored = [
            self.read(entry.key.removeprefix(prefix)) for entry in found.entries
        ]
        return tuple(
            placed
            for placed in stored
            if placed is not None and _is_on(placed.job, worker)
        )

    def queue_index(self) -> tuple[QueueIndex, ...]:
        """Return the queue indexes of all coordinators."""
        found = self._store.read_prefix(QUEUES_PREFIX)
        rows = []
        for entry in found.entries:
            name = entry.key.removeprefix(QUEUES_PREFIX)
            coordinator, _, request_key = name.partition('/')
            rows.append(QueueIndex(coordinator, request_key))
        return tuple(rows)

    def placed_workers(self) -> frozenset[str]:
        """Return the workers that any placed job names."""
        found = self._store.read_prefix(PLACED_PREFIX)
        return frozenset(
            entry.key.removeprefix(PLACED_PREFIX).partition('/')[0]
            for entry in found.entries
        )

    def _submit(
        self, write: GuardedWrite, job: Job, listener: StoredListener
    ) -> None:
        fut = self._journal.submit(write, FOREVER_MS)
        fut.add_done_callback(lambda done: self._tell(done, job, listener))

    def _tell(
        self, done: 'Future[Verdict]', job: Job, listener: StoredListener
    ) -> None:
        exc = done.exception()
        if exc is not None:
            self._log.store_trouble(str(exc))
            return
        verdict = done.result()
        if verdict.applied:
            listener(StoredJob(job, verdict.revision))


def seconds_to_settle(timeout_ms: int) -> float:
    """Return a wait for a write, bounded by `timeout_ms`."""
    return min(_SETTLE_S, timeout_ms / MS_PER_SECOND)


def _stored(entry: Entry) -> StoredJob:
    try:
        job = decode_job(entry.body)
    except msgspec.DecodeError as exc:
        raise StoreRefusedError(damaged_record(entry.key)) from exc
    return StoredJob(job, entry.revision)


def _is_on(job: Job, worker: str) -> bool:
    placement = job.placement
    placed = job.state is JobState.PLACED and placement is not None
    return placed and placement is not None and placement.worker == worker


def _index_keys(job: Job) -> tuple[str, ...]:
    """Return the index keys that stand for the record as it is."""
    if job.state is JobState.QUEUED:
        return (queue_key(job.coordinator, job.request_key),)
    if job.placement is not None:
        return (placed_key(job.placement.worker, job.request_key),)
    return ()
