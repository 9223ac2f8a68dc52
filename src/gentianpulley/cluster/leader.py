"""Leading: the threads of one reign, from loading to handing over.

The order matters: the leader's key first, then all jobs and workers, then a
fence at each worker, which returns what runs there. A worker's id is on the
roster in the store before the first order goes to it, so that a successor
knows whom to fence.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.directory import WorkerDirectory, WorkerNews
from gentianpulley.cluster.job_book import JOB_PREFIX, DeposedError, JobBook
from gentianpulley.cluster.link import WorkerFacts, WorkerLinks
from gentianpulley.cluster.office import Office, Tenure
from gentianpulley.cluster.scheduler import Reign, create_scheduler
from gentianpulley.cluster.timing import Timing
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import GentianpulleyError, StoreError
from gentianpulley.jobs.job import create_job
from gentianpulley.logs import EventLog
from gentianpulley.store import ChangeBatch, Guard, Store

PLAN_GAP_S: Final = 0.015
"""Shortest time between two plans, so that ends that come together share
one."""

IDLE_PLAN_S: Final = 0.2
"""Longest time between two plans: lapses and due times need no event."""

SAVE_GAP_S: Final = 0.025
"""Shortest time between two writes of records: ends share a call. A look that
comes before the ends of the one before are written returns at once, for the
same ends, so this stays below the gap between looks."""

IDLE_SAVE_S: Final = 0.5
"""Longest time between two writes: what begins is written without an event."""

RETRY_S: Final = 0.2
"""Pause after a failed call to the store."""

CLOSING_S: Final = 0.3
"""How long a leader that hands over waits for answers under way."""


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """What a leader works with; `status_ms` is how long ends are kept."""

    store: Store
    directory: WorkerDirectory
    links: WorkerLinks
    timing: Timing
    status_ms: int
    counters: Counters
    log: EventLog


class Leader:
    """One reign of this instance."""

    def __init__(
        self, parts: LeaderParts, guard: Guard, tenure: Tenure
    ) -> None:
        """Prepare; `guard` is the leader's key at the reign's token."""
        self._parts = parts
        self._log = parts.log
        self._tenure = tenure
        self._book = JobBook(parts.store, guard, parts.log)
        self._token = guard.revision
        self._roster: frozenset[str] = frozenset()
        self._threads: list[threading.Thread] = []
        self._office: Office | None = None
        self._closed_domains: frozenset[str] = frozenset()

    def open(self) -> None:
        """Load everything, fence the workers and start to schedule.

        Raises `StoreError` when something could not be read.
        """
        since_ms = now_ms()
        former = self._book.load_roster()
        page = self._parts.directory.read()
        jobs, revision = self._book.load()
        listed = frozenset(facts.worker_id for facts in page.facts)
        reign = Reign(
            self._token, since_ms, former | listed, self._parts.timing
        )
        office = Office(
            create_scheduler(reign, self._log),
            self._tenure,
            self._parts.counters,
            self._log,
        )
        office.scheduler.closed_domains = self._closed_domains
        self._office = office
        for job in jobs:
            office.add_job(job)
        self._roster = former
        self._take_workers(office, page.facts)
        self._log.leader_state(
            'leads', self._token, f'{len(jobs)} jobs {len(listed)} workers'
        )
        self._start(office, page.revision, revision)

    def close_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains from now on."""
        self._closed_domains = domains
        office = self._office
        if office is not None:
            with office.lock:
                office.scheduler.closed_domains = domains
            office.work_came.set()

    def hand_over(self) -> None:
        """Write what is known and let answers under way arrive."""
        office = self._office
        self._tenure.resign('handed over')
        if office is None:
            return
        office.work_came.set()
        office.ends_came.set()
        threading.Event().wait(CLOSING_S)
        try:
            self._save(office)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
        self.close()

    def close(self) -> None:
        """End all threads; orders under way are fenced by the successor."""
        office = self._office
        if office is not None:
            office.resign('closed')
            office.close()
        self._log.leader_state('ended', self._token, self._tenure.reason)

    def _start(
        self, office: Office, directory_revision: int, job_revision: int
    ) -> None:
        loops: tuple[tuple[str, Callable[[], None]], ...] = (
            ('plan', lambda: self._plan_loop(office)),
            ('save', lambda: self._save_loop(office)),
            ('jobs', lambda: self._watch_jobs(office, job_revision)),
            (
                'workers',
                lambda: self._watch_workers(office, directory_revision),
            ),
        )
        for name, target in loops:
            thread = threading.Thread(target=target, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    # Workers.

    def _take_workers(
        self, office: Office, all_facts: tuple[WorkerFacts, ...]
    ) -> None:
        """Put workers on the roster, then open sessions with them."""
        ids = frozenset(facts.worker_id for facts in all_facts)
        if not ids <= self._roster:
            self._book.save_roster(self._roster | ids)
            self._roster |= ids
        for facts in all_facts:
            self._take_worker(office, facts)

    def _take_worker(self, office: Office, facts: WorkerFacts) -> None:
        with office.lock:
            known = office.scheduler.workers.get(facts.worker_id)
            orders = office.scheduler.update_worker(facts, now_ms())
            worker = office.scheduler.workers[facts.worker_id]
        if worker is not known:
            link = self._parts.links.connect(facts)
            session = open_session(office, worker, link)
            office.attach(facts.worker_id, session)
        office.dispatch(orders)
        office.work_came.set()

    def _watch_workers(self, office: Office, revision: int) -> None:
        while not self._tenure.is_over():
            try:
                for batch in self._parts.directory.watch(revision):
                    self._note_news(office, batch.news)
                    revision = max(revision, batch.revision)
                    if self._tenure.is_over():
                        break
            except DeposedError as exc:
                office.resign(exc.text)
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                self._pause()
                revision = self._reread_workers(office, revision)

    def _note_news(self, office: Office, batch: tuple[WorkerNews, ...]) -> None:
        present = tuple(news.facts for news in batch if news.facts is not None)
        self._take_workers(office, present)
        for news in batch:
            if news.facts is None:
                with office.lock:
                    office.scheduler.unlist_worker(news.worker_id, now_ms())

    def _reread_workers(self, office: Office, revision: int) -> int:
        """Read the directory anew after a watch broke."""
        try:
            page = self._parts.directory.read()
            self._take_workers(office, page.facts)
        except DeposedError as exc:
            office.resign(exc.text)
            return revision
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return revision
        present = {facts.worker_id for facts in page.facts}
        with office.lock:
            for worker_id in tuple(office.scheduler.workers):
                if worker_id not in present:
                    office.scheduler.unlist_worker(worker_id, now_ms())
        return page.revision

    # Jobs.

    def _watch_jobs(self, office: Office, revision: int) -> None:
        while not self._tenure.is_over():
            try:
                for batch in self._parts.store.watch(JOB_PREFIX, revision):
                    self._note_jobs(office, batch)
                    revision = max(revision, batch.revision)
                    if self._tenure.is_over():
                        break
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                self._pause()
                revision = self._reread_jobs(office, revision)

    def _note_jobs(self, office: Office, batch: ChangeBatch) -> None:
        for change in batch.changes:
            event = self._book.event_of(change.entry) if change.entry else None
            if event is None:
                continue
            if event.spec is None:
                self._log.job_cancelled(event.job_id)
                office.cancel(event.job_id)
            else:
                office.add_job(create_job(event.spec, is_inherited=False))

    def _reread_jobs(self, office: Office, revision: int) -> int:
        """Read all jobs anew after a watch broke; known ones stay."""
        try:
            snapshot = self._parts.store.read_prefix(JOB_PREFIX)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return revision
        for entry in snapshot.entries:
            event = self._book.event_of(entry)
            if event is not None and event.spec is not None:
                if not self._book.has_ended(event.job_id):
                    office.add_job(create_job(event.spec, is_inherited=False))
            elif event is not None:
                office.cancel(event.job_id)
        return snapshot.revision

    # Planning and writing.

    def _plan_loop(self, office: Office) -> None:
        while not self._tenure.is_over():
            office.work_came.wait(IDLE_PLAN_S)
            office.work_came.clear()
            self._guarded(office.plan)
            self._close_gone(office)
            threading.Event().wait(PLAN_GAP_S)

    def _close_gone(self, office: Office) -> None:
        for worker_id in office.attached() - office.scheduler.workers.keys():
            office.detach(worker_id)

    def _save_loop(self, office: Office) -> None:
        while not self._tenure.is_over():
            office.ends_came.wait(IDLE_SAVE_S)
            office.ends_came.clear()
            try:
                self._save(office)
                self._shrink_roster(office)
                kept_ms = self._parts.status_ms
                self._book.forget_ended(now_ms() - kept_ms)
            except DeposedError as exc:
                office.resign(exc.text)
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                office.ends_came.set()
                self._pause()
            threading.Event().wait(SAVE_GAP_S)

    def _save(self, office: Office) -> None:
        with office.lock:
            number = office.scheduler.change_number
            changed = office.scheduler.changed_jobs()
        try:
            self._book.save(changed)
        except StoreError:
            with office.lock:
                for job in changed:
                    job.is_changed = True
            raise
        with office.lock:
            office.scheduler.note_saved(number)

    def _shrink_roster(self, office: Office) -> None:
        """Take workers off the roster once nothing can run there."""
        with office.lock:
            if not office.scheduler.is_handover_over(now_ms()):
                return
            known = frozenset(office.scheduler.workers)
        if known < self._roster:
            self._book.save_roster(known)
            self._roster = known

    def _guarded(self, step: Callable[[], None]) -> None:
        """Run a step; a fault in it is logged and must not end the thread."""
        try:
            step()
        except GentianpulleyError as exc:
            self._log.internal_fault(exc.text)
        except Exception as fault:
            self._log.internal_fault(repr(fault))

    def _pause(self) -> None:
        threading.Event().wait(RETRY_S)


def tenure_end_ms(sent_ms: int, timing: Timing) -> int:
    """Return until when a leader may act after a renewal sent then."""
    return sent_ms + timing.tenure_ms


def status_kept_ms(status_s: int) -> int:
    """Return how long the state of an ended job is kept."""
    return status_s * MS_PER_SECOND
