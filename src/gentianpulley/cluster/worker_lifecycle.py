"""Workers' incarnations: registrations, drains, expired leases and restarts.

When an incarnation ends, its runs are requeued. Starts without a reply may
still arrive at the next incarnation under the same id; they are stopped there
before their tasks run anywhere else. Starts that were answered may be there
already if the worker restarted under its id, which its first listing shows. If
a worker with another id has answered at the address, they are over.
"""

from collections.abc import Iterable

from gentianpulley.cluster.claim_tracker import (
    ClaimTracker,
    is_new_incarnation,
)
from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.worker_protocol import (
    StartOrder,
    StopOrder,
    WorkerRegistration,
)
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.timing import (
    FOREVER,
    MAX_ORDER_DELAY_MS,
    Timing,
)
from gentianpulley.cluster.worker import Reservation, Worker, create_worker
from gentianpulley.logs import EventLog


class WorkerLifecycle(ClaimTracker):
    """Tracks the workers' incarnations and requeues what ended with them.

    `usage` counts what customers have running, on workers or kept beyond them.
    """

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start without workers."""
        super().__init__(term, log)
        self.usage = CustomerUsage()
        self._unanswered_starts: dict[str, list[Reservation]] = {}
        self._certain_until_ms = FOREVER
        self._restarted_ids: set[str] = set()

    def mark_certain_until(self, until_ms: int) -> None:
        """Record until when no other instance can have led."""
        self._certain_until_ms = until_ms

    def certain_ms(self, now_ms: int) -> int:
        """Return the latest time at which no other instance can have led.

        What ends by time alone, a lease or a handover, is certain to be over
        only if it was over by then: a successor renews the leases of runs.
        """
        return min(now_ms, self._certain_until_ms)

    def update_worker(
        self, registration: WorkerRegistration, now_ms: int
    ) -> list[Order]:
        """Update a worker by a registration that was read.

        A registration that was read after it had been replaced changes
        nothing: its incarnation may be over, and its drain may have begun. One
        of another incarnation does not end one that has answered.
        """
        existing = self.workers.get(registration.worker_id)
        if existing and _is_outdated(existing.registration, registration):
            return []
        if not self.is_known(registration):
            self._claims.add(registration, now_ms)
            return []
        if existing is not None and is_new_incarnation(
            existing.registration, registration
        ):
            self.end_incarnation(registration.worker_id, now_ms)
            existing = None
        if existing is None:
            return self._start_incarnation(registration, now_ms)
        self._claims.discard(registration.worker_id)
        started_draining = (
            registration.is_draining and not existing.registration.is_draining
        )
        if existing.registration.capacity != registration.capacity:
            existing.invalidate_margins()
        existing.registration = registration
        existing.is_registered = True
        if started_draining:
            return self._drain_worker(existing, now_ms)
        return []

    def is_current_incarnation(self, worker: Worker) -> bool:
        """Return whether this is the current incarnation of its worker."""
        return self.workers.get(worker.worker_id) is worker

    def mark_deregistered(
        self, worker_id: str, now_ms: int, revision: int = FOREVER
    ) -> None:
        """Record that a worker left the directory; its runs may continue.

        Changes nothing if it has registered again after that `revision`.
        """
        worker = self.workers.get(worker_id)
        if worker is None or revision < worker.registration.revision:
            return
        if worker.is_registered:
            worker.is_registered = False
            worker.deregistered_ms = now_ms

    def mark_unresponsive(self, worker: Worker, now_ms: int) -> None:
        """Record that a poll failed; the worker gets no runs meanwhile.

        Another incarnation may be up: what was sent before is fenced off.
        """
        if not worker.unresponsive_since_ms:
            worker.unresponsive_since_ms = now_ms
            self.advance_token(worker)
            self.suspect_runs(worker)

    def end_incarnation(
        self, worker_id: str, now_ms: int, *, is_replaced: bool = False
    ) -> None:
        """End the current incarnation of a worker.

        With `is_replaced`, a worker with another id has answered at its
        address, so that nothing it has answered for runs any more.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self._restarted_ids.add(worker_id)
        self.log.worker_reborn(worker_id)
        self.confirm_end(worker)
        # The next incarnation has seen no token, so a previous leader that is
        # still active could start runs there: it has to be fenced as well.
        self.unseen_runs_until_ms[worker_id] = self.term.handover_until_ms
        kept = [
            reservation
            for reservation in worker.reservations.values()
            if reservation.may_start_late(worker.answered_poll_ms)
            or (reservation.may_have_moved and not is_replaced)
        ]
        for reservation in kept:
            worker.release(reservation.key)
            _keep_beyond_incarnation(reservation, self.usage, now_ms)
            self.keep_late_start(worker, reservation)
            self.mark_run_missing(reservation.key)
        if kept:
            self._unanswered_starts[worker_id] = kept
        self.requeue_all(worker, 'life over')

    def expire_leases(self, now_ms: int) -> None:
        """Requeue runs of workers whose leases are certain to have expired.

        A successor may have renewed them since this leader's key may be gone.
        """
        certain_ms = self.certain_ms(now_ms)
        for worker in tuple(self.workers.values()):
            if worker.reservations and _may_have_expired(worker, certain_ms):
                self._requeue_expired(worker, certain_ms)
            if not worker.reservations and _can_be_removed(
                worker, self.term, certain_ms
            ):
                self.workers.pop(worker.worker_id, None)
        for worker_id, reservations in tuple(self._unanswered_starts.items()):
            arrived_ms = reservations[0].sent_ms + MAX_ORDER_DELAY_MS
            over_ms = _late_runs_until_ms(reservations, self.term.timing)
            if certain_ms > min(arrived_ms, over_ms):
                self._requeue_unanswered(worker_id)

    def requeue_all(self, worker: Worker, reason: str) -> None:
        """Requeue all runs of a worker."""
        for key in tuple(worker.reservations):
            self.requeue_run(worker, key, reason)

    def withdraw_start(self, order: StartOrder) -> bool:
        """Requeue the task of a start that was never sent.

        Returns False if the start was sent before, whoever sent it, or a stop
        follows: then the worker has to report what became of the run.
        """
        worker = self.workers.get(order.worker_id)
        reservation = self.reservation_of(order)
        if worker is None or reservation is None:
            return True
        if not reservation.is_unsent:
            return False
        self.requeue_run(worker, order.key, 'never sent')
        return True

    def withdraw_delayed_start(self, order: StartOrder) -> bool:
        """Requeue the task of a start that has waited long to be sent.

        Not that of a gang: its other members would wait for it in vain, and
        end without it.
        """
        step = self.step_of(order.key.task_id)
        if step is not None and step.spec.is_gang:
            return False
        return self.withdraw_start(order)

    def _requeue_expired(self, worker: Worker, now_ms: int) -> None:
        """Requeue runs whose leases have expired in every incarnation.

        An incarnation that has not answered yet has no lease but those of late
        starts that arrived there.
        """
        if not worker.clock.seen_at_ms:
            reservations = tuple(worker.reservations.values())
            if now_ms > _late_runs_until_ms(reservations, self.term.timing):
                self.requeue_all(worker, 'cannot run any more')
        if not worker.clock.has_lease_expired(now_ms):
            return
        worker.is_fenced = False
        for key, reservation in tuple(worker.reservations.items()):
            run_ms = now_ms - reservation.last_sent_ms
            is_over = run_ms > self.term.timing.max_run_ms
            if reservation.is_listed or is_over:
                self.requeue_run(worker, key, 'lease lapsed')

    def _start_incarnation(
        self, registration: WorkerRegistration, now_ms: int
    ) -> list[Order]:
        worker = create_worker(registration, now_ms, self.usage)
        worker.token = self.token_of(registration.worker_id)
        worker.is_restarted = registration.worker_id in self._restarted_ids
        self.workers[registration.worker_id] = worker
        orders: list[Order] = []
        for reservation in self._unanswered_starts.pop(
            registration.worker_id, ()
        ):
            _discount(reservation, self.usage)
            kept = worker.reserve(
                reservation.key, reservation.spec, now_ms, reservation.customer
            )
            kept.is_stopping = True
            kept.late_start_until_ms = reservation.late_start_until_ms
            kept.past_orders_until_ms = reservation.past_orders_until_ms
            if not reservation.has_lost_start:
                # The first listing shows whether the run is there.
                kept.confirmed_ms = reservation.confirmed_ms
            orders.append(StopOrder(registration.worker_id, reservation.key))
        return orders

    def _requeue_unanswered(self, worker_id: str) -> None:
        """Requeue runs whose starts cannot arrive any more."""
        for reservation in self._unanswered_starts.pop(worker_id):
            _discount(reservation, self.usage)
            self.log.run_returned(
                reservation.key, worker_id, 'cannot arrive any more', 0
            )
            step = self.step_of(reservation.key.task_id)
            if step is None:
                continue
            task = step.tasks[reservation.key.task_id.ordinal]
            if task.run == reservation.key.run and task.worker_id == worker_id:
                step.requeue(task)
                self.mark_run_missing(reservation.key)

    def _drain_worker(self, worker: Worker, now_ms: int) -> list[Order]:
        """Stop the runs that cannot end before a draining worker leaves."""
        left_ms = (
            worker.registration.drain_remaining_ms - self.term.timing.stop_ms
        )
        orders: list[Order] = []
        for reservation in worker.reservations.values():
            ran_ms = now_ms - reservation.sent_ms
            remaining_ms = reservation.spec.estimated_ms - ran_ms
            outlasts = reservation.spec.checkpoints and remaining_ms > left_ms
            if reservation.spec.is_endless or outlasts:
                reservation.is_stopping = True
                orders.append(StopOrder(worker.worker_id, reservation.key))
        return orders


