"""Reconciles one owned worker: takes it over, renews leases, resolves tasks.

One thread for each worker makes one call per pass, regardless of the number of
its tasks: the renewal returns the worker's task list, against which the
reservations and the task table are reconciled.
"""

from contextlib import ExitStack
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.deadline import deadline_in, has_passed, now_ms
from gentianpulley.errors import (
    StoreError,
    WorkerError,
    WorkerRefusedError,
)
from gentianpulley.job import StoredJob, order_of
from gentianpulley.job_store import JobStore
from gentianpulley.logs import EventLog
from gentianpulley.owned_worker import OwnedWorker, is_ownership_lost
from gentianpulley.result_code import WORKER_REFUSED
from gentianpulley.start_gate import StartGate
from gentianpulley.task import running_report
from gentianpulley.task_finalizer import ANSWER_RETENTION_MS
from gentianpulley.task_entry import TaskEntry, new_entry
from gentianpulley.worker import TaskList, TaskState
from gentianpulley.worker_fleet import WorkerFleet

RENEW_INTERVAL_S: Final = 1.0
MAX_CLOCK_SKEW_MS: Final = 500
"""Maximum difference between the clocks of an instance and a worker."""

LEASE_EXPIRY_MARGIN_MS: Final = 2000


class WorkerReconciler(BackgroundLoop):
    """The thread that reconciles one owned worker."""

    def __init__(
        self,
        worker: OwnedWorker,
        fleet: WorkerFleet,
        jobs: JobStore,
        gate: StartGate,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__(f'keeper-{worker.name}', RENEW_INTERVAL_S, log)
        self.worker = worker
        self._fleet = fleet
        self._jobs = jobs
        self._gate = gate
        self._is_taken_over = False
        self._are_jobs_adopted = False

    def step(self) -> None:
        """Run one pass; a fence by another owner ends the thread."""
        try:
            self._run_pass()
        except WorkerRefusedError as refused:
            self.log.worker_trouble(self.worker.name, refused.text)
            if is_ownership_lost(refused):
                self._fleet.remove_worker(self.worker.name)
                self.stop()
        except WorkerError as exc:
            self.log.worker_trouble(self.worker.name, exc.text)
            self.worker.is_suspect = True
            self._resolve_expired()
        except StoreError as failed:
            self.log.store_trouble(failed.text)

    def _run_pass(self) -> None:
        if not self._is_taken_over:
            self._take_over()
        requested_ms = now_ms()
        listed = self.worker.renew(self.worker.pop_due_forgets())
        self._fleet.table.remove_expired()
        if listed.boot_id != self.worker.boot_id:
            self._handle_reboot()
            return
        self._reconcile_tasks(listed, requested_ms)
        if not self._are_jobs_adopted:
            self._adopt_jobs(listed)
        if self._should_drain():
            self._evict_resumable()

    def _should_drain(self) -> bool:
        """Return whether resumable work has to move to another worker."""
        return (
            self._gate.domain_is_out()
            or not self.worker.may_start
            or self._fleet.is_leaving(self.worker.name)
        )

    def _take_over(self) -> None:
        listed = self.worker.take_over()
        self._is_taken_over = True
        self.log.worker_owned(
            self.worker.name, self.worker.epoch, len(listed.tasks)
        )

    def _adopt_jobs(self, listed: TaskList) -> None:
        """Add the jobs that a previous owner placed on the worker to the table.

        The fence ensures that no start from a previous owner can still arrive,
        so a job that the worker does not list has not run in this boot.
        """
        states = {task.task_id: task.state for task in listed.tasks}
        for stored in self._jobs.placed_on(self.worker.name):
            entry = _adopted_entry(stored, self.worker.name)
            _, is_new = self._fleet.table.add(entry)
            if is_new:
                self._fleet.table.bind(entry, self.worker.name)
            if is_new and entry.task_id not in states:
                self._resolve_unlisted(entry, stored)
        self._are_jobs_adopted = True

    def _resolve_unlisted(self, entry: TaskEntry, stored: StoredJob) -> None:
        placement = stored.job.placement
        same_boot = (
            placement is not None and placement.boot_id == self.worker.boot_id
        )
        if same_boot:
            self._fleet.finalizer.mark_refused(
                entry, self.worker, WORKER_REFUSED
            )
        else:
            self._fleet.finalizer.mark_lost(entry, self.worker)

    def _reconcile_tasks(self, listed: TaskList, requested_ms: int) -> None:
        entries = self._fleet.table.active_on(self.worker.name)
        tracked_ids = frozenset(entry.task_id for entry in entries)
        self.worker.reconcile_reservations(listed, tracked_ids)
        states = {task.task_id: task.state for task in listed.tasks}
        for entry in entries:
            state = states.get(entry.task_id)
            if state is None:
                self._settle_absent(entry, requested_ms)
            else:
                self._resolve_listed(entry, state)
        self._schedule_unknown_forgets(listed)

    def _resolve_listed(self, entry: TaskEntry, state: TaskState) -> None:
        if state is TaskState.RUNNING:
            entry.confirm()
            entry.report = running_report(entry.task_id, self.worker.name)
        else:
            self._fetch_answer(entry)

    def _settle_absent(self, entry: TaskEntry, requested_ms: int) -> None:
        """Resolve a task absent from the list requested at `requested_ms`.

        The list may be older than the task's start, so only what happened
        before the request counts. A task that was confirmed by then is lost. A
        start whose window and clock margin had ended by then can no longer
        take effect.
        """
        if not entry.was_sent:
            return
        if entry.is_confirmed:
            if entry.confirmed_ms < requested_ms:
                self._fleet.finalizer.mark_lost(entry, self.worker)
        elif entry.start_deadline_ms + MAX_CLOCK_SKEW_MS < requested_ms:
            self._fleet.finalizer.mark_refused(
                entry, self.worker, WORKER_REFUSED
            )

    def _fetch_answer(self, entry: TaskEntry) -> None:
        """Fetch the final status unless a waiting thread is doing so."""
        if not entry.poll_lock.acquire(blocking=False):
            return
        with ExitStack() as stack:
            stack.callback(entry.poll_lock.release)
            status = self.worker.conn.status(entry.task_id, 0)
        self._fleet.finalizer.apply_status(entry, self.worker, status)

    def _evict_resumable(self) -> None:
        """Checkpoint every resumable task, so that it resumes elsewhere."""
        for entry in self._fleet.table.active_on(self.worker.name):
            stored = entry.stored
            resumable = stored is not None and stored.job.resumable
            if resumable and entry.is_confirmed:
                self._evict(entry, 'leaving')

    def _evict(self, entry: TaskEntry, reason: str) -> None:
        status = self.worker.conn.checkpoint(entry.task_id, self.worker.epoch)
        if status.state is not TaskState.RUNNING:
            self.log.task_evicted(entry.task_id, self.worker.name, reason)
        self._fleet.finalizer.apply_status(entry, self.worker, status)

    def _handle_reboot(self) -> None:
        """Prepare to take over again a worker that has lost its state."""
        self.worker.close()
        for entry in self._fleet.table.active_on(self.worker.name):
            if entry.was_sent:
                self._fleet.finalizer.mark_lost(entry, self.worker)
        self._is_taken_over = False
        self._are_jobs_adopted = False

    def _resolve_expired(self) -> None:
        """Resolve tasks whose leases expired on an unresponsive worker.

        A worker stops tasks whose leases expire, so tasks that may run again
        are run again. The outcome of tasks that must not run again remains
        unknown until the worker responds.
        """
        expired_ms = self.worker.lease_deadline_ms + LEASE_EXPIRY_MARGIN_MS
        if not has_passed(expired_ms):
            return
        for entry in self._fleet.table.active_on(self.worker.name):
            if entry.was_sent:
                self._fleet.finalizer.mark_lost(entry, self.worker)

    def _schedule_unknown_forgets(self, listed: TaskList) -> None:
        """Let the worker discard ended tasks without an entry after a delay."""
        for task in listed.tasks:
            is_tracked = self._fleet.table.find(task.task_id) is not None
            if task.state.is_final() and not is_tracked:
                self.worker.schedule_forget(
                    task.task_id, deadline_in(ANSWER_RETENTION_MS)
                )


def _adopted_entry(stored: StoredJob, worker: str) -> TaskEntry:
    entry = new_entry(order_of(stored, b''))
    entry.stored = stored
    entry.was_sent = True
    entry.confirm()
    entry.report = running_report(entry.task_id, worker)
    return entry
