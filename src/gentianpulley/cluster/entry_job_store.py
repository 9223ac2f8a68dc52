"""Jobs in the store as entry instances create, cancel and report them."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from gentianpulley.cluster.job_storage import (
    cancellation_key,
    job_key,
    record_key,
    waiting_key,
)
from gentianpulley.cluster.prefix_counts import SharedPrefixCounts
from gentianpulley.cluster.tombstones import tombstone_key
from gentianpulley.jobs.job import JobState
from gentianpulley.jobs.record import JobRecord, decode_record
from gentianpulley.jobs.spec import JobSpec, encode_job
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    Entry,
    Precondition,
    Put,
    Store,
    Transaction,
)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The status of a job that callers may request."""

    state: JobState


class CreateOutcome(Enum):
    """The outcome of creating a job; `BARRED` means that it has a tombstone."""

    CREATED = 'created'
    EXISTS = 'exists'
    BARRED = 'barred'


class EntryJobStore:
    """Job operations of an entry instance on the store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Read from and write to `store`."""
        self._store = store
        self._log = log
        self._counts = SharedPrefixCounts(store)

    def create(self, spec: JobSpec) -> CreateOutcome:
        """Store a job unless its id exists or has a tombstone."""
        key = job_key(spec.job_id)
        txn = Transaction(
            (
                Precondition(key, ABSENT),
                Precondition(tombstone_key(spec.job_id), ABSENT),
            ),
            (
                Put(key, encode_job(spec)),
                Put(waiting_key(spec.policy.queue, spec.job_id), b''),
            ),
        )
        commit = self._store.commit(txn)
        if commit.applied:
            return CreateOutcome.CREATED
        if any(entry.key == key for entry in commit.current):
            return CreateOutcome.EXISTS
        return CreateOutcome.BARRED

    def exists(self, job_id: str) -> bool:
        """Return whether a job was accepted, and is still stored."""
        return self._store.read(job_key(job_id)) is not None

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status, or None if there is no such job."""
        entry = self._store.read(record_key(job_id))
        if entry is not None:
            record = self._record(entry)
            if record is not None:
                return JobStatus(record.state)
        if self._store.read(job_key(job_id)) is None:
            return None
        return JobStatus(JobState.QUEUED)

    def cancel(self, job_id: str) -> JobStatus | None:
        """Store a cancellation; return the status before, None if no job.

        After None, a write that was sent to create the job before has no
        effect.
        """
        job_status = self.status(job_id)
        if job_status is None:
            if self._store_tombstone(job_id):
                return None
            # The job was created after its status was read.
            job_status = JobStatus(JobState.QUEUED)
        if job_status.state.is_final:
            return job_status
        key = cancellation_key(job_id)
        is_absent = Precondition(key, ABSENT)
        self._store.commit(Transaction((is_absent,), (Put(key, b''),)))
        return job_status

    def count_waiting(self, queue: str, deadline_ms: int) -> int:
        """Return how many jobs of a queue have not started.

        Raises `StoreError` if the store does not answer before the deadline.
        """
        return self._counts.count(waiting_key(queue, ''), deadline_ms)

    def _store_tombstone(self, job_id: str) -> bool:
        """Store or renew a tombstone; return False if the job exists."""
        is_absent = Precondition(job_key(job_id), ABSENT)
        tombstone = Put(tombstone_key(job_id), b'')
        return self._store.commit(
            Transaction((is_absent,), (tombstone,))
        ).applied

    def _record(self, entry: Entry) -> JobRecord | None:
        try:
            return decode_record(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return None
