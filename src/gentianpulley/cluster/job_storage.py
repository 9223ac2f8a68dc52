"""Jobs in the store: their keys, and how the leader reads and writes them.

Entry instances create a job and its cancellation (`entry_job_store`); the
leader writes records of the job's progress. All writes of the leader have two
preconditions: its key, so that a previous leader cannot write any more, and the
record's own revision, so that a write whose response was lost cannot overwrite
a newer one.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import chain
from threading import Lock
from typing import Final
from urllib.parse import quote

import msgspec

from gentianpulley.cluster.leader_store import LeaderStore, call_with_retries
from gentianpulley.cluster.expiring_id_set import ExpiringIdSet
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.record import (
    JobRecord,
    decode_record,
    encode_record,
    create_record,
    restore_job,
)
from gentianpulley.jobs.spec import JobSpec, decode_job
from gentianpulley.logs import EventLog
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import (
    ABSENT,
    CommitResult,
    Entry,
    Precondition,
    Put,
    Transaction,
)

ROOT: Final = 'gp/'
SPEC_PREFIX: Final = 'gp/job/spec/'
CANCELLATION_PREFIX: Final = 'gp/job/cancelled/'
RECORD_PREFIX: Final = 'gp/record/'
WAITING_PREFIX: Final = 'gp/waiting/'
LEADER_KEY: Final = 'gp/leader'

MAX_SAVED_JOBS_PER_TRANSACTION: Final = 10
"""A job takes a precondition, a put and a delete; the store allows 32
entries."""

MAX_DELETED_JOBS_PER_TRANSACTION: Final = 7
"""Deleting a job takes four entries."""
DELETED_ID_RETENTION_MS: Final = 600_000
"""How long a deleted job still counts as ended. Entries of it that were read
before are processed or dropped within seconds."""

MAX_TRANSACTION_BYTES: Final = 100_000
"""Maximum size of the records in one transaction. A link of 5 Mbit/s transfers
them, base64-encoded, in a fraction of the time that a write may take."""


@dataclass(frozen=True, slots=True)
class LoadedJobs:
    """All unfinished jobs, and the revisions to watch from.

    The cancellations are read last, so those stored before the jobs were read
    are complete. Those stored since `cancellations_revision` may be missing.

    `cancelled` has the ids of all jobs with a cancellation, including jobs that
    have ended.
    """

    jobs: tuple[Job, ...]
    cancelled: frozenset[str]
    jobs_revision: int
    cancellations_revision: int


class LeaderJobStore:
    """Job operations of the leader on the store, under its token.

    A leader that hands over saves while its saving thread may delete.
    """

    def __init__(self, store: LeaderStore, log: EventLog) -> None:
        """Write through `store`, which checks the leader's token."""
        self._store = store
        self._log = log
        self._revisions: dict[str, int] = {}
        self._ended: dict[str, tuple[int, str]] = {}
        self._ended_lock = Lock()
        self._deleted_ids = ExpiringIdSet(DELETED_ID_RETENTION_MS)

    def load(self) -> LoadedJobs:
        """Read all records, jobs and cancellations; raises `StoreError`."""
        records = self._load_records()
        spec_scan = PrefixScan(self._store.reader, SPEC_PREFIX)
        jobs = tuple(
            job
            for entry in self._read_entries(spec_scan)
            if (job := self._restore_if_unfinished(entry, records)) is not None
        )
        cancellation_scan = PrefixScan(self._store.reader, CANCELLATION_PREFIX)
        cancelled = frozenset(
            cancelled_job_id(entry.key)
            for entry in self._read_entries(cancellation_scan)
        )
        return LoadedJobs(
            jobs, cancelled, spec_scan.revision, cancellation_scan.revision
        )

    def decode_spec(self, entry: Entry) -> JobSpec | None:
        """Decode a stored job; return None if it is corrupt."""
        try:
            return decode_job(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return None

    def create_job(
        self,
        spec: JobSpec,
        record: JobRecord | None = None,
        *,
        is_inherited: bool,
    ) -> Job | None:
        """Return a job; None if it cannot be used, which is logged.

        One such job must not keep a leader from all others.
        """
        try:
            job = create_job(spec, is_inherited=is_inherited)
            if record is not None:
                restore_job(job, record)
        except Exception as error:
            self._log.document_damaged(job_key(spec.job_id), repr(error))
            return None
        return job

    def has_ended(self, job_id: str) -> bool:
        """Return whether a job has a final record, or had one recently."""
        return job_id in self._ended or job_id in self._deleted_ids

    def save(self, batches: deque[list[Job]]) -> None:
        """Write the jobs' records; raises `DeposedError` or `StoreError`.

        Written batches are removed from the queue, so that after a failure it
        contains the remaining ones.
        """
        while batches:
            saved_ms = now_ms()
            puts = _next_puts(batches, saved_ms)
            self._save_batch(batches[0], puts, saved_ms)
            batches.popleft()

    def delete_ended(self, before_ms: int) -> int:
        """Delete some of the jobs that ended before a time.

        Makes only one write, because writes of records wait for it. Returns how
        many jobs had ended before that time.
        """
        with self._ended_lock:
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
            self._deleted_ids.add(job_id, now_ms())
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

    def _restore_if_unfinished(
        self, entry: Entry, records: Mapping[str, JobRecord]
    ) -> Job | None:
        """Return a stored job, or None if it has ended or is unusable."""
        spec = self.decode_spec(entry)
        record = records.get(spec.job_id) if spec else None
        if spec is None or (record is not None and record.state.is_final):
            return None
        return self.create_job(spec, record, is_inherited=True)

    def _load_records(self) -> dict[str, JobRecord]:
        records = {}
        scan = PrefixScan(self._store.reader, RECORD_PREFIX)
        for entry in self._read_entries(scan):
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

    def _read_entries(self, scan: PrefixScan) -> Iterator[Entry]:
        while not scan.is_complete:
            yield from call_with_retries(scan.next_page, self._log)

    def _save_batch(
        self, batch: list[Job], puts: list[Put], saved_ms: int
    ) -> None:
        preconditions = [self._record_precondition(job) for job in batch]
        deletes = [
            waiting_key(job.spec.policy.queue, job.spec.job_id)
            for job in batch
            if job.has_started or job.state.is_final
        ]
        commit = self._commit(
            Transaction(
                tuple(preconditions),
                tuple(puts),
                tuple(deletes),
            )
        )
        for job in batch:
            self._mark_saved(job, commit.revision, saved_ms)

    def _record_precondition(self, job: Job) -> Precondition:
        job_id = job.spec.job_id
        return Precondition(
            record_key(job_id), self._revisions.get(job_id, ABSENT)
        )

    def _mark_saved(self, job: Job, revision: int, saved_ms: int) -> None:
        job_id = job.spec.job_id
        self._revisions[job_id] = revision
        is_new_end = job.state.is_final and job_id not in self._ended
        if job.state.is_final:
            with self._ended_lock:
                self._ended[job_id] = (saved_ms, job.spec.policy.queue)
        if is_new_end:
            age_ms = saved_ms - job.spec.submitted_ms
            self._log.job_state(job_id, job.state.value, age_ms)

    def _commit(self, txn: Transaction) -> CommitResult:
        commit = self._store.commit(txn)
        if commit.applied:
            return commit
        current = {entry.key: entry.revision for entry in commit.current}
        for precondition in txn.preconditions:
            # Only this leader writes records, so a newer revision comes from
            # an earlier write of its own whose response was lost.
            job_id = precondition.key.removeprefix(RECORD_PREFIX)
            self._revisions[job_id] = current.get(precondition.key, ABSENT)
        raise StoreError(
            'a record has an unexpected revision; it will be rewritten'
        )


def split_into_batches(jobs: list[Job]) -> deque[list[Job]]:
    """Split jobs into batches, each of which is written at once."""
    return deque(
        jobs[start : start + MAX_SAVED_JOBS_PER_TRANSACTION]
        for start in range(0, len(jobs), MAX_SAVED_JOBS_PER_TRANSACTION)
    )


def _next_puts(batches: deque[list[Job]], saved_ms: int) -> list[Put]:
    """Return the writes of the first batch's records.

    The batch is halved until its records fit into one transaction, or until
    one job is left.
    """
    puts = [_record_put(job, saved_ms) for job in batches[0]]
    while len(puts) > 1 and _exceed_transaction_limit(puts):
        batch = batches.popleft()
        middle = len(batch) // 2
        batches.extendleft((batch[middle:], batch[:middle]))
        puts = puts[:middle]
    return puts


def _exceed_transaction_limit(puts: list[Put]) -> bool:
    return sum(len(put.body) for put in puts) > MAX_TRANSACTION_BYTES


def job_key(job_id: str) -> str:
    """Return the key of a submitted job."""
    return f'{SPEC_PREFIX}{job_id}'


def cancellation_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f'{CANCELLATION_PREFIX}{job_id}'


def cancelled_job_id(key: str) -> str:
    """Return the id of the job that a cancellation key belongs to."""
    return key.removeprefix(CANCELLATION_PREFIX)


def record_key(job_id: str) -> str:
    """Return the key of the leader's record of a job."""
    return f'{RECORD_PREFIX}{job_id}'


def waiting_key(queue: str, job_id: str) -> str:
    """Return the waiting key of a job that has not started."""
    return f'{WAITING_PREFIX}{quote(queue, safe="")}/{job_id}'


def waiting_job_id(entry: Entry) -> str:
    """Return the id of the unstarted job that a waiting key belongs to."""
    return entry.key.rpartition('/')[2]


def _record_put(job: Job, saved_ms: int) -> Put:
    body = encode_record(create_record(job, saved_ms))
    return Put(record_key(job.spec.job_id), body)
