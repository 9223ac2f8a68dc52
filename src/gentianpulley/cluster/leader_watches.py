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
    WorkerNews,
)
from gentianpulley.cluster.leader_notes import LeaderNotes
from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.link import WorkerFacts, WorkerLinks
from gentianpulley.cluster.office import Office
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreCompactedError, StoreError

RETRY_S: Final = 0.2
"""Pause after a failed call to the store."""

NEWS_GAP_S: Final = 0.05
"""Pause between two reads of what is new in the directory: hundreds of workers
register again each second, and what they tell may be so much later."""

ROSTER_SAVE_MS: Final = 1000
"""Shortest time between two writes of a roster that shrinks. A leader that
dies leaves its successor as much to wait for again."""


class LeaderWatch(ABC):
    """Follows one part of the store until the tenure is over."""

    def __init__(self, office: Office, name: str) -> None:
        """Report to an office; `name` is that of what is followed."""
        self.office = office
        self._name = name
        self._revision = 0
        self._seen_ms = now_ms()

    def run(self, revision: int) -> None:
        """Follow from a revision, and from what was read after a loss."""
        self._revision = revision
        while not self.office.tenure.is_over():
            try:
                self._follow_on()
            except Exception as fault:
                # Without this thread the leader would see nothing more.
                self.office.log.internal_fault(repr(fault))
                Event().wait(RETRY_S)

    def note_seen(self) -> None:
        """Note that a part of what is stored was just seen."""
        self._seen_ms = now_ms()

    def note_followed(self, revision: int) -> None:
        """Note that all changes up to a revision were taken up."""
        self._revision = max(self._revision, revision)
        self.note_seen()

    @abstractmethod
    def follow(self, revision: int) -> None:
        """Report changes; raises `StoreError` when the watch breaks."""

    @abstractmethod
    def read_all(self) -> int:
        """Report everything that is there; returns the revision."""

    def _follow_on(self) -> None:
        """Follow until the watch breaks; read all once history is gone."""
        try:
            self.follow(self._revision)
        except DeposedError as exc:
            self.office.resign(exc.text)
        except StoreCompactedError as gone:
            self._note_trouble(gone)
            Event().wait(RETRY_S)
            self._read_again()
        except StoreError as broken:
            self._note_trouble(broken)
            Event().wait(RETRY_S)

    def _note_trouble(self, exc: StoreError) -> None:
        """Resign once nothing was seen for as long as a succession takes.

        That time counts only while the store answers renewals: a store that
        is down is down for every successor as well.
        """
        self.office.log.store_trouble(exc.text)
        at_ms = now_ms()
        if not self.office.tenure.is_certain(at_ms):
            self._seen_ms = at_ms
        blind_ms = at_ms - self._seen_ms
        if blind_ms > self.office.reign.timing.handover_ms:
            self.office.give_up(f'{self._name} not seen for {blind_ms} ms')

    def _read_again(self) -> None:
        try:
            self.note_followed(self.read_all())
        except DeposedError as exc:
            self.office.resign(exc.text)
        except StoreError as exc:
            self._note_trouble(exc)


class WorkerWatch(LeaderWatch):
    """Opens sessions with the workers of the directory.

    A worker stands on the roster in the store before its session opens, so
    that a successor knows whom to fence.
    """

    def __init__(
        self,
        office: Office,
        directory: WorkerDirectory,
        links: WorkerLinks,
        notes: LeaderNotes,
    ) -> None:
        """Begin with the roster that former leaders left."""
        super().__init__(office, 'workers')
        self._directory = directory
        self._links = links
        self._notes = notes
        self._roster_lock = Lock()
        self._next_roster_ms = 0

    def follow(self, revision: int) -> None:
        """Report workers that come, change and go."""
        for batch in self._directory.watch(revision):
            self._note_news(batch.news)
            self.note_followed(batch.revision)
            if self.office.tenure.is_over():
                break
            Event().wait(NEWS_GAP_S)

    def read_all(self) -> int:
        """Take all workers of the directory; the others are unlisted."""
        page = self._directory.read()
        self.take(page)
        present = {facts.worker_id for facts in page.facts}
        with self.office.lock:
            scheduler = self.office.scheduler
            for worker_id in scheduler.workers.keys() - present:
                scheduler.unlist_worker(worker_id, now_ms())
        return page.revision

    def take(self, page: DirectoryPage) -> None:
        """Open sessions with all workers of a page."""
        with self._roster_lock:
            self._note_used(page.facts)
            for facts in page.facts:
                self._take_one(facts)

    def shrink_roster(self) -> None:
        """Write how long runs may go on unseen at workers that are gone.

        Those where nothing can run any more are left out.
        """
        at_ms = now_ms()
        if at_ms < self._next_roster_ms:
            return
        with self._roster_lock:
            self._save_roster(frozenset())
        self._next_roster_ms = at_ms + ROSTER_SAVE_MS

    def leave_roster(self) -> None:
        """Write what the successor of a leader that leaves has to expect."""
        with self._roster_lock:
            former = self._notes.roster.worker_ids
            with self.office.lock:
                scheduler = self.office.scheduler
                roster = scheduler.last_roster(former, now_ms())
            self._notes.save_roster(roster)

    def _save_roster(self, used: frozenset[str]) -> None:
        """Write the roster, with these among the workers in use."""
        former = self._notes.roster.worker_ids
        with self.office.lock:
            roster = self.office.scheduler.roster(former, used, now_ms())
        self._notes.save_roster(roster)

    def _note_news(self, batch: tuple[WorkerNews, ...]) -> None:
        """Take the news in their order: who has left may be back by now."""
        with self._roster_lock:
            self._note_used([news.facts for news in batch if news.facts])
            for news in batch:
                if news.facts is None:
                    self._unlist(news.worker_id)
                else:
                    self._take_one(news.facts)

    def _note_used(self, all_facts: Iterable[WorkerFacts]) -> None:
        """Let the stored roster show these workers as used."""
        ids = self._to_expect(all_facts)
        if not self._notes.are_used(ids):
            self._save_roster(ids)

    def _unlist(self, worker_id: str) -> None:
        with self.office.lock:
            self.office.scheduler.unlist_worker(worker_id, now_ms())

    def _to_expect(self, all_facts: Iterable[WorkerFacts]) -> frozenset[str]:
        """Return the workers on which something may run from now on."""
        with self.office.lock:
            scheduler = self.office.scheduler
            return frozenset(
                facts.worker_id
                for facts in all_facts
                if not scheduler.is_vacated(facts)
            )

    def _take_one(self, facts: WorkerFacts) -> None:
        office = self.office
        with office.lock:
            known = office.scheduler.workers.get(facts.worker_id)
            orders = office.scheduler.update_worker(facts, now_ms())
            worker = office.scheduler.workers[facts.worker_id]
        if worker is not known:
            link = self._links.connect(facts)
            session = open_session(office, worker, link)
            office.attach(facts.worker_id, session)
        office.dispatch(orders)
        office.work_came.set()
