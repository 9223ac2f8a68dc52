"""Job records in the store: every transition is one compare-and-swap.

The same writes update two indexes: the queued jobs of each coordinator and
the placed jobs of each worker. They let a successor find the jobs of a dead
instance without reading all records.
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
from gentianpulley.group_commit import NO_DEADLINE_MS, GroupCommitWriter
from gentianpulley.logs import EventLog
from gentianpulley.messages import damaged_record
from gentianpulley.store import (
    ABSENT,
    Entry,
    ConditionalWrite,
    Put,
    Store,
    WriteResult,
)

_MAX_WRITE_WAIT_S: Final = 10.0
_EMPTY_BODY: Final = b''

JobListener = Callable[[StoredJob], None]


@dataclass(frozen=True, slots=True)
class CreateResult:
    """The record stored after a creation, and whether it is new."""

    stored: StoredJob
    is_new: bool


@dataclass(frozen=True, slots=True)
class QueueIndexEntry:
    """One row of the index of queued jobs."""

    coordinator: str
    request_key: str


class JobStore:
    """Reads and updates job records."""

    def __init__(
        self, store: Store, writer: GroupCommitWriter, log: EventLog
    ) -> None:
        """Write through `writer`, read from `store`."""
        self._store = store
        self._writer = writer
        self._log = log

    def create(
        self, job: Job, payload: bytes, retry_until_ms: int
    ) -> CreateResult:
        """Write a new record, or return the existing one with the same key.

        Raises `StoreUnreachableError` if nothing was written and
        `StoreAnswerLostError` if the write may have taken effect.
        """
        write = ConditionalWrite(
            job_key(job.request_key),
            ABSENT,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(payload_key(job.request_key), payload),
                Put(queue_key(job.coordinator, job.request_key), _EMPTY_BODY),
            ),
        )
        write_result = self._writer.submit(write, retry_until_ms).result()
        if write_result.applied:
            return CreateResult(
                StoredJob(job, write_result.revision), is_new=True
            )
        if write_result.current is None:
            raise StoreRefusedError(damaged_record(job.request_key))
        return CreateResult(_stored(write_result.current), is_new=False)

    def place(
        self, stored: StoredJob, placement: Placement
    ) -> 'Future[WriteResult]':
        """Place a queued job on a worker; the write is retried forever."""
        job = stored.job.place(placement)
        write = ConditionalWrite(
            job_key(job.request_key),
            stored.revision,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(placed_key(placement.worker, job.request_key), _EMPTY_BODY),
            ),
            (queue_key(job.coordinator, job.request_key),),
        )
        return self._writer.submit(write, NO_DEADLINE_MS)

    def requeue(
        self, stored: StoredJob, requeued: Job, listener: JobListener
    ) -> None:
        """Store a placed job as queued; calls the listener if applied."""
        write = ConditionalWrite(
            job_key(requeued.request_key),
            stored.revision,
            (
                Put(job_key(requeued.request_key), encode_job(requeued)),
                Put(
                    queue_key(requeued.coordinator, requeued.request_key),
                    _EMPTY_BODY,
                ),
            ),
            _index_keys(stored.job),
        )
        self._log.job_requeued(requeued.request_key, requeued.incarnation)
        self._submit(write, requeued, listener)

    def finish(
        self, stored: StoredJob, job_result: JobResult, listener: JobListener
    ) -> None:
        """Store a job as finished; calls the listener if applied."""
        job = stored.job.finish(job_result)
        write = ConditionalWrite(
            job_key(job.request_key),
            stored.revision,
            (Put(job_key(job.request_key), encode_job(job)),),
            (*_index_keys(stored.job), payload_key(job.request_key)),
        )
        self._submit(write, job, listener)

    def finish_and_wait(
        self, stored: StoredJob, job_result: JobResult, retry_until_ms: int
    ) -> StoredJob | None:
        """Finish a job and await the write; None if the record had changed.

        Raises `StoreError` if the write was not confirmed in time.
        """
        job = stored.job.finish(job_result)
        write = ConditionalWrite(
            job_key(job.request_key),
            stored.revision,
            (Put(job_key(job.request_key), encode_job(job)),),
            (*_index_keys(stored.job), payload_key(job.request_key)),
        )
        write_result = self._writer.submit(write, retry_until_ms).result()
        return (
            StoredJob(job, write_result.revision)
            if write_result.applied
            else None
        )

    def adopt(
        self, stored: StoredJob, coordinator: str, retry_until_ms: int
    ) -> StoredJob | None:
        """Adopt a dead coordinator's job; None if the record had changed."""
        job = stored.job.adopt(coordinator)
        write = ConditionalWrite(
            job_key(job.request_key),
            stored.revision,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(queue_key(coordinator, job.request_key), _EMPTY_BODY),
            ),
            _index_keys(stored.job),
        )
        write_result = self._writer.submit(write, retry_until_ms).result()
        return (
            StoredJob(job, write_result.revision)
            if write_result.applied
            else None
        )

    def read(self, request_key: str) -> StoredJob | None:
        """Return the record with this key; raises `StoreError`."""
        entry = self._store.read(job_key(request_key))
        return _stored(entry) if entry else None

    def read_payload(self, request_key: str) -> bytes:
        """Return a job's payload; raises `StoreError`."""
        entry = self._store.read(payload_key(request_key))
        return entry.body if entry else b''

    def placed_on(self, worker: str) -> tuple[StoredJob, ...]:
        """Return the jobs whose records are placed on the worker."""
        prefix = placed_prefix(worker)
        snapshot = self._store.read_prefix(prefix)
        stored = [
            self.read(entry.key.removeprefix(prefix))
            for entry in snapshot.entries
        ]
        return tuple(
            placed
            for placed in stored
            if placed is not None and _is_on(placed.job, worker)
        )

    def queue_index(self) -> tuple[QueueIndexEntry, ...]:
        """Return the queue indexes of all coordinators."""
        snapshot = self._store.read_prefix(QUEUES_PREFIX)
        rows = []
        for entry in snapshot.entries:
            name = entry.key.removeprefix(QUEUES_PREFIX)
            coordinator, _, request_key = name.partition('/')
            rows.append(QueueIndexEntry(coordinator, request_key))
        return tuple(rows)

    def placed_workers(self) -> frozenset[str]:
        """Return the workers on which any job is placed."""
        snapshot = self._store.read_prefix(PLACED_PREFIX)
        return frozenset(
            entry.key.removeprefix(PLACED_PREFIX).partition('/')[0]
            for entry in snapshot.entries
        )

    def _submit(
        self, write: ConditionalWrite, job: Job, listener: JobListener
    ) -> None:
        fut = self._writer.submit(write, NO_DEADLINE_MS)
        fut.add_done_callback(
            lambda done: self._notify_listener(done, job, listener)
        )

    def _notify_listener(
        self, done: 'Future[WriteResult]', job: Job, listener: JobListener
    ) -> None:
        exc = done.exception()
        if exc is not None:
            self._log.store_trouble(str(exc))
            return
        write_result = done.result()
        if write_result.applied:
            listener(StoredJob(job, write_result.revision))


def write_timeout_s(timeout_ms: int) -> float:
    """Return how long to wait for a write, at most `timeout_ms`."""
    return min(_MAX_WRITE_WAIT_S, timeout_ms / MS_PER_SECOND)


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
    """Return the index keys that belong to the record's current state."""
    if job.state is JobState.QUEUED:
        return (queue_key(job.coordinator, job.request_key),)
    if job.placement is not None:
        return (placed_key(job.placement.worker, job.request_key),)
    return ()
