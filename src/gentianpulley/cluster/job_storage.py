"""Jobs in the store: where they stand and how they are written.

Entry instances create a job and its cancellation; the leader writes records
of what became of it. All writes of the leader are guarded by its key, so that
a former leader cannot write any more, and by the record's own revision, so
that a write whose answer was lost cannot undo a newer one.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Final
from urllib.parse import quote

import msgspec

from gentianpulley.cluster.leader_store import LeaderStore, call_with_retries
from gentianpulley.cluster.expiring_id_set import ExpiringIdSet
from gentianpulley.cluster.prefix_counts import SharedPrefixCounts
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.job import Job, JobState, create_job
from gentianpulley.jobs.record import (
    JobRecord,
    decode_record,
    encode_record,
    create_record,
    restore_job,
)
from gentianpulley.jobs.spec import JobSpec, decode_job, encode_job
from gentianpulley.logs import EventLog
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import (
    ABSENT,
    CommitResult,
    Entry,
    Precondition,
    Put,
    Store,
    Transaction,
)

ROOT: Final = 'gp/'
SPEC_PREFIX: Final = 'gp/job/spec/'
CANCELLATION_PREFIX: Final = 'gp/job/cancelled/'
RECORD_PREFIX: Final = 'gp/record/'
WAITING_PREFIX: Final = 'gp/waiting/'
LEADER_KEY: Final = 'gp/leader'

MAX_SAVED_JOBS_PER_TRANSACTION: Final = 10
"""A job takes a guard, a put and a delete; the store allows 32 entries."""

MAX_DELETED_JOBS_PER_TRANSACTION: Final = 7
"""A job that is deleted takes four entries."""
DELETED_ID_RETENTION_MS: Final = 600_000
"""How long a deleted job still counts as ended. What was read of it before is
taken up, or given up, within seconds."""

MAX_TRANSACTION_BYTES: Final = 100_000
"""Records in one transaction: a link of 5 Mbit/s carries them, as base64, in a
part of the time that a write may take."""


@dataclass(frozen=True, slots=True)
class LoadedJobs:
    """All jobs that go on, and the revisions to watch from.

    `cancelled` names all jobs with a cancellation, also those that have ended.
    """

    jobs: tuple[Job, ...]
    cancelled: frozenset[str]
    jobs_revision: int
    cancellations_revision: int


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What callers may ask of a job."""

    state: JobState


