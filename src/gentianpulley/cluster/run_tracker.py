"""Follows runs: answers to orders, and what workers list.

A run holds its charge on a worker from the moment it is ordered until its
end is certain: the worker listed the end, refused the start, answered a stop
of a run that it does not list, or its lease is provably over.
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
from gentianpulley.cluster.scheduler_state import Order, is_current_run
from gentianpulley.cluster.straggler_detection import (
    find_stragglers,
    record_progress,
)
from gentianpulley.cluster.worker import (
    UNKNOWN_SPEED_PERCENT,
    Reservation,
    Worker,
)
from gentianpulley.cluster.worker_lifecycle import WorkerLifecycle
from gentianpulley.jobs.job import StepRun, Task, TaskPhase

POLL_GRACE_MS: Final = 1000
"""How much later than its wait a look is answered by a worker that is well."""

UNCONFIRMED_START_TIMEOUT_MS: Final = 3000
"""How long after its last sending a start without an answer is barred, if the
worker answers but does not list the run."""

MAX_ENDS_PER_LISTING: Final = 500
"""Ends that a worker lists at a time; a full list may lack later ones."""

UNREACHABLE_BACKOFF_MS: Final = 400
"""How long a worker gets nothing after a connection to it failed."""

INCONCLUSIVE_VERDICTS: Final = frozenset(
    (
        StartVerdict.NOT_SENT,
        StartVerdict.NO_ROOM,
        StartVerdict.NO_TICKET,
        StartVerdict.UNHEALTHY,
        StartVerdict.INVALID,
    )
)
"""Verdicts that say nothing of an earlier sending without an answer: that one
may still be carried out, where there is room or a ticket by then."""


class RunTracker(WorkerLifecycle):
    """Brings the ledger in line with answers and lists."""

    def handle_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Bring the ledger in line with what a worker lists.

        Of a life that is over only the ends still count.
        """
        if not self.is_current_incarnation(worker):
            return self._note_rows(worker, replace(listing, running=()), now_ms)
        worker.clock.update(listing.clock_worker_ms, now_ms)
        # A former leader is fenced off from here on, and it gave no longer
        # leases: whatever runs there is over by the lease that starts now.
        self.grant_lease(worker)
        worker.last_contact_ms = now_ms
        worker.unresponsive_since_ms = 0
        present = {row.key for row in listing.running}
        worker.foreign_runs &= present
        orders = self._note_rows(worker, listing, now_ms)
        orders.extend(
            self.stop_uncertain_run(worker, charge)
            for charge in _forgotten(worker, sent_ms)
        )
        if len(listing.ended) < MAX_ENDS_PER_LISTING:
            self._return_missing(worker, present, sent_ms)
        worker.is_fenced = True
        self.unseen_runs_until_ms.pop(worker.worker_id, None)
        if update_model(worker, self.interference, now_ms):
            harm_ms = self.term.timing.interference_bound_ms
            orders.extend(
                pace_orders(worker, self.interference, harm_ms, now_ms)
            )
            orders.extend(self._leave_slow(worker, now_ms))
        return orders

    def handle_start_reply(
        self, order: StartOrder, reply: StartReply, now_ms: int
    ) -> list[Order]:
        """Note the answer to a start; returns what has to be sent next."""
        worker = self.workers.get(order.worker_id)
        charge = worker.reservations.get(order.key) if worker else None
        if worker is None or charge is None or _was_sent_before(charge):
            return []
        if _is_other_life(worker, charge, reply):
            # It may hold the run.
            charge.confirmed_ms = now_ms
            self.end_incarnation(order.worker_id, now_ms)
            return []
        if reply.clock_worker_ms:
            worker.clock.update(reply.clock_worker_ms, now_ms)
        return self._note_verdict(worker, charge, order, reply, now_ms)

    def handle_stop_reply(self, order: StopOrder, now_ms: int) -> None:
        """Note that a worker answered a stop: the run ends or never comes."""
        charge = self.reservation_of(order)
        if charge is not None:
            charge.stop_confirmed_ms = charge.stop_confirmed_ms or now_ms

    def handle_pace_reply(self, order: PaceOrder) -> None:
        """Note that a worker answered a change of pace."""
        charge = self.reservation_of(order)
        if charge is not None:
            charge.speed_percent = order.speed_percent

    def claim_start_send(self, order: StartOrder, now_ms: int) -> bool:
        """Return whether a start has still to be sent (again), and note it.

        The worker may have closed since the run was placed there.
        """
        charge = self.reservation_of(order)
        if charge is None or charge.confirmed_ms or charge.is_stopping:
            return False
        if not self._grants_leases:
            return False
        worker = self.workers[order.worker_id]
        if worker.is_closing or self.is_domain_closed(worker):
            return False
        # Sending on to a silent worker would put off the end of its lease.
        quiet_ms = now_ms - worker.last_contact_ms
        if quiet_ms > self.term.timing.poll_wait_ms + POLL_GRACE_MS:
            return False
        charge.last_sent_ms = now_ms
        charge.sent_worker_ms = worker.clock.seen_worker_ms
        return True

    def should_send_stop(self, order: StopOrder) -> bool:
        """Return whether a stop has still to be sent (again)."""
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return False
        charge = worker.reservations.get(order.key)
        if charge is None:
            return order.key in worker.foreign_runs
        return not charge.stop_confirmed_ms

    def _note_rows(
        self, worker: Worker, listing: Listing, now_ms: int
    ) -> list[Order]:
        orders: list[Order] = []
        for ended in listing.ended:
            orders.extend(self._note_end(worker, ended, now_ms))
        for row in listing.running:
            orders.extend(self._note_running(worker, row, now_ms))
        return orders

    def _leave_slow(self, worker: Worker, now_ms: int) -> list[Order]:
        """Stop runs that would end sooner anew on another worker."""
        orders: list[Order] = []
        for charge in find_stragglers(worker, now_ms):
            step = self.step_of(charge.key.task_id)
            if step is None:
                continue
            task = step.tasks[charge.key.task_id.ordinal]
            if task.has_straggled:
                continue
            task.has_straggled = True
            self.log.run_too_slow(
                charge.key, worker.worker_id, charge.progress_percent
            )
            charge.is_stopping = True
            orders.append(StopOrder(worker.worker_id, charge.key))
        return orders

    def _note_verdict(
        self,
        worker: Worker,
        charge: Reservation,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> list[Order]:
        verdict = reply.verdict
        if verdict is StartVerdict.LOST:
            charge.has_lost_start = True
            # The same run again: the worker answers alike if it has it.
            return [order]
        if charge.has_lost_start and verdict in INCONCLUSIVE_VERDICTS:
            return self._keep_unproved(worker, charge, order, reply, now_ms)
        if verdict is StartVerdict.ACCEPTED:
            charge.confirmed_ms = now_ms
            self.mark_started(order.key)
        elif verdict is StartVerdict.OUTDATED and charge.has_lost_start:
            # An earlier sending may have run and ended already, which the
            # next list tells; the run cannot start any more.
            charge.stop_confirmed_ms = charge.stop_confirmed_ms or now_ms
        else:
            self._note_refused_start(worker, order, reply, now_ms)
        return []

    def _keep_unproved(
        self,
        worker: Worker,
        charge: Reservation,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> list[Order]:
        """Hold a run of which only the latest sending surely did nothing."""
        _avoid(worker, reply.verdict, now_ms)
        if reply.verdict is StartVerdict.NOT_SENT:
            return [order]
        name = reply.verdict.name
        self.log.start_refused(order.key, worker.worker_id, name)
        return [self.stop_uncertain_run(worker, charge)]

    def _note_end(
        self, worker: Worker, row: EndedRow, now_ms: int
    ) -> list[Order]:
        if row.number <= worker.last_end_number:
            return []
        worker.last_end_number = row.number
        self.change_number += 1
        worker.unacked_ends.append((row.number, self.change_number))
        worker.release(row.key)
        job = self.jobs.get(row.key.task_id.job_id)
        step = job.step_of(row.key.task_id) if job else None
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
            orders.extend(self._finish_elsewhere(step, task))
        if job.state.is_final:
            orders.extend(self.stop_job_runs(job))
        return orders

    def _finish_elsewhere(self, step: StepRun, task: Task) -> list[Order]:
        """Take a late end as done, and stop the run that replaced it.

        Also while the task waits: the end is acknowledged, so that nobody
        would tell of it again.
        """
        if task.phase is not TaskPhase.PLACED:
            step.finish(task)
            return []
        worker = self.workers.get(task.worker_id)
        key = RunKey(task.task_id, task.run)
        step.finish(task)
        charge = worker.reservations.get(key) if worker else None
        if charge is None or charge.is_stopping:
            return []
        charge.is_stopping = True
        return [StopOrder(task.worker_id, key)]

    def _note_running(
        self, worker: Worker, row: RunningRow, now_ms: int
    ) -> list[Order]:
        charge = worker.reservations.get(row.key)
        if charge is None:
            self.mark_started(row.key)
            return self._adopt(worker, row, now_ms)
        if not charge.is_listed or row.checkpoint != charge.checkpoint:
            self.update_checkpoint(charge, row.checkpoint)
        charge.confirmed_ms = charge.confirmed_ms or now_ms
        charge.is_listed = True
        charge.measurement = row.measurement
        charge.measured_ms = now_ms
        record_progress(charge, row.progress_percent, now_ms)
        return []

    def _adopt(
        self, worker: Worker, row: RunningRow, now_ms: int
    ) -> list[Order]:
        """Take over a run that somebody else started, or stop it."""
        task_id = row.key.task_id
        stop = StopOrder(worker.worker_id, row.key)
        job = self.jobs.get(task_id.job_id)
        step = job.step_of(task_id) if job else None
        if job is None or step is None:
            worker.foreign_runs.add(row.key)
            self.log.run_unknown(row.key, worker.worker_id)
            return [stop]
        charge = worker.reserve(row.key, step.spec, now_ms)
        charge.latest_finish_ms = step.latest_finish_ms
        charge.confirmed_ms = now_ms
        charge.is_listed = True
        charge.speed_percent = UNKNOWN_SPEED_PERCENT
        task = step.tasks[task_id.ordinal]
        is_wanted = not job.state.is_final and task.phase is TaskPhase.WAITING
        if is_wanted and row.key.run >= task.run:
            step.place(task, worker.worker_id, row.key.run)
            task.record_running(row.checkpoint)
            self.log.run_adopted(row.key, worker.worker_id)
            return []
        charge.is_stopping = True
        return [stop]

    def _return_missing(
        self, worker: Worker, present: set[RunKey], sent_ms: int
    ) -> None:
        """Give back runs that the worker certainly does not have.

        The look was sent after the start or the stop was answered, so a run
        that is neither running nor among the ends was never there.
        """
        for key, charge in tuple(worker.reservations.items()):
            answered_ms = charge.stop_confirmed_ms or charge.confirmed_ms
            if key not in present and 0 < answered_ms < sent_ms:
                self.requeue_run(worker, key, 'not listed')

    def _note_refused_start(
        self,
        worker: Worker,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> None:
        verdict = reply.verdict
        self.log.start_refused(order.key, worker.worker_id, verdict.name)
        if verdict is StartVerdict.GONE:
            self.end_incarnation(worker.worker_id, now_ms)
            return
        self.requeue_run(worker, order.key, verdict.name)
        if verdict is StartVerdict.NO_TICKET:
            step = self.step_of(order.key.task_id)
            if step is not None:
                self.tickets.invalidate(step.step_id, worker.worker_id)
            return
        _avoid(worker, verdict, now_ms)


def _was_sent_before(charge: Reservation) -> bool:
    """Return whether a run was sent to an earlier life only, and is barred."""
    return charge.is_stopping and not charge.last_sent_ms


def _is_other_life(
    worker: Worker, charge: Reservation, reply: StartReply
) -> bool:
    """Return whether a life answered that is not the one that was meant.

    Its clock alone may tell: an answer is written after the start was sent,
    thus not before what had been heard of that clock by then.
    """
    if reply.incarnation_ms and worker.registration.incarnation_ms:
        return reply.incarnation_ms != worker.registration.incarnation_ms
    return 0 < reply.clock_worker_ms < charge.sent_worker_ms


def _avoid(worker: Worker, verdict: StartVerdict, now_ms: int) -> None:
    """Send nothing to a worker for a while after it did not start a run."""
    if verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
        worker.record_failure(now_ms)
    worker.quarantined_until_ms = max(
        worker.quarantined_until_ms, now_ms + UNREACHABLE_BACKOFF_MS
    )


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


def _forgotten(worker: Worker, sent_ms: int) -> list[Reservation]:
    """Return runs whose starts are not sent any more and never answered."""
    charges = []
    for charge in worker.reservations.values():
        last_ms = max(charge.sent_ms, charge.last_sent_ms)
        is_open = not charge.confirmed_ms and not charge.is_stopping
        if is_open and sent_ms > last_ms + UNCONFIRMED_START_TIMEOUT_MS:
            charges.append(charge)
    return charges
