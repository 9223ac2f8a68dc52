"""Threads of a leader that follow the jobs and their cancellations.

Each follows a prefix of its own. A cancellation is due within seconds, and to
read all jobs again may take longer than that on a narrow link.
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
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.jobs.job import create_job
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import Change, Entry, Store

MAX_INDIVIDUAL_READS: Final = 50
"""Jobs that are read one by one after the history was dropped: more take longer
than a page of all jobs, when each call waits for a slow store."""


class JobWatch(LeaderWatch):
    """Takes up jobs as entry instances store them."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        store: Store,
        job_store: LeaderJobStore,
    ) -> None:
        """Read from a store."""
        super().__init__(scheduler_service, 'jobs')
        self._store = store
        self._book = job_store
        self._reading = PrefixScan(store, SPEC_PREFIX)

    def watch_changes(self, revision: int) -> None:
        """Report jobs that are new."""
        for batch in self._store.watch(SPEC_PREFIX, revision):
            self._note_entries(
                tuple(each.entry for each in batch.changes if each.entry)
            )
            self.advance_revision(batch.revision)
            if self.scheduler_service.leadership.is_over():
                break

    def read_all(self) -> int:
        """Report the jobs that are not known yet.

        Each of them stands among the marks of jobs that have not begun, which
        are small. Read apart are a few; many are found by reading all jobs.
        """
        marks = PrefixScan(self._store, WAITING_PREFIX)
        unknown = [
            job_id
            for page in self._seen_pages(marks)
            for job_id in map(waiting_job_id, page)
            if not self._is_known(job_id)
        ]
        if len(unknown) > MAX_INDIVIDUAL_READS:
            return self._read_whole()
        for job_id in unknown:
            entry = self._store.read(job_key(job_id))
            self.mark_read()
            self._note_entries((entry,) if entry else ())
        return marks.revision

    def _read_whole(self) -> int:
        """Report all jobs; known ones stay as they are.

        Goes on where the last read broke.
        """
        for page in self._seen_pages(self._reading):
            self._note_entries(page)
            if self.scheduler_service.leadership.is_over():
                break
        revision = self._reading.revision
        self._reading = PrefixScan(self._store, SPEC_PREFIX)
        return revision

    def _seen_pages(self, reading: PrefixScan) -> Iterator[tuple[Entry, ...]]:
        for page in reading.pages():
            self.mark_read()
            yield page

    def _is_known(self, job_id: str) -> bool:
        is_live = job_id in self.scheduler_service.scheduler.jobs
        return is_live or self._book.has_ended(job_id)

    def _note_entries(self, entries: tuple[Entry, ...]) -> None:
        self.scheduler_service.leadership.wait_until_exclusive()
        if self.scheduler_service.leadership.is_over():
            return
        for entry in entries:
            spec = self._book.decode_spec(entry)
            if spec is None or self._book.has_ended(spec.job_id):
                continue
            self.scheduler_service.add_job(create_job(spec, is_inherited=False))


class CancellationWatch(LeaderWatch):
    """Cancels jobs as entry instances store their cancellations."""

    def __init__(
        self, scheduler_service: SchedulerService, store: Store
    ) -> None:
        """Read from a store."""
        super().__init__(scheduler_service, 'cancellations')
        self._store = store

    def watch_changes(self, revision: int) -> None:
        """Report cancellations that are new, and those that were deleted."""
        for batch in self._store.watch(CANCELLATION_PREFIX, revision):
            for change in batch.changes:
                self._note_change(change)
            self.advance_revision(batch.revision)
            if self.scheduler_service.leadership.is_over():
                break

    def read_all(self) -> int:
        """Report all cancellations; those that are known change nothing."""
        reading = PrefixScan(self._store, CANCELLATION_PREFIX)
        for page in reading.pages():
            self.mark_read()
            for entry in page:
                self.scheduler_service.cancel(cancelled_job_id(entry.key))
        return reading.revision

    def _note_change(self, change: Change) -> None:
        job_id = cancelled_job_id(change.key)
        if change.entry is None:
            self.scheduler_service.remove_cancellation(job_id)
        else:
            self.scheduler_service.cancel(job_id)
