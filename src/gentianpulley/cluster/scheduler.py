"""The scheduler of one leader: jobs, workers, and the orders that follow.

It decides and does no input or output: callers hold one lock around every
call, tell it what was seen, and send the orders that it returns.

A run holds its charge on a worker from the moment it is ordered until its
end is certain: the worker listed the end, refused the start, answered a stop
of a run that it does not list, or its lease is provably over.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.harm import create_harm_model
from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    Listing,
    LookOrder,
    PaceOrder,
    RunKey,
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerFacts,
)
from gentianpulley.cluster.ordering import in_order
from gentianpulley.cluster.pacing import learn, pace_orders
from gentianpulley.cluster.placing import (
    PlacingView,
    candidates,
    Choice,
    Shape,
    shape_of,
)
from gentianpulley.cluster.timing import Timing
from gentianpulley.cluster.worker import (
    UNKNOWN_PERCENT,
    Worker,
    create_worker,
)
from gentianpulley.jobs.job import Job, StepRun, Task, TaskPhase
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog

Order = StartOrder | StopOrder | PaceOrder

RUN_BITS: Final = 16
"""Runs of one task that one leader can number; the leader's token stands
above them, so that numbers rise from leader to leader without a write."""

ENDS_IN_LISTING: Final = 500
"""Ends that a worker lists at a time; a full list may lack later ones."""

UNREACHABLE_MS: Final = 400
"""How long a worker gets nothing after a connection to it failed."""


@dataclass(frozen=True, slots=True)
class Reign:
    """One leader's time in office.

    `token` fences off earlier leaders. `roster` names the workers that they
    may have sent orders to.
    """

    token: int
    since_ms: int
    roster: frozenset[str]
    timing: Timing


class Scheduler:
    """All that one leader knows; not safe without the caller's lock."""

    def __init__(self, reign: Reign, log: EventLog) -> None:
        """Know no job and no worker yet."""
        self.reign = reign
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.closed_domains: frozenset[str] = frozenset()
        self.change_number = 0
        self.harm = create_harm_model()
        self._log = log
        self._unsettled = set(reign.roster)
        self._live: dict[str, Job] = {}
        self._first_run = reign.token << RUN_BITS

    # Jobs.

    def add_job(self, job: Job) -> None:
        """Take up an accepted job; a known one stays as it is."""
        job_id = job.spec.job_id
        if job_id in self.jobs:
            return
        self.jobs[job_id] = job
        if not job.state.is_final:
            self._live[job_id] = job

    def cancel(self, job_id: str) -> list[Order]:
        """Cancel a job and stop what runs of it."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return []
        job.cancel()
        return self._stop_runs(job)

    def changed_jobs(self) -> list[Job]:
        """Return the jobs whose records have to be written."""
        changed = [job for job in self.jobs.values() if job.is_changed]
        for job in changed:
            job.is_changed = False
            if job.state.is_final:
                self._live.pop(job.spec.job_id, None)
        return changed

    def note_saved(self, change_number: int) -> None:
        """Acknowledge the ends that went into records up to this number."""
        for worker in self.workers.values():
            ends = worker.unsaved_ends
            while ends and ends[0][1] <= change_number:
                worker.acked_number = ends.popleft()[0]

    def waiting_jobs(self) -> int:
        """Return how many jobs have not begun."""
        return sum(1 for job in self._live.values() if not job.has_begun)

    # Workers.

    def update_worker(self, facts: WorkerFacts, now_ms: int) -> list[Order]:
        """Note a worker's registration; a new life replaces the former."""
        known = self.workers.get(facts.worker_id)
        if known is None or _is_new_life(known.facts, facts):
            added = create_worker(facts, now_ms)
            if known is not None:
                self._bury(known, added, now_ms)
            self.workers[facts.worker_id] = added
            return [
                StopOrder(facts.worker_id, charge.key)
                for charge in added.charges.values()
            ]
        began_draining = facts.is_draining and not known.facts.is_draining
        known.facts = facts
        known.is_listed = True
        if began_draining:
            return self._clear_draining(known, now_ms)
        return []

    def unlist_worker(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker left the directory; its runs may go on."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            worker.unlisted_ms = now_ms

    def drop_life(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker answered that the life we knew is over."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self._return_all(worker, 'life over')

    def look_order(self, worker: Worker, wait_ms: int) -> LookOrder:
        """Return the next look at a worker; it renews the lease."""
        return LookOrder(
            self.reign.token,
            worker.acked_number,
            worker.clock.next_lease(self.reign.timing.lease_ms),
            wait_ms,
        )

    def lease_for(self, worker: Worker) -> int:
        """Return the lease that an order to the worker carries."""
        return worker.clock.next_lease(self.reign.timing.lease_ms)

    def note_listing(
        self, worker: Worker, listing: Listing, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Bring the ledger in line with what a worker lists."""
        worker.clock.note(listing.clock_worker_ms, now_ms)
        worker.heard_ms = now_ms
        present = {row.key for row in listing.running}
        worker.foreign &= present
        orders: list[Order] = []
        for ended in listing.ended:
            orders.extend(self._note_end(worker, ended, now_ms))
        for row in listing.running:
            orders.extend(self._note_running(worker, row, now_ms))
        if len(listing.ended) < ENDS_IN_LISTING:
            self._return_missing(worker, present, sent_ms)
        if worker.clock.lease_worker_ms:
            worker.is_fenced = True
            self._unsettled.discard(worker.worker_id)
        if learn(worker, self.harm, now_ms):
            orders.extend(pace_orders(worker, self.harm))
        return orders

    def note_lapses(self, now_ms: int) -> None:
        """Give back what ran on workers whose leases are surely over."""
        for worker in tuple(self.workers.values()):
            if worker.charges and worker.clock.has_lapsed(now_ms):
                self._return_all(worker, 'lease lapsed')
                worker.is_fenced = False
            unlisted_for_ms = now_ms - worker.unlisted_ms
            is_gone = unlisted_for_ms > self.reign.timing.handover_ms
            if not worker.is_listed and not worker.charges and is_gone:
                self.workers.pop(worker.worker_id, None)

    def note_start(
        self, order: StartOrder, reply: StartReply, now_ms: int
    ) -> None:
        """Note the answer to a start."""
        worker = self.workers.get(order.worker_id)
        charge = worker.charges.get(order.key) if worker else None
        if worker is None or charge is None:
            return
        if reply.clock_worker_ms:
            worker.clock.note(reply.clock_worker_ms, now_ms)
        if reply.verdict is StartVerdict.ACCEPTED:
            charge.settled_ms = now_ms
        elif reply.verdict is not StartVerdict.LOST:
            self._note_refused_start(worker, order, reply, now_ms)

    def note_stop(self, order: StopOrder, now_ms: int) -> None:
        """Note that a worker answered a stop: the run ends or never comes."""
        worker = self.workers.get(order.worker_id)
        charge = worker.charges.get(order.key) if worker else None
        if charge is not None:
            charge.barred_ms = charge.barred_ms or now_ms

    def note_pace(self, order: PaceOrder) -> None:
        """Note that a worker answered a change of pace."""
        worker = self.workers.get(order.worker_id)
        charge = worker.charges.get(order.key) if worker else None
        if charge is not None:
            charge.percent = order.percent

    def wants_start(self, order: StartOrder) -> bool:
        """Tell whether a start has still to be sent (again)."""
        worker = self.workers.get(order.worker_id)
        charge = worker.charges.get(order.key) if worker else None
        if charge is None:
            return False
        return not charge.settled_ms and not charge.is_stopping

    def wants_stop(self, order: StopOrder) -> bool:
        """Tell whether a stop has still to be sent (again)."""
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return False
        charge = worker.charges.get(order.key)
        if charge is None:
            return order.key in worker.foreign
        return not charge.barred_ms

    # Placing.

    def is_handover_over(self, now_ms: int) -> bool:
        """Tell whether nothing of an earlier leader can run unseen."""
        ended_ms = self.reign.since_ms + self.reign.timing.handover_ms
        return not self._unsettled or now_ms > ended_ms

    def plan(self, now_ms: int) -> list[StartOrder]:
        """Place waiting tasks and return the starts to be sent."""
        view = PlacingView(self.closed_domains, now_ms, self.harm)
        handover_over = self.is_handover_over(now_ms)
        orders: list[StartOrder] = []
        full: set[Shape] = set()
        for step in in_order(self._startable(now_ms), now_ms):
            shape = shape_of(step)
            is_free = handover_over or not step.job.is_inherited
            if is_free and shape not in full:
                orders.extend(self._place_step(step, view))
                if step.waiting and not step.spec.max_per_worker:
                    # A later step of this shape would find no room either.
                    full.add(shape)
        return orders

    def _startable(self, now_ms: int) -> list[StepRun]:
        steps: list[StepRun] = []
        for job in self._live.values():
            if job.state.is_final:
                continue
            if job.spec.schedule.occurrences:
                job.open_until(now_ms)
            steps.extend(job.startable_steps(now_ms))
        return steps

    def _place_step(self, step: StepRun, view: PlacingView) -> list[StartOrder]:
        allowed = candidates(self.workers.values(), step, view)
        if step.spec.is_gang:
            return self._place_gang(step, allowed, view)
        choice = Choice(allowed, step, view)
        orders = []
        for index in sorted(step.waiting):
            task = step.tasks[index]
            worker = choice.take(task)
            if worker is None:
                break
            run = max(self._first_run, task.run + 1)
            orders.append(self._order_start(worker, step, task, run, view))
            choice.give_back()
        return orders

    def _place_gang(
        self, step: StepRun, allowed: list[Worker], view: PlacingView
    ) -> list[StartOrder]:
        """Place all tasks of a gang under one run number, or none."""
        if len(step.waiting) < len(step.tasks):
            return []
        checkpoint = max(task.checkpoint for task in step.tasks)
        run = max(task.run for task in step.tasks) + 1
        choice = Choice(allowed, step, view)
        orders: list[StartOrder] = []
        for task in step.tasks:
            worker = choice.take(task)
            if worker is None:
                self._undo(step, orders)
                return []
            task.checkpoint = checkpoint
            orders.append(
                self._order_start(
                    worker, step, task, max(self._first_run, run), view
                )
            )
            choice.give_back()
        return orders

    def _undo(self, step: StepRun, orders: Iterable[StartOrder]) -> None:
        for order in orders:
            self.workers[order.worker_id].release(order.key)
            step.give_back(step.tasks[order.key.task_id.ordinal])

    def _order_start(
        self,
        worker: Worker,
        step: StepRun,
        task: Task,
        run: int,
        view: PlacingView,
    ) -> StartOrder:
        key = RunKey(task.task_id, run)
        worker.charge(key, step.spec, view.now_ms)
        step.place(task, worker.worker_id, run)
        return StartOrder(
            worker.worker_id, key, step.job.spec.payload, task.checkpoint
        )

    # What the workers list.

    def _note_end(
        self, worker: Worker, row: EndedRow, now_ms: int
    ) -> list[Order]:
        if row.number <= worker.seen_number:
            return []
        worker.seen_number = row.number
        self.change_number += 1
        worker.unsaved_ends.append((row.number, self.change_number))
        worker.release(row.key)
        job = self.jobs.get(row.key.task_id.job_id)
        step = job.step_of(row.key.task_id) if job else None
        if job is None or step is None:
            return []
        task = step.tasks[row.key.task_id.ordinal]
        self._log.run_ended(row.key, worker.worker_id, row.cause.value)
        is_current = _is_current(task, worker, row.key)
        if row.cause is EndCause.FAILED:
            worker.note_failed(now_ms)
            job.note_failure(step, task, row.key.run, worker.worker_id)
        if is_current:
            _apply_end(worker, step, task, row)
        if job.state.is_final:
                return self._stop_runs(job)
        return []

    def _note_running(
        self, worker: Worker, row: RunningRow, now_ms: int
    ) -> list[Order]:
        charge = worker.charges.get(row.key)
        if charge is None:
            return self._adopt(worker, row, now_ms)
        charge.settled_ms = charge.settled_ms or now_ms
        charge.gauge = row.gauge
        charge.gauge_ms = now_ms
        charge.progress_percent = row.progress_percent
        job = self.jobs.get(row.key.task_id.job_id)
        step = job.step_of(row.key.task_id) if job else None
        if step is not None and row.checkpoint:
            step.tasks[row.key.task_id.ordinal].checkpoint = row.checkpoint
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
            worker.foreign.add(row.key)
            self._log.run_unknown(row.key, worker.worker_id)
            return [stop]
        charge = worker.charge(row.key, step.spec, now_ms)
        charge.settled_ms = now_ms
        charge.percent = UNKNOWN_PERCENT
        task = step.tasks[task_id.ordinal]
        is_wanted = not job.state.is_final and task.phase is TaskPhase.WAITING
        if is_wanted and row.key.run >= task.run:
            step.place(task, worker.worker_id, row.key.run)
            task.checkpoint = row.checkpoint or task.checkpoint
            self._log.run_adopted(row.key, worker.worker_id)
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
        for key, charge in tuple(worker.charges.items()):
            answered_ms = charge.barred_ms or charge.settled_ms
            if key not in present and 0 < answered_ms < sent_ms:
                self._return(worker, key, 'not listed')

    def _note_refused_start(
        self,
        worker: Worker,
        order: StartOrder,
        reply: StartReply,
        now_ms: int,
    ) -> None:
        verdict = reply.verdict
        self._log.start_refused(order.key, worker.worker_id, verdict.name)
        if verdict is StartVerdict.GONE:
            self.drop_life(worker.worker_id, now_ms)
            return
        self._return(worker, order.key, verdict.name)
        if verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
            worker.note_failed(now_ms)
        worker.quarantined_until_ms = max(
            worker.quarantined_until_ms, now_ms + UNREACHABLE_MS
        )

    # Ends of runs and lives.

    def _stop_runs(self, job: Job) -> list[Order]:
        """Stop every run of a job that has come to its end."""
        orders: list[Order] = []
        for step in job.steps.values():
            for worker_id in tuple(step.per_worker):
                worker = self.workers.get(worker_id)
                if worker is not None:
                    orders.extend(_stops(worker, job.spec.job_id))
        return orders

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

    def _bury(self, former: Worker, added: Worker, now_ms: int) -> None:
        """End a former life; starts without an answer may yet arrive."""
        self._log.worker_reborn(former.worker_id)
        for key, charge in tuple(former.charges.items()):
            if not charge.settled_ms:
                kept = added.charge(key, charge.spec, now_ms)
                kept.is_stopping = True
                former.release(key)
        self._return_all(former, 'life over')
        self._unsettled.discard(former.worker_id)

    def _return_all(self, worker: Worker, reason: str) -> None:
        for key in tuple(worker.charges):
            self._return(worker, key, reason)

    def _return(self, worker: Worker, key: RunKey, reason: str) -> None:
        """Release a run that is surely not there and let its task wait."""
        worker.release(key)
        self._log.run_returned(key, worker.worker_id, reason)
        step = self._step_of(key.task_id)
        if step is None:
            return
        task = step.tasks[key.task_id.ordinal]
        if _is_current(task, worker, key):
            step.give_back(task)
            step.job.is_changed |= bool(task.checkpoint)

    def _step_of(self, task_id: TaskId) -> StepRun | None:
        job = self.jobs.get(task_id.job_id)
        return job.step_of(task_id) if job else None


def create_scheduler(reign: Reign, log: EventLog) -> Scheduler:
    """Return a scheduler for one leader's reign."""
    return Scheduler(reign, log)


def _is_new_life(known: WorkerFacts, facts: WorkerFacts) -> bool:
    if facts.born_ms and known.born_ms:
        return facts.born_ms != known.born_ms
    return facts.address != known.address


def _is_current(task: Task, worker: Worker, key: RunKey) -> bool:
    """Tell whether a run is the one that the task's phase speaks of."""
    if task.phase is TaskPhase.PLACED:
        return task.run == key.run and task.worker_id == worker.worker_id
    return task.phase is TaskPhase.WAITING and key.run >= task.run


def _apply_end(
    worker: Worker, step: StepRun, task: Task, row: EndedRow
) -> None:
    task.run = max(task.run, row.key.run)
    if row.cause is EndCause.DONE and not step.spec.is_endless:
        worker.note_done()
        step.finish(task)
        return
    if row.checkpoint:
        task.checkpoint = row.checkpoint
        step.job.is_changed = True
    step.give_back(task)


def _stops(worker: Worker, job_id: str) -> list[StopOrder]:
    orders = []
    for charge in worker.charges.values():
        if charge.key.task_id.job_id == job_id and not charge.is_stopping:
            charge.is_stopping = True
            orders.append(StopOrder(worker.worker_id, charge.key))
    return orders
