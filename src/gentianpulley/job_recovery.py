"""Takes over the queued jobs of coordinators that are gone.

Exactly one successor gets each job, because the record changes by
compare-and-swap. The same scan finds records of this instance whose creation
was not confirmed, and placed jobs whose workers are permanently gone.
"""

from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_state import ControlState
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import StoreError
from gentianpulley.job import JobState, StoredJob, failure_result
from gentianpulley.job_queue import JobQueue
from gentianpulley.job_store import JobStore, QueueIndexEntry
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.ownership import preferred_member
from gentianpulley.result_code import OUTCOME_UNKNOWN

SCAN_INTERVAL_S: Final = 5.0
ADOPT_TIMEOUT_MS: Final = 5000
WORKER_GONE_AFTER_MS: Final = 60_000


class JobRecovery(BackgroundLoop):
    """Scans the queue indexes for jobs that no member coordinates."""

    def __init__(
        self,
        state: ControlState,
        membership: Membership,
        jobs: JobStore,
        queue: JobQueue,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('succession', SCAN_INTERVAL_S, log)
        self._state = state
        self._membership = membership
        self._jobs = jobs
        self._queue = queue
        self._missing_until_ms: dict[str, int] = {}
        self._members: frozenset[str] = frozenset()

    def on_members_changed(self) -> None:
        """Scan at once if a member is gone."""
        members = frozenset(
            record.member_id for record in self._state.members()
        )
        gone = self._members.difference(members)
        self._members = members
        if gone:
            self.wake()

    def step(self) -> None:
        """Scan once."""
        try:
            self._scan()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _scan(self) -> None:
        members = tuple(record.member_id for record in self._state.members())
        local_id = self._membership.local_member.member_id
        if local_id not in members:
            return
        for row in self._jobs.queue_index():
            if row.coordinator == local_id:
                self._enqueue_missing(row)
            elif row.coordinator not in members:
                if preferred_member(row.request_key, members) == local_id:
                    self._adopt(row)
        self._resolve_missing_workers(members)

    def _enqueue_missing(self, row: QueueIndexEntry) -> None:
        """Queue a job of the local member that is missing from the queue."""
        if self._queue.find(row.request_key) is not None:
            return
        stored = self._read_queued(row)
        if stored is not None:
            payload = self._jobs.read_payload(row.request_key)
            self._queue.add(stored, payload)

    def _adopt(self, row: QueueIndexEntry) -> None:
        stored = self._read_queued(row)
        if stored is None:
            return
        adopted = self._jobs.adopt(
            stored,
            self._membership.local_member.member_id,
            deadline_in(ADOPT_TIMEOUT_MS),
        )
        if adopted is None:
            return
        self.log.job_adopted(row.request_key, row.coordinator)
        payload = self._jobs.read_payload(row.request_key)
        self._queue.add(adopted, payload)
        self._queue.wake()

    def _read_queued(self, row: QueueIndexEntry) -> StoredJob | None:
        stored = self._jobs.read(row.request_key)
        if stored is None or stored.job.state is not JobState.QUEUED:
            return None
        if stored.job.coordinator != row.coordinator:
            return None
        return stored

    def _resolve_missing_workers(self, members: tuple[str, ...]) -> None:
        """Requeue or finish jobs placed on workers that left the list.

        Without a live owner no member renews the leases there, and workers
        stop tasks whose leases expire. The jobs of a worker that has an owner
        are left to the owner even if the list omits the worker, because the
        list may be wrong.
        """
        local_id = self._membership.local_member.member_id
        missing = {
            worker
            for worker in self._jobs.placed_workers()
            if not self._membership.is_worker_listed(worker)
            and self._state.owner_of(worker) not in members
        }
        for worker in tuple(self._missing_until_ms):
            if worker not in missing:
                self._missing_until_ms.pop(worker)
        for gone in missing:
            until_ms = self._missing_until_ms.setdefault(
                gone, deadline_in(WORKER_GONE_AFTER_MS)
            )
            chosen = preferred_member(gone, members) == local_id
            if chosen and until_ms <= deadline_in(0):
                self._resolve_missing_worker(gone)

    def _resolve_missing_worker(self, worker: str) -> None:
        local_id = self._membership.local_member.member_id
        for stored in self._jobs.placed_on(worker):
            if stored.job.may_run_again:
                requeued = stored.job.requeue(local_id, '', evicted=False)
                self._jobs.requeue(stored, requeued, self._queue.add_requeued)
            else:
                job_result = failure_result(OUTCOME_UNKNOWN)
                self._jobs.finish(stored, job_result, _ignore)


def _ignore(stored: StoredJob) -> None:
    """Do nothing after a record is finished."""
