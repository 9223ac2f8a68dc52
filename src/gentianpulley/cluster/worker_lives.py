"""Lives of workers: registrations, drains, lapsed leases and new starts.

When a life is over, its runs are given back. Starts that it never answered
may still arrive at the next life under the same id; they are barred there
before their tasks run anywhere else.
"""

from typing import Final

from gentianpulley.cluster.cancellations import Cancellations
from gentianpulley.cluster.link import (
    StartOrder,
    StopOrder,
    WorkerFacts,
)
from gentianpulley.cluster.scheduler_state import Order, Reign
from gentianpulley.cluster.worker import Charge, Worker, create_worker
from gentianpulley.logs import EventLog

LATE_ORDER_MS: Final = 12_500
"""How long an order without an answer may still arrive: the platform's workers
carry such orders out up to twelve seconds later."""


class WorkerLives(Cancellations):
    """Follows the workers' lives and gives back what ended with them."""

    def __init__(self, reign: Reign, log: EventLog) -> None:
        """Know no worker yet."""
        super().__init__(reign, log)
        self._unanswered: dict[str, list[Charge]] = {}

    def update_worker(self, facts: WorkerFacts, now_ms: int) -> list[Order]:
        """Note a worker's registration; a new life replaces the former."""
        known = self.workers.get(facts.worker_id)
        if known is not None and _is_new_life(known.facts, facts):
            self.drop_life(facts.worker_id, now_ms)
            known = None
        if known is None:
            return self._begin_life(facts, now_ms)
        began_draining = facts.is_draining and not known.facts.is_draining
        known.facts = facts
        known.is_listed = True
        if began_draining:
            return self._clear_draining(known, now_ms)
        return []

    def is_current_life(self, worker: Worker) -> bool:
        """Tell whether a life of a worker is the one that is known."""
        return self.workers.get(worker.worker_id) is worker

    def unlist_worker(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker left the directory; its runs may go on."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            worker.unlisted_ms = now_ms

    def note_unreached(self, worker: Worker, now_ms: int) -> None:
        """Note that a look at a worker failed; it gets nothing meanwhile."""
        worker.silent_since_ms = worker.silent_since_ms or now_ms

    def drop_life(self, worker_id: str, now_ms: int) -> None:
        """End the life that is known of a worker."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.log.worker_reborn(worker_id)
        # The next life has seen no token, so a former leader that still acts
        # could start something there: it has to be fenced as well.
        self.unsettled[worker_id] = self.reign.handover_until_ms
        kept = [
            charge
            for charge in worker.charges.values()
            if charge.may_arrive_late
        ]
        for charge in kept:
            worker.release(charge.key)
            charge.sent_ms = now_ms
            self.note_absent(charge.key)
        if kept:
            self._unanswered[worker_id] = kept
        self.return_all(worker, 'life over')

    def note_lapses(self, now_ms: int) -> None:
        """Give back what ran on workers whose leases are surely over."""
        for worker in tuple(self.workers.values()):
            if worker.charges and worker.clock.has_lapsed(now_ms):
                self._return_lapsed(worker, now_ms)
                worker.is_fenced = False
            if not worker.charges and _is_gone(worker, self.reign, now_ms):
                self.workers.pop(worker.worker_id, None)
        for worker_id, charges in tuple(self._unanswered.items()):
            if now_ms > charges[0].sent_ms + LATE_ORDER_MS:
                self._forget_unanswered(worker_id)

    def return_all(self, worker: Worker, reason: str) -> None:
        """Give back all runs of a worker."""
        for key in tuple(worker.charges):
            self.return_run(worker, key, reason)

    def take_back(self, order: StartOrder) -> bool:
        """Let the task of a start that never left wait again.

        False if the start was sent before, also by somebody else, or a stop
        follows: then the worker has to tell what became of the run.
        """
        worker = self.workers.get(order.worker_id)
        charge = self.charge_of(order)
        if worker is None or charge is None:
            return True
        if not charge.is_unsent:
            return False
        self.return_run(worker, order.key, 'never sent')
        return True

    def take_back_late(self, order: StartOrder) -> bool:
        """Let the task of a start that waited for long wait for a place.

        Not that of a gang: its other members would wait for it in vain, and
        end alone.
        """
        step = self.step_of(order.key.task_id)
        if step is not None and step.spec.is_gang:
            return False
        return self.take_back(order)

    def _return_lapsed(self, worker: Worker, now_ms: int) -> None:
        """Give back runs whose lease is over at any life of the worker."""
        for key, charge in tuple(worker.charges.items()):
            run_ms = now_ms - charge.last_sent_ms
            is_over = run_ms > self.reign.timing.longest_run_ms
            if charge.is_listed or is_over:
                self.return_run(worker, key, 'lease lapsed')

    def _begin_life(self, facts: WorkerFacts, now_ms: int) -> list[Order]:
        worker = create_worker(facts, now_ms)
        self.workers[facts.worker_id] = worker
        orders: list[Order] = []
        for charge in self._unanswered.pop(facts.worker_id, ()):
            kept = worker.charge(charge.key, charge.spec, now_ms)
            kept.is_stopping = True
            orders.append(StopOrder(facts.worker_id, charge.key))
        return orders

    def _forget_unanswered(self, worker_id: str) -> None:
        """Give back runs whose starts cannot arrive any more."""
        for charge in self._unanswered.pop(worker_id):
            step = self.step_of(charge.key.task_id)
            if step is None:
                continue
            task = step.tasks[charge.key.task_id.ordinal]
            if task.run == charge.key.run and task.worker_id == worker_id:
                step.give_back(task)
                self.note_absent(charge.key)

    def _clear_draining(self, worker: Worker, now_ms: int) -> list[Order]:
        """Stop what cannot end before a draining worker leaves."""
        left_ms = worker.facts.leaves_ms - self.reign.timing.stop_ms
        orders: list[Order] = []
        for charge in worker.charges.values():
            ran_ms = now_ms - charge.sent_ms
            remaining_ms = charge.spec.estimated_ms - ran_ms
            outlasts = charge.spec.checkpoints and remaining_ms > left_ms
            if charge.spec.is_endless or outlasts:
                charge.is_stopping = True
                orders.append(StopOrder(worker.worker_id, charge.key))
        return orders


def _is_gone(worker: Worker, reign: Reign, now_ms: int) -> bool:
    """Tell whether no leader can have a run at a worker that left."""
    if worker.is_listed:
        return False
    is_silent = worker.clock.has_lapsed(now_ms)
    if is_silent and now_ms > reign.handover_until_ms:
        return True
    unlisted_for_ms = now_ms - worker.unlisted_ms
    return unlisted_for_ms > reign.timing.handover_ms


def _is_new_life(known: WorkerFacts, facts: WorkerFacts) -> bool:
    if facts.born_ms and known.born_ms:
        return facts.born_ms != known.born_ms
    return facts.address != known.address