def _is_outdated(
    existing: WorkerRegistration, registration: WorkerRegistration
) -> bool:
    """Return whether a registration had been replaced when it was read.

    A write may be applied after later ones of the same incarnation; its
    sequence tells. A worker that was adopted without a registration has no
    revision; of its registrations, those of earlier incarnations are outdated.
    """
    if not existing.revision:
        return 0 < registration.incarnation_ms < existing.incarnation_ms
    is_same = not is_new_incarnation(existing, registration)
    if is_same and 0 < registration.sequence < existing.sequence:
        return True
    return registration.revision < existing.revision


def _may_have_expired(worker: Worker, now_ms: int) -> bool:
    """Return whether a worker's lease has expired or was never granted."""
    clock = worker.clock
    return not clock.seen_at_ms or clock.has_lease_expired(now_ms)


def _keep_beyond_incarnation(
    reservation: Reservation, usage: CustomerUsage, now_ms: int
) -> None:
    """Record until when orders to the incarnation that ends may arrive.

    Until then the run keeps counting for its customer.
    """
    usage.add_run(reservation.customer, reservation.spec.resources)
    until_ms = now_ms + MAX_ORDER_DELAY_MS
    reservation.sent_ms = now_ms
    if reservation.is_in_flight:
        reservation.late_start_until_ms = until_ms
    reservation.past_orders_until_ms = (
        reservation.past_orders_until_ms
        or reservation.late_start_until_ms
        or until_ms
    )


def _discount(reservation: Reservation, usage: CustomerUsage) -> None:
    """Stop counting a run that was kept beyond its incarnation."""
    usage.remove_run(reservation.customer, reservation.spec.resources)


def _late_runs_until_ms(
    reservations: Iterable[Reservation], timing: Timing
) -> int:
    """Return until when runs kept from past incarnations may continue.

    Each order that arrives late prolongs the lease of all runs of its worker.
    """
    arrival_ms = max(each.past_orders_until_ms for each in reservations)
    return arrival_ms + timing.max_run_ms


def _can_be_removed(worker: Worker, term: LeaderTerm, now_ms: int) -> bool:
    """Return whether no leader can have a run on a worker that left."""
    if worker.is_registered:
        return False
    has_expired = worker.clock.has_lease_expired(now_ms)
    if has_expired and now_ms > term.handover_until_ms:
        return True
    deregistered_for_ms = now_ms - worker.deregistered_ms
    return deregistered_for_ms > term.timing.handover_ms
