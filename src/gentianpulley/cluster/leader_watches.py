"""Threads of a leader that watch parts of the store, and the directory.

A broken watch resumes where it stopped. If the store has compacted that
history, everything is re-read; entries that are already processed stay as they
are, so reading them twice is harmless. A leader that can do neither for long,
although the store answers the renewals of its key, resigns and backs off.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
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
from gentianpulley.cluster.read_freshness import Reread
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_addresses import WorkerAddresses
from gentianpulley.cluster.timing import FOREVER
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.cluster.worker_suspension import suspend
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreCompactedError, StoreError

RETRY_DELAY_S: Final = 0.2
"""Pause after a failed call to the store."""

DIRECTORY_READ_PAUSE_S: Final = 0.05
"""Pause between two batches of directory changes. Hundreds of workers renew
their registration each second, and the changes may be delayed this long."""


ClaimHandler = Callable[[Worker, WorkerRegistration], None]
"""Asks a worker whose known incarnation a registration contradicts."""


class LeaderWatch(ABC):
    """Watches one part of the store until the leadership is over."""

    def __init__(self, scheduler_service: SchedulerService, name: str) -> None:
        """Report to a scheduler service; `name` is what is watched."""
        self.scheduler_service = scheduler_service
        self._name = name
        self._revision = 0
        self._last_read_ms = now_ms()

    def run(self, revision: int) -> None:
        """Watch from a revision on, re-reading after a loss of history."""
        self._revision = revision
        while not self.scheduler_service.leadership.is_over():
            try:
                self._watch_until_error()
            except Exception as error:
                # Without this thread, the leader would see no more changes.
                self.scheduler_service.log.internal_fault(repr(error))
                Event().wait(RETRY_DELAY_S)

    def mark_read(self) -> None:
        """Record that a part of the stored entries was just read."""
        self._last_read_ms = now_ms()

    def advance_revision(self, revision: int) -> None:
        """Record that all changes up to a revision were processed."""
        self._revision = max(self._revision, revision)
        self.mark_read()

    @abstractmethod
    def watch_changes(self, revision: int) -> None:
        """Report changes; raises `StoreError` if the watch breaks."""

    @abstractmethod
    def read_all(self) -> int:
        """Report everything that is stored; return the revision."""

    def _watch_until_error(self) -> None:
        """Watch until the watch breaks; re-read all if history is lost."""
        try:
            self.watch_changes(self._revision)
        except DeposedError as exc:
            self.scheduler_service.resign(exc.text)
        except StoreCompactedError as compacted:
            self._handle_error(compacted)
            Event().wait(RETRY_DELAY_S)
            self._read_after_compaction()
        except StoreError as interrupted:
            self._handle_error(interrupted)
            Event().wait(RETRY_DELAY_S)

    def _handle_error(self, exc: StoreError) -> None:
        """Resign if nothing was read for as long as a change of leader takes.

        The time counts only while the store answers renewals, because a store
        that is down is down for every other leader as well.
        """
        self.scheduler_service.log.store_trouble(exc.text)
        at_ms = now_ms()
        if not self.scheduler_service.leadership.is_exclusive(at_ms):
            self._last_read_ms = at_ms
        unread_ms = at_ms - self._last_read_ms
        if unread_ms > self.scheduler_service.term.timing.handover_ms:
            self.scheduler_service.resign_and_back_off(
                f'{self._name} not seen for {unread_ms} ms'
            )

    def _read_after_compaction(self) -> None:
        try:
            self.advance_revision(self.read_all())
        except DeposedError as exc:
            self.scheduler_service.resign(exc.text)
        except StoreError as exc:
            self._handle_error(exc)


class WorkerWatch(LeaderWatch):
    """Opens sessions with the workers of the directory.

    A worker is added to the stored roster before its session opens, so that
    the next leader can fence it.
    """

    def __init__(
        self,
        scheduler_service: SchedulerService,
        directory: WorkerDirectory,
        client_factory: WorkerClientFactory,
        handover_state: HandoverState,
    ) -> None:
        """Start with the roster that previous leaders left."""
        super().__init__(scheduler_service, 'workers')
        self._directory = directory
        self._client_factory = client_factory
        self._handover_state = handover_state
        self._roster_lock = Lock()
        self.addresses = WorkerAddresses(handover_state.roster.addresses)
        self.on_claim: ClaimHandler = _ignore_claim

    def watch_changes(self, revision: int) -> None:
        """Report workers that are added, changed or removed.

        A leader that has just loaded starts nothing before it has read the
        directory again. What has changed since its first read may be larger
        than the directory, as workers renew their registration.
        """
        watched_revision = revision
        if self.scheduler_service.read_freshness.is_outdated(Reread.WORKERS):
            watched_revision = self.read_all()
            self.advance_revision(watched_revision)
            self.scheduler_service.mark_reread(Reread.WORKERS)
        for batch in self._directory.watch(watched_revision):
            reported_ms = now_ms()
            self._allow_tokens(batch.revision)
            self._apply_changes(batch.changes)
            self.advance_revision(batch.revision)
            self.scheduler_service.read_freshness.mark_workers(reported_ms)
            if self.scheduler_service.leadership.is_over():
                break
            Event().wait(DIRECTORY_READ_PAUSE_S)

    def read_all(self) -> int:
        """Update all workers of the directory; deregister all others."""
        began_ms = now_ms()
        page = self._directory.read()
        self._allow_tokens(page.revision)
        self.open_sessions(page)
        self.scheduler_service.read_freshness.mark_workers(began_ms)
        present = {
            registration.worker_id for registration in page.registrations
        }
        with self.scheduler_service.lock:
            scheduler = self.scheduler_service.scheduler
            for worker_id in scheduler.workers.keys() - present:
                scheduler.mark_deregistered(worker_id, now_ms())
        return page.revision

    def open_sessions(self, page: DirectoryPage) -> None:
        """Open sessions with all workers of a page."""
        with self._roster_lock:
            self._mark_used(page.registrations)
            for registration in page.registrations:
                self._update_worker(registration)

    def open_answered(self, answered: WorkerRegistration) -> None:
        """Open a session with a worker that has answered.

        It may be missing from the directory. Raises `StoreError` if the stored
        roster cannot show it as used.
        """
        service = self.scheduler_service
        worker_id = answered.worker_id
        with self._roster_lock:
            # It may have registered since it was asked.
            if worker_id in service.scheduler.workers:
                return
            with service.lock:
                registration = service.scheduler.registration_of(answered)
            self._mark_used((registration,))
            with service.lock:
                orders = service.scheduler.add_answered_worker(
                    registration, now_ms()
                )
                worker = service.scheduler.workers[worker_id]
                self._suspend_if_unmarked(worker)
            self._open_session(worker)
        service.dispatch(orders)

    def refresh_roster(self) -> None:
        """Write how long runs may continue on workers that get no orders.

        Workers on which nothing can run any more are omitted, and workers that
        answer again are used again.
        """
        with self._roster_lock:
            self._save_roster(frozenset())

    def save_final_roster(self) -> None:
        """Write which workers and runs the next leader has to expect."""
        with self._roster_lock:
            previous_ids = self._handover_state.roster.worker_ids
            with self.scheduler_service.lock:
                scheduler = self.scheduler_service.scheduler
                at_ms = now_ms()
                roster = scheduler.build_final_roster(previous_ids, at_ms)
                roster = scheduler.with_term_record(roster, at_ms)
            self._handover_state.save_roster(self.addresses.add_to(roster))

    def _save_roster(self, used: frozenset[str]) -> None:
        """Write the roster, with `used` among the workers in use.

        Not once the leadership is over: the final roster may be stored.
        """
        service = self.scheduler_service
        if service.leadership.is_over():
            return
        previous_ids = self._handover_state.roster.worker_ids
        at_ms = now_ms()
        with service.lock:
            # What is not stored would suspend workers for nothing.
            if service.leadership.is_exclusive(at_ms):
                service.scheduler.suspend_unresponsive(at_ms)
            roster = service.scheduler.build_roster(previous_ids, used, at_ms)
            roster = service.scheduler.with_term_record(roster, at_ms)
        self._handover_state.save_roster(self.addresses.add_to(roster))
        with service.lock:
            service.scheduler.resume(roster.in_use)

    def _apply_changes(self, batch: tuple[RegistrationChange, ...]) -> None:
        """Apply changes in order: a removed worker may be back by now."""
        with self._roster_lock:
            self._mark_used(
                [change.registration for change in batch if change.registration]
            )
            for change in batch:
                if change.registration is None:
                    self._mark_deregistered(change)
                else:
                    self._update_worker(change.registration)

    def _allow_tokens(self, revision: int) -> None:
        """Allow tokens up to a revision that the store has just had.

        The next leader's token is higher if this one still held its key.
        """
        service = self.scheduler_service
        if service.leadership.is_exclusive(now_ms()):
            with service.lock:
                service.scheduler.allow_tokens(revision)

    def _mark_used(self, registrations: Iterable[WorkerRegistration]) -> None:
        """Mark these workers as used in the stored roster.

        A registration that no answer confirms does not change an address.
        """
        with self.scheduler_service.lock:
            known = [
                registration
                for registration in registrations
                if self.scheduler_service.scheduler.is_known(registration)
            ]
        self.addresses.record(known)
        ids = self._possibly_used_ids(registrations)
        addresses = self.addresses.of_workers(ids)
        if not self._handover_state.has_marked_used(ids, addresses):
            self._save_roster(ids)

    def _mark_deregistered(self, change: RegistrationChange) -> None:
        with self.scheduler_service.lock:
            self.scheduler_service.scheduler.mark_deregistered(
                change.worker_id, now_ms(), change.revision or FOREVER
            )

    def _possibly_used_ids(
        self, registrations: Iterable[WorkerRegistration]
    ) -> frozenset[str]:
        """Return the workers on which runs are possible from now on."""
        with self.scheduler_service.lock:
            scheduler = self.scheduler_service.scheduler
            return frozenset(
                registration.worker_id
                for registration in registrations
                if not scheduler.is_drained(registration)
                and not scheduler.is_suspended(registration)
            )

    def _suspend_if_unmarked(self, worker: Worker) -> None:
        """Suspend a new incarnation that the stored roster does not show.

        The previous one may have ended since the roster was written.
        """
        worker_ids = frozenset((worker.worker_id,))
        addresses = self.addresses.of_workers(worker_ids)
        if not self._handover_state.has_marked_used(worker_ids, addresses):
            suspend(worker)

    def _update_worker(self, registration: WorkerRegistration) -> None:
        service = self.scheduler_service
        with service.lock:
            previous = service.scheduler.workers.get(registration.worker_id)
            orders = service.scheduler.update_worker(registration, now_ms())
            worker = service.scheduler.workers[registration.worker_id]
            if worker is not previous:
                self._suspend_if_unmarked(worker)
            claim = service.scheduler.claim_of(registration.worker_id)
        if worker is not previous:
            self._open_session(worker)
        if claim is not None:
            self.on_claim(worker, claim)
        service.dispatch(orders)
        service.plan_requested.set()

    def _open_session(self, worker: Worker) -> None:
        service = self.scheduler_service
        client = self._client_factory.connect(worker.registration)
        session = open_session(service, worker, client)
        service.attach(worker.worker_id, session)


def _ignore_claim(worker: Worker, claim: WorkerRegistration) -> None:
    """Leave it to the worker's session to find another incarnation."""
