"""What a leader takes over, and what it leaves to the next one."""

from typing import NamedTuple

from gentianpulley.cluster.link import Listing, WorkerFacts
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.run_tracker import RunTracker
from gentianpulley.cluster.scheduler_state import Order, Reign
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

    def __init__(self, reign: Reign, log: EventLog) -> None:
        """Read lists at once."""
        super().__init__(reign, log)
        self._held: dict[str, _HeldList] = {}
        self._holds_lists = False

    def hold_lists(self) -> None:
        """Hold the lists of workers until jobs are loaded."""
        self._holds_lists = True

    def read_held_lists(self) -> list[Order]:
        """Bring the ledger in line with the latest lists that were held.

        Not with that of a worker that has gone silent or was born anew since.
        """
        self._holds_lists = False
        orders: list[Order] = []
        for held in self._held.values():
            worker = held.worker
            if self.is_current_life(worker) and not worker.silent_since_ms:
                orders.extend(self.note_listing(*held))
        self._held.clear()
        return orders

    def note_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Bring the ledger in line with a list, or hold it."""
        if not self._holds_lists or not self.is_current_life(worker):
            return super().note_listing(worker, listing, sent_ms, now_ms)
        worker.clock.note(listing.clock_worker_ms, now_ms)
        self.lease_for(worker)
        worker.heard_ms = now_ms
        worker.silent_since_ms = 0
        held = _HeldList(worker, listing, sent_ms, now_ms)
        self._held[worker.worker_id] = held
        return []

    def is_vacated(self, facts: WorkerFacts) -> bool:
        """Tell whether nothing can run on a worker that registers so."""
        known = self.workers.get(facts.worker_id)
        if known is None or not facts.is_draining:
            return False
        return known.is_vacated and facts.born_ms == known.facts.born_ms

    def roster(
        self, former: frozenset[str], used: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what a successor has to expect of all workers.

        `former` are those of the roster so far, `used` those that are about
        to be sent orders. Nothing has to be expected of workers that have left
        with nothing on them, or are about to.
        """
        held = {
            worker.worker_id
            for worker in self.workers.values()
            if not worker.is_vacated
        }
        used = used.union(held, self._unanswered)
        left_ms = {}
        for worker_id in former - used:
            # One that was listed may have been born anew since.
            until_ms = self.unsettled.get(
                worker_id, self.reign.handover_until_ms
            )
            if now_ms <= until_ms:
                left_ms[worker_id] = until_ms - now_ms
        return Roster(used, left_ms)

    def last_roster(self, former: frozenset[str], now_ms: int) -> Roster:
        """Return what a successor has to expect of a leader that leaves.

        No lease is given from now on, so what runs ends with those that are.
        """
        self._gives_leases = False
        roster = self.roster(former, frozenset(), now_ms)
        left_ms = dict(roster.left_ms)
        for worker_id in roster.used - self._unanswered.keys():
            until_ms = self._runs_until_ms(self.workers[worker_id])
            left_ms[worker_id] = max(0, until_ms - now_ms)
        return Roster(roster.used & self._unanswered.keys(), left_ms)

    def _runs_until_ms(self, worker: Worker) -> int:
        """Return until when something may run at any life of a worker."""
        longest_ms = self.reign.timing.longest_run_ms
        ends_ms = [
            max(charge.sent_ms, charge.last_sent_ms) + longest_ms
            for charge in worker.charges.values()
            if not charge.is_listed
        ]
        # An earlier leader may have found a new life of it.
        earlier_ms = self.unsettled.get(
            worker.worker_id, self.reign.handover_until_ms
        )
        return max(worker.clock.lapse_ms(), earlier_ms, *ends_ms)
