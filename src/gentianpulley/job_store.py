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

_SETTLE_S: Final = 10.0
_NO_BODY: Final = b''

JobListener = Callable[[StoredJob], None]


@dataclass(frozen=True, slots=True)
class CreateResult:
    """The record that stands after a creation, and whether it is new."""

    stored: StoredJob
    is_new: bool


@dataclass(frozen=True, slots=True)
class QueueIndexEntry:
    """One row of the index of queued jobs."""

    coordinator: str
    request_key: str


class JobStore:
    """Reads and moves job records."""

    def __init__(
        self, store: Store, writer: GroupCommitWriter, log: EventLog
    ) -> None:
        """Write through `writer`, read from `store`."""
        self._store = store
        self._journal = writer
        self._log = log

    def create(
        self, job: Job, payload: bytes, retry_until_ms: int
    ) -> CreateResult:
        """Write a new record, or return the one that has the key.

        Raises `StoreUnreachableError` if nothing was written and
        `StoreAnswerLostError` if that is not known.
        """
        write = ConditionalWrite(
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
            return CreateResult(StoredJob(job, verdict.revision), is_new=True)
        if verdict.current is None:
            raise StoreRefusedError(damaged_record(job.request_key))
        return CreateResult(_stored(verdict.current), is_new=False)

    def place(
        self, stored: StoredJob, placement: Placement
    ) -> 'Future[WriteResult]':
        """Give a queued job to a worker; the write is retried for ever."""
        job = stored.job.place(placement)
        write = ConditionalWrite(
            job_key(job.request_key),
            stored.revision,
            (
                Put(job_key(job.request_key), encode_job(job)),
                Put(placed_key(placement.worker, job.request_key), _NO_BODY),
            ),
            (queue_key(job.coordinator, job.request_key),),
        )
        return self._journal.submit(write, NO_DEADLINE_MS)

    def requeue(
        self, stored: StoredJob, requeued: Job, listener: JobListener
    ) -> None:
        """Write a placed job back as queued; tells the listener if applied."""
        write = ConditionalWrite(
            job_key(requeued.request_key),
            stored.revision,
            (
                Put(job_key(requeued.request_key), encode_job(requeued)),
                Put(
                    queue_key(requeued.coordinator, requeued.request_key),
                    _NO_BODY,
                ),
            ),
            _index_keys(stored.job),
        )
        self._log.job_requeued(requeued.request_key, requeued.incarnation)
        self._submit(write, requeued, listener)

    def finish(
        self, stored: StoredJob, job_result: JobResult, listener: JobListener
    ) -> None:
        """End a job for good; tells the listener if applied."""
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
        """End a job and wait; None if the record had changed.

        Raises `StoreError` if the write was not settled in time.
        """
        job = stored.job.finish(job_result)
        write = ConditionalWrite(
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
        write = ConditionalWrite(
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

    def queue_index(self) -> tuple[QueueIndexEntry, ...]:
        """Return the queue indexes of all coordinators."""
        found = self._store.read_prefix(QUEUES_PREFIX)
        rows = []
        for entry in found.entries:
            name = entry.key.removeprefix(QUEUES_PREFIX)
            coordinator, _, request_key = name.partition('/')
            rows.append(QueueIndexEntry(coordinator, request_key))
        return tuple(rows)

    def placed_workers(self) -> frozenset[str]:
        """Return the workers that any placed job names."""
        found = self._store.read_prefix(PLACED_PREFIX)
        return frozenset(
            entry.key.removeprefix(PLACED_PREFIX).partition('/')[0]
            for entry in found.entries
        )

    def _submit(
        self, write: ConditionalWrite, job: Job, listener: JobListener
    ) -> None:
        fut = self._journal.submit(write, NO_DEADLINE_MS)
        fut.add_done_callback(lambda done: self._tell(done, job, listener))

    def _tell(
        self, done: 'Future[WriteResult]', job: Job, listener: JobListener
    ) -> None:
        exc = done.exception()
        if exc is not None:
            self._log.store_trouble(str(exc))
            return
        verdict = done.result()
        if verdict.applied:
            listener(StoredJob(job, verdict.revision))


def write_timeout_s(timeout_ms: int) -> float:
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
