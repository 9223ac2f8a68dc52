"""Threads of a leader that follow parts of the store, and the directory.

A watch that broke goes on where it was. Once the store has dropped that
history, everything is read anew: what is known already stays, so reading twice
does no harm. A leader that can do neither for long, while the store answers the
renewals of its key, leaves the office to another.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from threading import Event, Lock
from typing import Final

from gentianpulley.cluster.directory import (
    DirectoryPage,
    WorkerDirectory,
    RegistrationChange,
)
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.worker_protocol import (
    WorkerRegistration,
    WorkerClientFactory,
)
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreCompactedError, StoreError

RETRY_DELAY_S: Final = 0.2
"""Pause after a failed call to the store."""

DIRECTORY_READ_PAUSE_S: Final = 0.05
"""Pause between two reads of what is new in the directory: hundreds of workers
register again each second, and what they tell may be so much later."""

MIN_ROSTER_SAVE_INTERVAL_MS: Final = 1000
"""Shortest time between two writes of a roster that shrinks. A leader that
dies leaves its successor as much to wait for again."""


class LeaderWatch(ABC):
    """Follows one part of the store until the tenure is over."""

    def __init__(self, scheduler_service: SchedulerService, name: str) -> None:
        """Report to an office; `name` is that of what is followed."""
        self.scheduler_service = scheduler_service
        self._name = name
        self._revision = 0
        self._seen_ms = now_ms()

    def run(self, revision: int) -> None:
        """Follow from a revision, and from what was read after a loss."""
        self._revision = revision
        while not self.scheduler_service.leadership.is_over():
            try:
                self._follow_on()
            except Exception as fault:
                # Without this thread the leader would see nothing more.
                self.scheduler_service.log.internal_fault(repr(fault))
                Event().wait(RETRY_DELAY_S)

    def mark_read(self) -> None:
        """Note that a part of what is stored was just seen."""
        self._seen_ms = now_ms()

    def advance_revision(self, revision: int) -> None:
        """Note that all changes up to a revision were taken up."""
        self._revision = max(self._revision, revision)
        self.mark_read()

    @abstractmethod
    def watch_changes(self, revision: int) -> None:
        """Report changes; raises `StoreError` when the watch breaks."""

    @abstractmethod
    def read_all(self) -> int:
        """Report everything that is there; returns the revision."""

    def _follow_on(self) -> None:
        """Follow until the watch breaks; read all once history is gone."""
        try:
            self.watch_changes(self._revision)
        except DeposedError as exc:
            self.scheduler_service.resign(exc.text)
        except StoreCompactedError as gone:
            self._note_trouble(gone)
            Event().wait(RETRY_DELAY_S)
            self._read_again()
        except StoreError as broken:
            self._note_trouble(broken)
            Event().wait(RETRY_DELAY_S)

    def _note_trouble(self, exc: StoreError) -> None:
        """Resign once nothing was seen for as long as a succession takes.

        That time counts only while the store answers renewals: a store that
        is down is down for every successor as well.
        """
        self.scheduler_service.log.store_trouble(exc.text)
        at_ms = now_ms()
        if not self.scheduler_service.leadership.is_exclusive(at_ms):
            self._seen_ms = at_ms
        blind_ms = at_ms - self._seen_ms
        if blind_ms > self.scheduler_service.term.timing.handover_ms:
            self.scheduler_service.resign_and_back_off(
                f'{self._name} not seen for {blind_ms} ms'
            )

    def _read_again(self) -> None:
        try:
            self.advance_revision(self.read_all())
        except DeposedError as exc:
            self.scheduler_service.resign(exc.text)
        except StoreError as exc:
            self._note_trouble(exc)


class WorkerWatch(LeaderWatch):
    """Opens sessions with the workers of the directory.

    A worker stands on the roster in the store before its session opens, so
    that a successor knows whom to fence.
    """

    def __init__(
        self,
        scheduler_service: SchedulerService,
        directory: WorkerDirectory,
        links: WorkerClientFactory,
        handover_state: HandoverState,
    ) -> None:
        """Begin with the roster that former leaders left."""
        super().__init__(scheduler_service, 'workers')
        self._directory = directory
        self._links = links
        self._notes = handover_state
        self._roster_lock = Lock()
        self._next_roster_ms = 0

    def watch_changes(self, revision: int) -> None:
        """Report workers that come, change and go."""
        for batch in self._directory.watch(revision):
            self._note_news(batch.changes)
            self.advance_revision(batch.revision)
            if self.scheduler_service.leadership.is_over():
                break
            Event().wait(DIRECTORY_READ_PAUSE_S)

    def read_all(self) -> int:
        """Take all workers of the directory; the others are unlisted."""
        page = self._directory.read()
        self.open_sessions(page)
        present = {facts.worker_id for facts in page.registrations}
        with self.scheduler_service.lock:
            scheduler = self.scheduler_service.scheduler
            for worker_id in scheduler.workers.keys() - present:
                scheduler.mark_deregistered(worker_id, now_ms())
        return page.revision

    def open_sessions(self, page: DirectoryPage) -> None:
        """Open sessions with all workers of a page."""
        with self._roster_lock:
            self._note_used(page.registrations)
            for facts in page.registrations:
                self._take_one(facts)

    def prune_roster(self) -> None:
        """Write how long runs may go on unseen at workers that are gone.

        Those where nothing can run any more are left out.
        """
        at_ms = now_ms()
        if at_ms < self._next_roster_ms:
            return
        with self._roster_lock:
            self._save_roster(frozenset())
        self._next_roster_ms = at_ms + MIN_ROSTER_SAVE_INTERVAL_MS

    def save_final_roster(self) -> None:
        """Write what the successor of a leader that leaves has to expect."""
        with self._roster_lock:
            former = self._notes.roster.worker_ids
            with self.scheduler_service.lock:
                scheduler = self.scheduler_service.scheduler
                roster = scheduler.build_final_roster(former, now_ms())
            self._notes.save_roster(roster)

    def _save_roster(self, used: frozenset[str]) -> None:
        """Write the roster, with these among the workers in use."""
        former = self._notes.roster.worker_ids
        with self.scheduler_service.lock:
            roster = self.scheduler_service.scheduler.build_roster(
                former, used, now_ms()
            )
        self._notes.save_roster(roster)

    def _note_news(self, batch: tuple[RegistrationChange, ...]) -> None:
        """Take the news in their order: who has left may be back by now."""
        with self._roster_lock:
            self._note_used(
                [news.registration for news in batch if news.registration]
            )
            for news in batch:
                if news.registration is None:
                    self._unlist(news.worker_id)
                else:
                    self._take_one(news.registration)

    def _note_used(self, all_facts: Iterable[WorkerRegistration]) -> None:
        """Let the stored roster show these workers as used."""
        ids = self._to_expect(all_facts)
        if not self._notes.has_marked_used(ids):
            self._save_roster(ids)

    def _unlist(self, worker_id: str) -> None:
        with self.scheduler_service.lock:
            self.scheduler_service.scheduler.mark_deregistered(
                worker_id, now_ms()
            )

    def _to_expect(
        self, all_facts: Iterable[WorkerRegistration]
    ) -> frozenset[str]:
        """Return the workers on which something may run from now on."""
        with self.scheduler_service.lock:
            scheduler = self.scheduler_service.scheduler
            return frozenset(
                facts.worker_id
                for facts in all_facts
                if not scheduler.is_drained(facts)
            )

    def _take_one(self, facts: WorkerRegistration) -> None:
        office = self.scheduler_service
        with office.lock:
            known = office.scheduler.workers.get(facts.worker_id)
            orders = office.scheduler.update_worker(facts, now_ms())
            worker = office.scheduler.workers[facts.worker_id]
        if worker is not known:
            link = self._links.connect(facts)
            session = open_session(office, worker, link)
            office.attach(facts.worker_id, session)
        office.dispatch(orders)
        office.plan_requested.set()
