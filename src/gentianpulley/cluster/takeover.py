"""What a leader takes over, and what it leaves to the next one."""

from typing import NamedTuple

from gentianpulley.cluster.worker_protocol import Listing, WorkerRegistration
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.run_tracker import RunTracker
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.worker import Worker
from gentianpulley.logs import EventLog


class _HeldList(NamedTuple):
    """A worker's list that came before the jobs were loaded."""

    worker: Worker
    listing: Listing
    sent_ms: int
    received_ms: int


class Takeover(RunTracker):
    """Follows what runs of earlier leaders may still go on.

    While jobs load, lists are held: they renew leases and fence former
    leaders off. What they show cannot be told from what nobody asked for yet,
    so nothing is adopted, stopped or acknowledged.
    """

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Read lists at once."""
        super().__init__(term, log)
        self._buffered_listings: dict[str, _HeldList] = {}
        self._buffers_listings = False

    def buffer_listings(self) -> None:
        """Hold the lists of workers until jobs are loaded."""
        self._buffers_listings = True

    def process_buffered_listings(self) -> list[Order]:
        """Bring the ledger in line with the latest lists that were held.

        Not with that of a worker that has gone silent or was born anew since.
        """
        self._buffers_listings = False
        orders: list[Order] = []
        for held in self._buffered_listings.values():
            worker = held.worker
            if (
                self.is_current_incarnation(worker)
                and not worker.unresponsive_since_ms
            ):
                orders.extend(self.handle_listing(*held))
        self._buffered_listings.clear()
        return orders

    def handle_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Bring the ledger in line with a list, or hold it."""
        if not self._buffers_listings or not self.is_current_incarnation(
            worker
        ):
            return super().handle_listing(worker, listing, sent_ms, now_ms)
        worker.clock.update(listing.clock_worker_ms, now_ms)
        self.grant_lease(worker)
        worker.last_contact_ms = now_ms
        worker.unresponsive_since_ms = 0
        held = _HeldList(worker, listing, sent_ms, now_ms)
        self._buffered_listings[worker.worker_id] = held
        return []

    def is_drained(self, facts: WorkerRegistration) -> bool:
        """Return whether nothing can run on a worker that registers so."""
        known = self.workers.get(facts.worker_id)
        if known is None or not facts.is_draining:
            return False
        return (
            known.is_drained
            and facts.incarnation_ms == known.registration.incarnation_ms
        )

    def build_roster(
        self, previous: frozenset[str], used: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what a successor has to expect of all workers.

        `previous` are those of the roster so far, `used` those that are about
        to be sent orders. Nothing has to be expected of workers that have left
        with nothing on them, or are about to.
        """
        held = {
            worker.worker_id
            for worker in self.workers.values()
            if not worker.is_drained
        }
        used = used.union(held, self._unanswered_starts)
        left_ms = {}
        for worker_id in previous - used:
            # One that was listed may have been born anew since.
            until_ms = self.unseen_runs_until_ms.get(
                worker_id, self.term.handover_until_ms
            )
            if now_ms <= until_ms:
                left_ms[worker_id] = until_ms - now_ms
        return Roster(used, left_ms)

    def build_final_roster(
        self, previous: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what a successor has to expect of a leader that leaves.

        No lease is given from now on, so what runs ends with those that are.
        """
        self._grants_leases = False
        roster = self.build_roster(previous, frozenset(), now_ms)
        left_ms = dict(roster.remaining_ms)
        for worker_id in roster.in_use - self._unanswered_starts.keys():
            until_ms = self._runs_until_ms(self.workers[worker_id])
            left_ms[worker_id] = max(0, until_ms - now_ms)
        return Roster(roster.in_use & self._unanswered_starts.keys(), left_ms)

    def _runs_until_ms(self, worker: Worker) -> int:
        """Return until when something may run at any life of a worker."""
        longest_ms = self.term.timing.max_run_ms
        ends_ms = [
            max(charge.sent_ms, charge.last_sent_ms) + longest_ms
            for charge in worker.reservations.values()
            if not charge.is_listed
        ]
        # An earlier leader may have found a new life of it.
        earlier_ms = self.unseen_runs_until_ms.get(
            worker.worker_id, self.term.handover_until_ms
        )
        return max(worker.clock.lease_expiry_ms(), earlier_ms, *ends_ms)
