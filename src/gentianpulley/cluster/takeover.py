"""State that a leader takes over, and that it leaves to the next leader."""

from dataclasses import replace
from typing import NamedTuple

from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.customer_shares import ArrivalRates
from gentianpulley.cluster.worker_protocol import Listing, WorkerRegistration
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.term_record import TermRecord
from gentianpulley.cluster.unseen_tasks import UnseenTasks
from gentianpulley.cluster.worker_suspension import WorkerSuspension
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import Job, StepRun
from gentianpulley.logs import EventLog


class _BufferedListing(NamedTuple):
    """A worker's listing that came before the jobs were loaded."""

    worker: Worker
    listing: Listing
    sent_ms: int
    received_ms: int


class Takeover(WorkerSuspension):
    """Tracks which runs of earlier leaders may still continue.

    While jobs load, listings are buffered: they renew leases and fence off
    previous leaders. The runs that they show cannot be told apart from unknown
    runs yet, so nothing is adopted, stopped or acknowledged.
    """

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start by processing listings at once."""
        super().__init__(term, log)
        self._buffered_listings: dict[str, _BufferedListing] = {}
        self._buffers_listings = False
        self._unseen_tasks = UnseenTasks()
        self._arrival_rates = ArrivalRates()

    def replace_customers(self, customers: Customers) -> None:
        """Apply these customers' ceilings and weights from now on."""
        self.usage.replace_customers(customers)
        if customers.by_name:
            self.log.customers_in_force(
                customers.version, len(customers.by_name)
            )

    def add_job(self, job: Job) -> None:
        """Add an accepted job; it may have tasks that run unseen."""
        super().add_job(job)
        if self.jobs.get(job.spec.job_id) is job:
            self._unseen_tasks.add_job(job)
            self._arrival_rates.add_job(job)

    def buffer_listings(self) -> None:
        """Buffer the workers' listings until jobs are loaded."""
        self._buffers_listings = True

    def process_buffered_listings(self) -> list[Order]:
        """Reconcile the reservations with the latest buffered listings.

        Skips that of a worker that has become unresponsive or restarted since.
        """
        self._buffers_listings = False
        orders: list[Order] = []
        for buffered in self._buffered_listings.values():
            worker = buffered.worker
            if (
                self.is_current_incarnation(worker)
                and not worker.unresponsive_since_ms
            ):
                orders.extend(self.handle_listing(*buffered))
        self._buffered_listings.clear()
        self.confirm_all_replaced()
        return orders

    def handle_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Reconcile the reservations with a listing, or buffer it."""
        if not self._buffers_listings or not self.is_current_incarnation(
            worker
        ):
            return super().handle_listing(worker, listing, sent_ms, now_ms)
        worker.clock.update(listing.clock_worker_ms, now_ms)
        self.include_earlier_leases(worker)
        worker.last_contact_ms = now_ms
        worker.unresponsive_since_ms = 0
        buffered = _BufferedListing(worker, listing, sent_ms, now_ms)
        self._buffered_listings[worker.worker_id] = buffered
        return []

    def ready_steps(self, now_ms: int) -> list[StepRun]:
        """Return the steps of all jobs whose turn has come."""
        steps: list[StepRun] = []
        for job in self.live_jobs.values():
            if job.spec.schedule.occurrences and not job.state.is_final:
                job.create_due_occurrences(now_ms)
            steps.extend(job.ready_steps(now_ms))
        return steps

    def is_handover_complete(self, now_ms: int) -> bool:
        """Return whether no run of an earlier leader can continue unseen."""
        certain_ms = self.certain_ms(now_ms)
        return all(
            certain_ms > until for until in self.unseen_runs_until_ms.values()
        )

    def count_unseen_tasks(self, now_ms: int) -> None:
        """Count what customers may have running on workers not seen yet."""
        if self._unseen_tasks.is_empty:
            return
        if not self.is_handover_complete(now_ms):
            self.usage.replace_unseen(self._unseen_tasks.count(now_ms))
            return
        self.usage.replace_unseen({})
        if self.certain_ms(now_ms) > self.term.handover_until_ms:
            self._unseen_tasks.clear()

    def is_drained(self, registration: WorkerRegistration) -> bool:
        """Return whether nothing can run on a worker with this registration."""
        existing = self.workers.get(registration.worker_id)
        if existing is None or not registration.is_draining:
            return False
        return (
            existing.is_drained
            and registration.incarnation_ms
            == existing.registration.incarnation_ms
        )

    def build_roster(
        self, previous: frozenset[str], used: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what the next leader has to expect of all workers.

        `previous` are those of the roster so far, `used` those that are about
        to be sent orders. Nothing has to be expected of workers that have left
        with nothing on them, or are about to.
        """
        undrained = {
            worker.worker_id
            for worker in self.workers.values()
            if not worker.is_drained and not self.remains_suspended(worker)
        }
        used = used.union(undrained, self._unanswered_starts)
        left_ms = {}
        for worker_id in previous - used:
            until_ms = self._left_runs_until_ms(worker_id)
            if now_ms <= until_ms:
                left_ms[worker_id] = until_ms - now_ms
        return Roster(used, left_ms)

    def build_final_roster(
        self, previous: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what the next leader has to expect once this one leaves.

        No lease is granted from now on, so what runs ends with the leases
        granted so far.
        """
        self._grants_leases = False
        roster = self.build_roster(previous, frozenset(), now_ms)
        left_ms = dict(roster.remaining_ms)
        for worker_id in roster.in_use - self._unanswered_starts.keys():
            until_ms = self._runs_until_ms(self.workers[worker_id])
            left_ms[worker_id] = max(0, until_ms - now_ms)
        return Roster(roster.in_use & self._unanswered_starts.keys(), left_ms)

    def with_term_record(self, roster: Roster, now_ms: int) -> Roster:
        """Return a roster that also records the term that writes it.

        An earlier leader that was cut off may meet the next incarnation of a
        worker that this one has fenced, so only time ends its runs.
        """
        until_ms = max(
            map(self.term.earlier_runs_until_ms, roster.in_use), default=now_ms
        )
        record = TermRecord(
            self.term.token,
            max(0, until_ms - now_ms),
            frozenset(roster.in_use & self._unanswered_starts.keys()),
        )
        return replace(
            roster, term=record, late_starts_ms=self.late_starts_ms(now_ms)
        )

    def end_incarnation(
        self, worker_id: str, now_ms: int, *, is_replaced: bool = False
    ) -> None:
        """End the current incarnation of a worker.

        An earlier leader that had suspended the worker starts nothing on the
        next incarnation either.
        """
        super().end_incarnation(worker_id, now_ms, is_replaced=is_replaced)
        until_ms = self.unseen_runs_until_ms.get(worker_id)
        if until_ms is not None:
            self.unseen_runs_until_ms[worker_id] = min(
                until_ms, self.term.earlier_runs_until_ms(worker_id)
            )

    def _left_runs_until_ms(self, worker_id: str) -> int:
        """Return until when a worker that gets no orders may have runs."""
        worker = self.workers.get(worker_id)
        if worker and self.remains_suspended(worker):
            return self._runs_until_ms(worker)
        # A worker that was listed may have restarted since.
        return self.unseen_runs_until_ms.get(
            worker_id, self.term.earlier_runs_until_ms(worker_id)
        )

    def _runs_until_ms(self, worker: Worker) -> int:
        """Return until when any incarnation of a worker may have runs."""
        max_run_ms = self.term.timing.max_run_ms
        ends_ms = [
            reservation.latest_arrival_ms + max_run_ms
            for reservation in worker.reservations.values()
            if not reservation.is_listed
        ]
        # An earlier leader may have met a new incarnation of it.
        earlier_ms = self.unseen_runs_until_ms.get(
            worker.worker_id,
            self.term.earlier_runs_until_ms(worker.worker_id),
        )
        return max(worker.clock.lease_expiry_ms(), earlier_ms, *ends_ms)
