"""Tracks runs by the replies to orders and by the workers' listings.

A run keeps its reservation on a worker from the moment it is ordered until its
end is certain: the worker listed the end, refused the start, answered a stop
of a run that it does not list, or its lease is certain to have expired.
"""

from dataclasses import replace
from typing import Final

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    Listing,
    PaceOrder,
    RunKey,
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.pacing import update_model, pace_orders
from gentianpulley.cluster.schedulable_workers import is_overfilled
from gentianpulley.cluster.scheduler_state import (
    Order,
    SchedulerState,
    is_current_run,
)
from gentianpulley.cluster.straggler_detection import (
    find_stragglers,
    record_progress,
)
from gentianpulley.cluster.worker import (
    UNKNOWN_SPEED_PERCENT,
    Reservation,
    UnackedEnd,
    Worker,
)
from gentianpulley.cluster.violation_report import log_violations
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS
from gentianpulley.cluster.worker_lifecycle import WorkerLifecycle
from gentianpulley.jobs.job import StepRun, Task, TaskPhase
from gentianpulley.jobs.spec import TaskId

POLL_GRACE_MS: Final = 1000
"""How much later than its wait a poll is answered by a healthy worker."""

UNCONFIRMED_START_TIMEOUT_MS: Final = 3000
"""How long after its order a start without a reply is stopped, if the worker
answers but does not list the run. Clusters require that a long-running task
runs again within this time."""

MAX_ENDS_PER_LISTING: Final = 500
"""Ends in one listing of a worker; a full listing may lack later ones."""

UNREACHABLE_BACKOFF_MS: Final = 400
"""How long a worker gets no runs after a connection to it failed."""

INCONCLUSIVE_VERDICTS: Final = frozenset(
    (
        StartVerdict.NOT_SENT,
        StartVerdict.NO_ROOM,
        StartVerdict.NO_TICKET,
        StartVerdict.UNHEALTHY,
        StartVerdict.INVALID,
    )
)
"""Verdicts that are inconclusive about an earlier sending without a reply: that
one may still be carried out if there is capacity or a ticket by then."""


