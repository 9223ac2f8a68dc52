"""Jobs in the store as entry instances create, cancel and report them."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from gentianpulley.cluster.customer_keys import UNRESTRICTED, Caller
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
from gentianpulley.jobs.spec import JobSpec, decode_owner, encode_job
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    CommitResult,
    Entry,
    Precondition,
    Put,
    Store,
    Transaction,
)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The status of a job that callers may request.

    `owner` names the customer that the job belongs to, empty for none.
    """

    state: JobState
    owner: str = ''


class CreateOutcome(Enum):
    """The outcome of creating a job.

    `BARRED` means that it has a tombstone, `FOREIGN` that a job of another
    customer has its id.
    """

    CREATED = 'created'
    EXISTS = 'exists'
    FOREIGN = 'foreign'
    BARRED = 'barred'


class EntryJobStore:
    """Job operations of an entry instance on the store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Read from and write to `store`."""
        self._store = store
        self._log = log
        self._counts = SharedPrefixCounts(store)

    def create(
        self, spec: JobSpec, caller: Caller = UNRESTRICTED
    ) -> CreateOutcome:
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
        stored = _find_entry(commit, key)
        if stored is None:
            return CreateOutcome.BARRED
        if caller.may_access(self._owner(stored)):
            return CreateOutcome.EXISTS
        return CreateOutcome.FOREIGN

    def exists(self, job_id: str) -> bool:
        """Return whether a job was accepted, and is still stored."""
        return self._store.read(job_key(job_id)) is not None

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status, or None if there is no such job."""
        entry = self._store.read(record_key(job_id))
        if entry is not None:
            record = self._record(entry)
            if record is not None:
                return JobStatus(record.state, record.customer)
        stored = self._store.read(job_key(job_id))
        return None if stored is None else self._queued(stored)

    def cancel(
        self, job_id: str, caller: Caller = UNRESTRICTED
    ) -> JobStatus | None:
        """Store a cancellation; return the status before, None if no job.

        After None, a write that was sent to create the job before has no
        effect. Nothing is stored if `caller` may not access the job.
        """
        job_status = self.status(job_id)
        if job_status is None:
            job_status = self._store_tombstone(job_id)
        if job_status is None or job_status.state.is_final:
            return job_status
        if not caller.may_access(job_status.owner):
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

    def _store_tombstone(self, job_id: str) -> JobStatus | None:
        """Store or renew a tombstone; return the job's status if it exists.

        It exists if it was created after its status was read.
        """
        key = job_key(job_id)
        is_absent = Precondition(key, ABSENT)
        tombstone = Put(tombstone_key(job_id), b'')
        commit = self._store.commit(Transaction((is_absent,), (tombstone,)))
        if commit.applied:
            return None
        stored = _find_entry(commit, key)
        return (
            JobStatus(JobState.QUEUED)
            if stored is None
            else self._queued(stored)
        )

    def _queued(self, stored: Entry) -> JobStatus:
        """Return the status of a stored job without a record."""
        return JobStatus(JobState.QUEUED, self._owner(stored))

    def _owner(self, stored: Entry) -> str:
        """Return whose job was stored; nobody's if it is corrupt."""
        try:
            return decode_owner(stored.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(stored.key, str(exc))
        return ''

    def _record(self, entry: Entry) -> JobRecord | None:
        try:
            return decode_record(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return None


def _find_entry(commit: CommitResult, key: str) -> Entry | None:
    """Return the entry at a key that a transaction has met, or None."""
    found = (entry for entry in commit.current if entry.key == key)
    return next(found, None)
