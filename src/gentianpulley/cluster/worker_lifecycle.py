"""Lives of workers: registrations, drains, lapsed leases and new starts.

When a life is over, its runs are given back. Starts that it never answered
may still arrive at the next life under the same id; they are barred there
before their tasks run anywhere else.
"""

from typing import Final

from gentianpulley.cluster.cancellations import Cancellations
from gentianpulley.cluster.worker_protocol import (
    StartOrder,
    StopOrder,
    WorkerRegistration,
)
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.worker import Reservation, Worker, create_worker
from gentianpulley.logs import EventLog

MAX_ORDER_DELAY_MS: Final = 12_500
"""How long an order without an answer may still arrive: the platform's workers
carry such orders out up to twelve seconds later."""


class WorkerLifecycle(Cancellations):
    """Follows the workers' lives and gives back what ended with them."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Know no worker yet."""
        super().__init__(term, log)
        self._unanswered_starts: dict[str, list[Reservation]] = {}

    def update_worker(
        self, facts: WorkerRegistration, now_ms: int
    ) -> list[Order]:
        """Note a worker's registration; a new life replaces the former."""
        known = self.workers.get(facts.worker_id)
        if known is not None and _is_new_life(known.registration, facts):
            self.end_incarnation(facts.worker_id, now_ms)
            known = None
        if known is None:
            return self._begin_life(facts, now_ms)
        began_draining = (
            facts.is_draining and not known.registration.is_draining
        )
        known.registration = facts
        known.is_registered = True
        if began_draining:
            return self._clear_draining(known, now_ms)
        return []

    def is_current_incarnation(self, worker: Worker) -> bool:
        """Return whether a life of a worker is the one that is known."""
        return self.workers.get(worker.worker_id) is worker

    def mark_deregistered(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker left the directory; its runs may go on."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            worker.deregistered_ms = now_ms

    def mark_unresponsive(self, worker: Worker, now_ms: int) -> None:
        """Note that a look at a worker failed; it gets nothing meanwhile."""
        worker.unresponsive_since_ms = worker.unresponsive_since_ms or now_ms

    def end_incarnation(self, worker_id: str, now_ms: int) -> None:
        """End the life that is known of a worker."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.log.worker_reborn(worker_id)
        # The next life has seen no token, so a former leader that still acts
        # could start something there: it has to be fenced as well.
        self.unseen_runs_until_ms[worker_id] = self.term.handover_until_ms
        kept = [
            charge
            for charge in worker.reservations.values()
            if charge.may_start_late
        ]
        for charge in kept:
            worker.release(charge.key)
            charge.sent_ms = now_ms
            self.mark_run_missing(charge.key)
        if kept:
            self._unanswered_starts[worker_id] = kept
        self.requeue_all(worker, 'life over')

    def expire_leases(self, now_ms: int) -> None:
        """Give back what ran on workers whose leases are surely over."""
        for worker in tuple(self.workers.values()):
            if worker.reservations and worker.clock.has_lease_expired(now_ms):
                self._return_lapsed(worker, now_ms)
                worker.is_fenced = False
            if not worker.reservations and _is_gone(worker, self.term, now_ms):
                self.workers.pop(worker.worker_id, None)
        for worker_id, charges in tuple(self._unanswered_starts.items()):
            if now_ms > charges[0].sent_ms + MAX_ORDER_DELAY_MS:
                self._forget_unanswered(worker_id)

    def requeue_all(self, worker: Worker, reason: str) -> None:
        """Give back all runs of a worker."""
        for key in tuple(worker.reservations):
            self.requeue_run(worker, key, reason)

    def withdraw_start(self, order: StartOrder) -> bool:
        """Let the task of a start that never left wait again.

        False if the start was sent before, also by somebody else, or a stop
        follows: then the worker has to tell what became of the run.
        """
        worker = self.workers.get(order.worker_id)
        charge = self.reservation_of(order)
        if worker is None or charge is None:
            return True
        if not charge.is_unsent:
            return False
        self.requeue_run(worker, order.key, 'never sent')
        return True

    def withdraw_delayed_start(self, order: StartOrder) -> bool:
        """Let the task of a start that waited for long wait for a place.

        Not that of a gang: its other members would wait for it in vain, and
        end alone.
        """
        step = self.step_of(order.key.task_id)
        if step is not None and step.spec.is_gang:
            return False
        return self.withdraw_start(order)

    def _return_lapsed(self, worker: Worker, now_ms: int) -> None:
        """Give back runs whose lease is over at any life of the worker."""
        for key, charge in tuple(worker.reservations.items()):
            run_ms = now_ms - charge.last_sent_ms
            is_over = run_ms > self.term.timing.max_run_ms
            if charge.is_listed or is_over:
                self.requeue_run(worker, key, 'lease lapsed')

    def _begin_life(
        self, facts: WorkerRegistration, now_ms: int
    ) -> list[Order]:
        worker = create_worker(facts, now_ms)
        self.workers[facts.worker_id] = worker
        orders: list[Order] = []
        for charge in self._unanswered_starts.pop(facts.worker_id, ()):
            kept = worker.reserve(charge.key, charge.spec, now_ms)
            kept.is_stopping = True
            orders.append(StopOrder(facts.worker_id, charge.key))
        return orders

    def _forget_unanswered(self, worker_id: str) -> None:
        """Give back runs whose starts cannot arrive any more."""
        for charge in self._unanswered_starts.pop(worker_id):
            step = self.step_of(charge.key.task_id)
            if step is None:
                continue
            task = step.tasks[charge.key.task_id.ordinal]
            if task.run == charge.key.run and task.worker_id == worker_id:
                step.requeue(task)
                self.mark_run_missing(charge.key)

    def _clear_draining(self, worker: Worker, now_ms: int) -> list[Order]:
        """Stop what cannot end before a draining worker leaves."""
        left_ms = (
            worker.registration.drain_remaining_ms - self.term.timing.stop_ms
        )
        orders: list[Order] = []
        for charge in worker.reservations.values():
            ran_ms = now_ms - charge.sent_ms
            remaining_ms = charge.spec.estimated_ms - ran_ms
            outlasts = charge.spec.checkpoints and remaining_ms > left_ms
            if charge.spec.is_endless or outlasts:
                charge.is_stopping = True
                orders.append(StopOrder(worker.worker_id, charge.key))
        return orders


def _is_gone(worker: Worker, reign: LeaderTerm, now_ms: int) -> bool:
    """Return whether no leader can have a run at a worker that left."""
    if worker.is_registered:
        return False
    is_silent = worker.clock.has_lease_expired(now_ms)
    if is_silent and now_ms > reign.handover_until_ms:
        return True
    unlisted_for_ms = now_ms - worker.deregistered_ms
    return unlisted_for_ms > reign.timing.handover_ms


def _is_new_life(known: WorkerRegistration, facts: WorkerRegistration) -> bool:
    if facts.incarnation_ms and known.incarnation_ms:
        return facts.incarnation_ms != known.incarnation_ms
    return facts.address != known.address
