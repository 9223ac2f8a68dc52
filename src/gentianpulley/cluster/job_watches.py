"""Threads of a leader that follow the jobs and their cancellations.

Each follows a prefix of its own. A cancellation is due within seconds, and to
read all jobs again may take longer than that on a narrow link.
"""

from collections.abc import Iterator
from typing import Final

from gentianpulley.cluster.job_book import (
    CANCEL_PREFIX,
    SPEC_PREFIX,
    WAITING_PREFIX,
    JobBook,
    cancelled_id,
    job_key,
    marked_id,
)
from gentianpulley.cluster.leader_watches import LeaderWatch
from gentianpulley.cluster.office import Office
from gentianpulley.jobs.job import create_job
from gentianpulley.prefix_read import PrefixRead
from gentianpulley.store import Change, Entry, Store

MOST_READ_APART: Final = 50
"""Jobs that are read one by one after the history was dropped: more take longer
than a page of all jobs, when each call waits for a slow store."""


class JobWatch(LeaderWatch):
    """Takes up jobs as entry instances store them."""

    def __init__(self, office: Office, store: Store, book: JobBook) -> None:
        """Read from a store."""
        super().__init__(office, 'jobs')
        self._store = store
        self._book = book
        self._reading = PrefixRead(store, SPEC_PREFIX)

    def follow(self, revision: int) -> None:
        """Report jobs that are new."""
        for batch in self._store.watch(SPEC_PREFIX, revision):
            self._note_entries(
                tuple(each.entry for each in batch.changes if each.entry)
            )
            self.note_followed(batch.revision)
            if self.office.tenure.is_over():
                break

    def read_all(self) -> int:
        """Report the jobs that are not known yet.

        Each of them stands among the marks of jobs that have not begun, which
        are small. Read apart are a few; many are found by reading all jobs.
        """
        marks = PrefixRead(self._store, WAITING_PREFIX)
        unknown = [
            job_id
            for page in self._seen_pages(marks)
            for job_id in map(marked_id, page)
            if not self._is_known(job_id)
        ]
        if len(unknown) > MOST_READ_APART:
            return self._read_whole()
        for job_id in unknown:
            entry = self._store.read(job_key(job_id))
            self.note_seen()
            self._note_entries((entry,) if entry else ())
        return marks.revision

    def _read_whole(self) -> int:
        """Report all jobs; known ones stay as they are.

        Goes on where the last read broke.
        """
        for page in self._seen_pages(self._reading):
            self._note_entries(page)
            if self.office.tenure.is_over():
                break
        revision = self._reading.revision
        self._reading = PrefixRead(self._store, SPEC_PREFIX)
        return revision

    def _seen_pages(self, reading: PrefixRead) -> Iterator[tuple[Entry, ...]]:
        for page in reading.pages():
            self.note_seen()
            yield page

    def _is_known(self, job_id: str) -> bool:
        is_live = job_id in self.office.scheduler.jobs
        return is_live or self._book.has_ended(job_id)

    def _note_entries(self, entries: tuple[Entry, ...]) -> None:
        self.office.tenure.await_certainty()
        if self.office.tenure.is_over():
            return
        for entry in entries:
            spec = self._book.spec_of(entry)
            if spec is None or self._book.has_ended(spec.job_id):
                continue
            self.office.add_job(create_job(spec, is_inherited=False))


class CancelWatch(LeaderWatch):
    """Cancels jobs as entry instances store their cancellations."""

    def __init__(self, office: Office, store: Store) -> None:
        """Read from a store."""
        super().__init__(office, 'cancellations')
        self._store = store

    def follow(self, revision: int) -> None:
        """Report cancellations that are new, and those that were deleted."""
        for batch in self._store.watch(CANCEL_PREFIX, revision):
            for change in batch.changes:
                self._note_change(change)
            self.note_followed(batch.revision)
            if self.office.tenure.is_over():
                break

    def read_all(self) -> int:
        """Report all cancellations; those that are known change nothing."""
        reading = PrefixRead(self._store, CANCEL_PREFIX)
        for page in reading.pages():
            self.note_seen()
            for entry in page:
                self.office.cancel(cancelled_id(entry.key))
        return reading.revision

    def _note_change(self, change: Change) -> None:
        job_id = cancelled_id(change.key)
        if change.entry is None:
            self.office.forget_cancel(job_id)
        else:
            self.office.cancel(job_id)