class RunTracker(WorkerLifecycle):
    """Reconciles the reservations with replies and listings."""

    def handle_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Reconcile the reservations with a worker's listing.

        If the incarnation is over, only the ends of its runs still count.
        """
        if not self.is_current_incarnation(worker):
            return self._note_rows(worker, replace(listing, running=()), now_ms)
        # From here on any previous leader is fenced off. Its leases were not
        # longer, so whatever runs there ends within the lease granted now.
        _record_contact(worker, listing, sent_ms, now_ms)
        self.confirm_incarnation(worker, sent_ms)
        present = {row.key for row in listing.running}
        worker.foreign_runs &= present
        orders = self._note_rows(worker, listing, now_ms)
        for reservation in _unconfirmed_starts(worker, sent_ms):
            worker.record_failure(now_ms)
            orders.append(self.stop_uncertain_run(worker, reservation))
        if len(listing.ended) < MAX_ENDS_PER_LISTING:
            self._requeue_missing(worker, listing, sent_ms)
        worker.is_fenced = True
        self.unseen_runs_until_ms.pop(worker.worker_id, None)
        if update_model(worker, self.interference, now_ms):
            orders.extend(_limit_interference(self, worker, now_ms))
            orders.extend(self._stop_stragglers(worker, now_ms))
        return orders

    def handle_start_reply(
        self, order: StartOrder, reply: StartReply, now_ms: int
    ) -> list[Order]:
        """Process the reply to a start; returns what has to be sent next."""
        worker = self.workers.get(order.worker_id)
        reservation = worker.reservations.get(order.key) if worker else None
        if (
            worker is None
            or reservation is None
            or _was_sent_to_past_incarnation(reservation)
        ):
            return []
        reservation.start_deadline_worker_ms = (
            worker.clock.lease_deadline_worker_ms
        )
        if reply.verdict is StartVerdict.GONE:
            name = reply.verdict.name
            self.log.start_refused(order.key, worker.worker_id, name)
            if not reservation.has_lost_start:
                self.requeue_run(worker, order.key, name)
            self.end_incarnation(order.worker_id, now_ms, is_replaced=True)
            return []
        if _is_other_incarnation(worker, reservation, reply):
            # The other incarnation may hold the run.
            reservation.confirmed_ms = now_ms
            self.end_incarnation(order.worker_id, now_ms)
            return []
        if reply.clock_worker_ms:
            worker.clock.update(reply.clock_worker_ms, now_ms)
        return self._handle_verdict(worker, reservation, order, reply, now_ms)

    def handle_stop_reply(self, order: StopOrder, now_ms: int) -> None:
        """Record the reply to a stop: the run ends or never starts."""
        reservation = self.reservation_of(order)
        if reservation is not None:
            reservation.stop_confirmed_ms = (
                reservation.stop_confirmed_ms or now_ms
            )
            self.workers[order.worker_id].unanswered_starts.discard(order.key)

    def handle_pace_reply(self, order: PaceOrder) -> None:
        """Record the reply to a change of speed."""
        reservation = self.reservation_of(order)
        if reservation is not None:
            reservation.speed_percent = order.speed_percent

    def claim_start_send(self, order: StartOrder, now_ms: int) -> bool:
        """Return whether to send a start (again), and record the sending.

        The worker or its failure domain may have closed since the run was
        placed there, or the worker's capacity may have shrunk.
        """
        reservation = self.reservation_of(order)
        if (
            reservation is None
            or reservation.confirmed_ms
            or reservation.is_stopping
        ):
            return False
        if not self._grants_leases:
            return False
        worker = self.workers[order.worker_id]
        if worker.is_closing or self.is_domain_closed(worker):
            return False
        if worker.is_suspended or is_overfilled(worker, reservation.spec):
            return False
        # Sending on to an unresponsive worker would delay the time at which its
        # runs are certain to have ended.
        idle_ms = now_ms - worker.last_contact_ms
        if idle_ms > self.term.timing.poll_wait_ms + POLL_GRACE_MS:
            return False
        reservation.last_sent_ms = now_ms
        reservation.sent_worker_ms = worker.clock.seen_worker_ms
        reservation.start_deadline_worker_ms = 0
        return True

    def should_send_stop(self, order: StopOrder) -> bool:
        """Return whether a stop still has to be sent (again)."""
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return False
        reservation = worker.reservations.get(order.key)
        if reservation is None:
            return order.key in worker.foreign_runs
        return not reservation.stop_confirmed_ms

    def _note_rows(
        self, worker: Worker, listing: Listing, now_ms: int
    ) -> list[Order]:
        orders: list[Order] = []
        for ended in listing.ended:
            orders.extend(self._handle_end(worker, ended, now_ms))
        for row in listing.running:
            orders.extend(self._handle_running(worker, row, now_ms))
        self.withdraw_suspicions(worker)
        self.end_old_trials(worker, now_ms)
        return orders

    def _stop_stragglers(self, worker: Worker, now_ms: int) -> list[Order]:
        """Stop runs that would end sooner if restarted on another worker."""
        orders: list[Order] = []
        for reservation in find_stragglers(worker, now_ms):
            step = self.step_of(reservation.key.task_id)
            if step is None:
                continue
            task = step.tasks[reservation.key.task_id.ordinal]
            if task.has_straggled:
                continue
            task.has_straggled = True
            self.log.run_too_slow(
                reservation.key, worker.worker_id, reservation.progress_percent
            )
            reservation.is_stopping = True
            orders.append(StopOrder(worker.worker_id, reservation.key))
        return orders

    def _handle_verdict(
        self,
        worker: Worker,
        reservation: Reservation,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> list[Order]:
        verdict = reply.verdict
        if verdict is StartVerdict.LOST:
            _record_lost_start(worker, reservation, now_ms)
            self.keep_late_start(worker, reservation)
            # Send the same run again: if the worker has it, it answers alike.
            return [order]
        if verdict is not StartVerdict.NOT_SENT:
            worker.unanswered_starts.discard(order.key)
        if reservation.has_lost_start and verdict in INCONCLUSIVE_VERDICTS:
            return self._handle_inconclusive_refusal(
                worker, reservation, order, reply, now_ms
            )
        if verdict is StartVerdict.ACCEPTED:
            reservation.confirmed_ms = now_ms
            self.mark_started(order.key)
        elif verdict is StartVerdict.OUTDATED and reservation.has_lost_start:
            # An earlier sending may have run and ended already, which the
            # next listing shows; the run cannot start any more.
            reservation.stop_confirmed_ms = (
                reservation.stop_confirmed_ms or now_ms
            )
        else:
            self._handle_refused_start(worker, order, reply, now_ms)
        return []

    def _handle_inconclusive_refusal(
        self,
        worker: Worker,
        reservation: Reservation,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> list[Order]:
        """Keep a run if only its latest sending is certain to have failed."""
        _back_off(worker, reply.verdict, now_ms)
        if reply.verdict is StartVerdict.NOT_SENT:
            return [order]
        name = reply.verdict.name
        self.log.start_refused(order.key, worker.worker_id, name)
        return [self.stop_uncertain_run(worker, reservation)]

    def _handle_end(
        self, worker: Worker, row: EndedRow, now_ms: int
    ) -> list[Order]:
        if row.number <= worker.last_end_number:
            return []
        worker.last_end_number = row.number
        self.change_number += 1
        self.release_ended(worker, row)
        job = self.jobs.get(row.key.task_id.job_id)
        step = job.step_of(row.key.task_id) if job else None
        worker.unacked_ends.append(
            UnackedEnd(
                row.number,
                self.change_number,
                max(
                    _late_start_until_ms(step, row.key.task_id),
                    self.term.late_starts_until_ms.get(worker.worker_id, 0),
                ),
            )
        )
        if job is None or step is None:
            return []
        job.mark_started()
        task = step.tasks[row.key.task_id.ordinal]
        self.log.run_ended(
            row.key,
            worker.worker_id,
            row.cause.value,
            is_endless=step.spec.is_endless,
        )
        is_current = is_current_run(worker, step, row.key)
        if row.cause is EndCause.FAILED:
            worker.record_failure(now_ms)
            job.record_failure(step, task, row.key.run, worker.worker_id)
        orders: list[Order] = []
        if is_current:
            _apply_end(worker, step, task, row)
        elif row.cause is EndCause.DONE and not step.spec.is_endless:
            orders.extend(self._finish_late(step, task))
        if job.state.is_final:
            orders.extend(self.stop_job_runs(job))
        return orders

    def _finish_late(self, step: StepRun, task: Task) -> list[Order]:
        """Finish the task of a late end, and stop the run that replaced it.

        Also while the task waits: the end is acknowledged, so the worker
        would not report it again.
        """
        if task.phase is not TaskPhase.PLACED:
            step.finish(task)
            return []
        worker = self.workers.get(task.worker_id)
        key = RunKey(task.task_id, task.run)
        step.finish(task)
        reservation = worker.reservations.get(key) if worker else None
        if reservation is None or reservation.is_stopping:
            return []
        reservation.is_stopping = True
        return [StopOrder(task.worker_id, key)]

    def _handle_running(
        self, worker: Worker, row: RunningRow, now_ms: int
    ) -> list[Order]:
        reservation = worker.reservations.get(row.key)
        if reservation is None:
            self.mark_started(row.key)
            return self._adopt(worker, row, now_ms)
        if (
            not reservation.is_listed
            or row.checkpoint != reservation.checkpoint
        ):
            self.update_checkpoint(reservation, row.checkpoint)
        worker.unanswered_starts.discard(row.key)
        reservation.confirmed_ms = reservation.confirmed_ms or now_ms
        reservation.is_listed = True
        reservation.record_measurement(row.measurement, now_ms)
        record_progress(reservation, row.progress_percent, now_ms)
        return []

    def _adopt(
        self, worker: Worker, row: RunningRow, now_ms: int
    ) -> list[Order]:
        """Adopt a run that this leader did not start, or stop it."""
        task_id = row.key.task_id
        stop = StopOrder(worker.worker_id, row.key)
        job = self.jobs.get(task_id.job_id)
        step = job.step_of(task_id) if job else None
        if job is None or step is None:
            worker.foreign_runs.add(row.key)
            self.log.run_unknown(row.key, worker.worker_id)
            return [stop]
        reservation = worker.reserve(
            row.key, step.spec, now_ms, job.spec.customer
        )
        self.begin_trial(worker, step, row.key)
        reservation.latest_finish_ms = step.latest_finish_ms
        reservation.confirmed_ms = now_ms
        reservation.is_listed = True
        reservation.speed_percent = UNKNOWN_SPEED_PERCENT
        reservation.record_measurement(row.measurement, now_ms)
        task = step.tasks[task_id.ordinal]
        is_wanted = not job.state.is_final and task.phase is TaskPhase.WAITING
        if is_wanted and row.key.run >= task.run:
            step.place(task, worker.worker_id, row.key.run)
            task.record_running(row.checkpoint)
            self.log.run_adopted(row.key, worker.worker_id)
            return []
        reservation.is_stopping = True
        return [stop]

    def _requeue_missing(
        self, worker: Worker, listing: Listing, sent_ms: int
    ) -> None:
        """Requeue runs that the worker certainly does not have.

        The poll was sent after the start or a stop was answered, so a run that
        is neither running nor among the ends is not there. Without an answer, a
        start is refused from its deadline on.
        """
        present = {row.key for row in listing.running}
        for key, reservation in tuple(worker.reservations.items()):
            if key in present:
                continue
            if 0 < reservation.first_answer_ms < sent_ms:
                self.requeue_run(worker, key, 'not listed')
            elif reservation.is_too_late(listing.clock_worker_ms):
                self.requeue_run(worker, key, 'too late to start')

    def _handle_refused_start(
        self,
        worker: Worker,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> None:
        verdict = reply.verdict
        self.log.start_refused(order.key, worker.worker_id, verdict.name)
        self.withdraw_suspicion(worker, order.key.task_id)
        self.requeue_run(worker, order.key, verdict.name)
        if verdict is StartVerdict.NO_TICKET:
            step = self.step_of(order.key.task_id)
            if step is not None:
                self.tickets.invalidate(step.step_id, worker.worker_id)
            return
        _back_off(worker, verdict, now_ms)


def _record_contact(
    worker: Worker, listing: Listing, sent_ms: int, now_ms: int
) -> None:
    """Record that a worker has answered a poll."""
    worker.clock.update(listing.clock_worker_ms, now_ms)
    worker.last_contact_ms = now_ms
    worker.answered_poll_ms = max(worker.answered_poll_ms, sent_ms)
    worker.unresponsive_since_ms = 0


def _limit_interference(
    state: SchedulerState, worker: Worker, now_ms: int
) -> list[PaceOrder]:
    """Change the speeds of best-effort tasks by the newest sample."""
    bound_ms = state.term.timing.interference_bound_ms
    orders = pace_orders(worker, state.interference, bound_ms, now_ms)
    log_violations(worker, state.interference, now_ms, state.log)
    return orders


def _was_sent_to_past_incarnation(reservation: Reservation) -> bool:
    """Return whether a stopped run was sent to a past incarnation only."""
    return reservation.is_stopping and not reservation.last_sent_ms


def _is_other_incarnation(
    worker: Worker, reservation: Reservation, reply: StartReply
) -> bool:
    """Return whether another incarnation answered than the intended one.

    The clock alone may show this: a reply is written after the start was sent,
    thus not before the latest time seen on that worker's clock by then.
    """
    if reply.incarnation_ms and worker.registration.incarnation_ms:
        return reply.incarnation_ms != worker.registration.incarnation_ms
    return 0 < reply.clock_worker_ms < reservation.sent_worker_ms


def _record_lost_start(
    worker: Worker, reservation: Reservation, now_ms: int
) -> None:
    reservation.late_start_until_ms = now_ms + MAX_ORDER_DELAY_MS
    if not reservation.confirmed_ms:
        worker.unanswered_starts.add(reservation.key)


def _late_start_until_ms(step: StepRun | None, task_id: TaskId) -> int:
    """Return until when a start of a task may arrive, zero if none can."""
    return step.tasks[task_id.ordinal].late_start_until_ms if step else 0


def _back_off(worker: Worker, verdict: StartVerdict, now_ms: int) -> None:
    """Send no runs to a worker for a while after it did not start one."""
    if verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
        worker.record_failure(now_ms)
    worker.backoff_until_ms = now_ms + UNREACHABLE_BACKOFF_MS


def _apply_end(
    worker: Worker, step: StepRun, task: Task, row: EndedRow
) -> None:
    task.run = max(task.run, row.key.run)
    task.start_deadline_ms = 0
    if row.cause is EndCause.DONE and not step.spec.is_endless:
        worker.record_success()
        step.finish(task)
        return
    if row.checkpoint:
        task.checkpoint = row.checkpoint
        step.job.is_dirty = True
    step.requeue(task)


def _unconfirmed_starts(worker: Worker, sent_ms: int) -> list[Reservation]:
    """Return the unconfirmed starts that should be stopped."""
    reservations = []
    for reservation in worker.reservations.values():
        since_ms = reservation.sent_ms
        if not reservation.has_lost_start:
            since_ms = max(since_ms, reservation.last_sent_ms)
        is_pending = (
            not reservation.confirmed_ms and not reservation.is_stopping
        )
        if is_pending and sent_ms > since_ms + UNCONFIRMED_START_TIMEOUT_MS:
            reservations.append(reservation)
    return reservations
