"""Threads of a leader that watch the jobs and their cancellations.

Each thread watches its own prefix, because a cancellation has to take effect
within seconds, and re-reading all jobs may take longer than that on a slow
link.
"""

from collections.abc import Iterator
from typing import Final

from gentianpulley.cluster.job_storage import (
    CANCELLATION_PREFIX,
    SPEC_PREFIX,
    WAITING_PREFIX,
    LeaderJobStore,
    cancelled_job_id,
    job_key,
    waiting_job_id,
)
from gentianpulley.cluster.leader_watches import LeaderWatch
from gentianpulley.cluster.read_freshness import Reread
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.deadline import now_ms
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import Change, ChangeBatch, Entry, Store

MAX_INDIVIDUAL_READS: Final = 50
"""Maximum number of jobs that are read one by one after the history was
compacted. With a slow store, more such calls take longer than a page of all
jobs."""


class JobWatch(LeaderWatch):
    """Adds jobs to the scheduler when entry instances store them."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        store: Store,
        job_store: LeaderJobStore,
    ) -> None:
        """Read from a store."""
        super().__init__(scheduler_service, 'jobs')
        self._store = store
        self._job_store = job_store
        self._spec_scan = PrefixScan(store, SPEC_PREFIX)

    def watch_changes(self, revision: int) -> None:
        """Report new jobs."""
        for batch in self._store.watch(SPEC_PREFIX, revision):
            self._add_jobs(
                tuple(each.entry for each in batch.changes if each.entry)
            )
            self.advance_revision(batch.revision)
            if self.scheduler_service.leadership.is_over():
                break

    def read_all(self) -> int:
        """Report the jobs that the leader does not have yet.

        Each of them has a waiting key, as a job that has not started, and these
        keys are small. A few new jobs are read one by one; if there are many,
        all jobs are read.
        """
        waiting_scan = PrefixScan(self._store, WAITING_PREFIX)
        new_ids = [
            job_id
            for page in self._read_pages(waiting_scan)
            for job_id in map(waiting_job_id, page)
            if not self._is_existing(job_id)
        ]
        if len(new_ids) > MAX_INDIVIDUAL_READS:
            return self._read_all_specs()
        for job_id in new_ids:
            entry = self._store.read(job_key(job_id))
            self.mark_read()
            self._add_jobs((entry,) if entry else ())
        return waiting_scan.revision

    def _read_all_specs(self) -> int:
        """Report all jobs; those that the leader has stay as they are.

        Resumes where the last read failed.
        """
        for page in self._read_pages(self._spec_scan):
            self._add_jobs(page)
            if self.scheduler_service.leadership.is_over():
                break
        revision = self._spec_scan.revision
        self._spec_scan = PrefixScan(self._store, SPEC_PREFIX)
        return revision

    def _read_pages(self, scan: PrefixScan) -> Iterator[tuple[Entry, ...]]:
        for page in scan.pages():
            self.mark_read()
            yield page

    def _is_existing(self, job_id: str) -> bool:
        is_live = job_id in self.scheduler_service.scheduler.jobs
        return is_live or self._job_store.has_ended(job_id)

    def _add_jobs(self, entries: tuple[Entry, ...]) -> None:
        self.scheduler_service.leadership.wait_until_exclusive()
        if self.scheduler_service.leadership.is_over():
            return
        for entry in entries:
            spec = self._job_store.decode_spec(entry)
            if spec is None or self._job_store.has_ended(spec.job_id):
                continue
            job = self._job_store.create_job(spec, is_inherited=False)
            if job is not None:
                self.scheduler_service.add_job(job)


class CancellationWatch(LeaderWatch):
    """Cancels jobs as entry instances store their cancellations."""

    def __init__(
        self, scheduler_service: SchedulerService, store: Store
    ) -> None:
        """Read from a store."""
        super().__init__(scheduler_service, 'cancellations')
        self._store = store

    def watch_changes(self, revision: int) -> None:
        """Report new cancellations and deleted ones.

        A leader starts nothing before it knows those stored so far, after a
        load or a break of the watch. An idle watch would report that only after
        its wait.
        """
        known = self._store.read_changes(CANCELLATION_PREFIX, revision)
        self._apply_batch(known)
        self.scheduler_service.mark_reread(Reread.CANCELLATIONS)
        for batch in self._store.watch(CANCELLATION_PREFIX, known.revision):
            self._apply_batch(batch)
            if self.scheduler_service.leadership.is_over():
                break

    def read_all(self) -> int:
        """Report all cancellations; those applied before have no effect."""
        began_ms = now_ms()
        scan = PrefixScan(self._store, CANCELLATION_PREFIX)
        for page in scan.pages():
            self.mark_read()
            for entry in page:
                self.scheduler_service.cancel(cancelled_job_id(entry.key))
        self.scheduler_service.read_freshness.mark_cancellations(began_ms)
        return scan.revision

    def _apply_batch(self, batch: ChangeBatch) -> None:
        for change in batch.changes:
            self._apply_change(change)
        self.scheduler_service.read_freshness.mark_cancellations(now_ms())
        self.advance_revision(batch.revision)

    def _apply_change(self, change: Change) -> None:
        job_id = cancelled_job_id(change.key)
        if change.entry is None:
            self.scheduler_service.remove_cancellation(job_id)
        else:
            self.scheduler_service.cancel(job_id)