class EntryJobStore:
    """What every entry instance does with jobs in the store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Use one store."""
        self._store = store
        self._log = log
        self._counts = SharedPrefixCounts(store)

    def create(self, spec: JobSpec) -> bool:
        """Store a job; returns False if its id was already there."""
        key = job_key(spec.job_id)
        txn = Transaction(
            (Precondition(key, ABSENT),),
            (
                Put(key, encode_job(spec)),
                Put(waiting_key(spec.policy.queue, spec.job_id), b''),
            ),
        )
        return self._store.commit(txn).applied

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's state, or None if there is no such job."""
        entry = self._store.read(record_key(job_id))
        if entry is not None:
            record = self._record(entry)
            if record is not None:
                return JobStatus(record.state)
        if self._store.read(job_key(job_id)) is None:
            return None
        return JobStatus(JobState.QUEUED)

    def cancel(self, job_id: str) -> JobStatus | None:
        """Store a cancellation; returns the state before, None if unknown."""
        view = self.status(job_id)
        if view is None or view.state.is_final:
            return view
        key = cancellation_key(job_id)
        unset = Precondition(key, ABSENT)
        self._store.commit(Transaction((unset,), (Put(key, b''),)))
        return view

    def count_waiting(self, queue: str, deadline_ms: int) -> int:
        """Return how many jobs of a queue have not begun.

        Raises `StoreError` if the store does not tell before the deadline.
        """
        return self._counts.count(waiting_key(queue, ''), deadline_ms)

    def _record(self, entry: Entry) -> JobRecord | None:
        try:
            return decode_record(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return None


class LeaderJobStore:
    """What the leader reads and writes under its token."""

    def __init__(self, store: LeaderStore, log: EventLog) -> None:
        """Write under the token of the leader."""
        self._store = store
        self._log = log
        self._revisions: dict[str, int] = {}
        self._ended: dict[str, tuple[int, str]] = {}
        self._forgotten = ExpiringIdSet(DELETED_ID_RETENTION_MS)

    def load(self) -> LoadedJobs:
        """Read all records, cancellations and jobs; raises `StoreError`."""
        records = self._load_records()
        cancels = PrefixScan(self._store.reader, CANCELLATION_PREFIX)
        cancelled = frozenset(
            cancelled_job_id(entry.key) for entry in self._read_all(cancels)
        )
        specs = PrefixScan(self._store.reader, SPEC_PREFIX)
        jobs = tuple(
            job
            for entry in self._read_all(specs)
            if (job := self._loaded(entry, records)) is not None
        )
        return LoadedJobs(jobs, cancelled, specs.revision, cancels.revision)

    def decode_spec(self, entry: Entry) -> JobSpec | None:
        """Decode a stored job; None if it is damaged."""
        try:
            return decode_job(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return None

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a final record of a job is known, or was lately."""
        return job_id in self._ended or job_id in self._forgotten

    def save(self, batches: deque[list[Job]]) -> None:
        """Write the jobs' records; raises `DeposedError` or `StoreError`.

        Batches that are written are taken off the queue, so that after a
        failure it holds those that are left.
        """
        while batches:
            saved_ms = now_ms()
            puts = _next_puts(batches, saved_ms)
            self._save_batch(batches[0], puts, saved_ms)
            batches.popleft()

    def delete_ended(self, before_ms: int) -> int:
        """Delete some of the jobs that ended before a time.

        One write, as records wait for it; returns how many there were.
        """
        old = [
            job_id
            for job_id, (ended_ms, _) in self._ended.items()
            if ended_ms < before_ms
        ]
        batch = old[:MAX_DELETED_JOBS_PER_TRANSACTION]
        if batch:
            keys = (self._keys_of(job_id) for job_id in batch)
            self._commit(Transaction((), deletes=tuple(chain(*keys))))
        for job_id in batch:
            self._forgotten.add(job_id, now_ms())
            self._ended.pop(job_id)
            self._revisions.pop(job_id, None)
        return len(old)

    def _keys_of(self, job_id: str) -> tuple[str, ...]:
        """Return all keys of a job that has ended."""
        queue = self._ended[job_id][1]
        return (
            job_key(job_id),
            cancellation_key(job_id),
            record_key(job_id),
            waiting_key(queue, job_id),
        )

    def _loaded(
        self, entry: Entry, records: Mapping[str, JobRecord]
    ) -> Job | None:
        """Return a stored job, None if it has ended or is damaged."""
        spec = self.decode_spec(entry)
        record = records.get(spec.job_id) if spec else None
        if spec is None or (record is not None and record.state.is_final):
            return None
        job = create_job(spec, is_inherited=True)
        if record is not None:
            restore_job(job, record)
        return job

    def _load_records(self) -> dict[str, JobRecord]:
        records = {}
        reading = PrefixScan(self._store.reader, RECORD_PREFIX)
        for entry in self._read_all(reading):
            job_id = entry.key.removeprefix(RECORD_PREFIX)
            self._revisions[job_id] = entry.revision
            try:
                record = decode_record(entry.body)
            except msgspec.DecodeError as exc:
                self._log.document_damaged(entry.key, str(exc))
                continue
            records[job_id] = record
            if record.state.is_final:
                self._ended[job_id] = (record.ended_ms, record.queue)
        return records

    def _read_all(self, reading: PrefixScan) -> Iterator[Entry]:
        while not reading.is_complete:
            yield from call_with_retries(reading.next_page, self._log)

    def _save_batch(
        self, batch: list[Job], puts: list[Put], saved_ms: int
    ) -> None:
        guards = [self._record_guard(job) for job in batch]
        deletes = [
            waiting_key(job.spec.policy.queue, job.spec.job_id)
            for job in batch
            if job.has_started or job.state.is_final
        ]
        commit = self._commit(
            Transaction(
                tuple(guards),
                tuple(puts),
                tuple(deletes),
            )
        )
        for job in batch:
            self._note_saved(job, commit.revision, saved_ms)

    def _record_guard(self, job: Job) -> Precondition:
        job_id = job.spec.job_id
        return Precondition(
            record_key(job_id), self._revisions.get(job_id, ABSENT)
        )

    def _note_saved(self, job: Job, revision: int, saved_ms: int) -> None:
        job_id = job.spec.job_id
        self._revisions[job_id] = revision
        is_new_end = job.state.is_final and job_id not in self._ended
        if job.state.is_final:
            self._ended[job_id] = (saved_ms, job.spec.policy.queue)
        if is_new_end:
            age_ms = saved_ms - job.spec.submitted_ms
            self._log.job_state(job_id, job.state.value, age_ms)

    def _commit(self, txn: Transaction) -> CommitResult:
        commit = self._store.commit(txn)
        if commit.applied:
            return commit
        current = {entry.key: entry.revision for entry in commit.current}
        for guard in txn.preconditions:
            # Only this leader writes records, so a newer revision is an
            # earlier write of its own whose answer was lost.
            job_id = guard.key.removeprefix(RECORD_PREFIX)
            self._revisions[job_id] = current.get(guard.key, ABSENT)
        raise StoreError('a record has another revision; it is written again')


def split_into_batches(jobs: list[Job]) -> deque[list[Job]]:
    """Return the jobs in batches that are each written at once."""
    return deque(
        jobs[start : start + MAX_SAVED_JOBS_PER_TRANSACTION]
        for start in range(0, len(jobs), MAX_SAVED_JOBS_PER_TRANSACTION)
    )


def _next_puts(batches: deque[list[Job]], saved_ms: int) -> list[Put]:
    """Return the records of the first batch.

    It is halved until they are no more than one write.
    """
    puts = [_record_put(job, saved_ms) for job in batches[0]]
    while len(puts) > 1 and _are_large(puts):
        batch = batches.popleft()
        middle = len(batch) // 2
        batches.extendleft((batch[middle:], batch[:middle]))
        puts = puts[:middle]
    return puts


def _are_large(puts: list[Put]) -> bool:
    return sum(len(put.body) for put in puts) > MAX_TRANSACTION_BYTES


def job_key(job_id: str) -> str:
    """Return where a submitted job stands."""
    return f'{SPEC_PREFIX}{job_id}'


def cancellation_key(job_id: str) -> str:
    """Return where a job's cancellation stands."""
    return f'{CANCELLATION_PREFIX}{job_id}'


def cancelled_job_id(key: str) -> str:
    """Return which job a cancellation is of."""
    return key.removeprefix(CANCELLATION_PREFIX)


def record_key(job_id: str) -> str:
    """Return where the leader's record of a job stands."""
    return f'{RECORD_PREFIX}{job_id}'


def waiting_key(queue: str, job_id: str) -> str:
    """Return the mark of a job that has not begun."""
    return f'{WAITING_PREFIX}{quote(queue, safe="")}/{job_id}'


def waiting_job_id(entry: Entry) -> str:
    """Return which job a mark says has not begun."""
    return entry.key.rpartition('/')[2]


def _record_put(job: Job, saved_ms: int) -> Put:
    body = encode_record(create_record(job, saved_ms))
    return Put(record_key(job.spec.job_id), body)
