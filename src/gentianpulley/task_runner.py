"""The owner's side of a task: admit, record, start, wait, cancel, evict."""

from concurrent.futures import Future
from typing import Final

import msgspec

from gentianpulley.deadline import ms_left
from gentianpulley.errors import (
    RequestRefusedError,
    StoreError,
    WorkerError,
    WorkerRefusedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.job import Job, Placement, StoredJob, decode_job
from gentianpulley.job_store import JobStore, write_timeout_s
from gentianpulley.logs import EventLog
from gentianpulley.owned_worker import OwnedWorker, is_ownership_lost
from gentianpulley.result_code import (
    BAD_REQUEST,
    NO_ROOM,
    OUTCOME_UNKNOWN,
    RECORD_CHANGED,
    STORE_UNAVAILABLE,
    WORKER_REFUSED,
)
from gentianpulley.start_gate import StartGate, start_deadline_ms
from gentianpulley.store import WriteResult
from gentianpulley.task import (
    TaskOrder,
    TaskPhase,
    TaskReport,
    not_run_report,
    running_report,
)
from gentianpulley.task_finalizer import TaskFinalizer, report_of_untracked_task
from gentianpulley.task_entry import TaskEntry, TaskTable, new_entry
from gentianpulley.worker import TaskState
from gentianpulley.worker_fleet import WorkerFleet

START_WINDOW_MS: Final = 2000
RECORD_TIMEOUT_MS: Final = 2500


class TaskRunner:
    """Runs the tasks of this owner's workers.

    A start passes four steps, each of which can refuse it: the gate, the
    reservation, the job record, and the gate again, because writing the record
    may have taken a while. Only then is the command sent.
    """

    def __init__(
        self,
        member_id: str,
        gate: StartGate,
        fleet: WorkerFleet,
        jobs: JobStore,
        log: EventLog,
    ) -> None:
        """Use the fleet's task table and its finalizer."""
        self._member_id = member_id
        self._gate = gate
        self._fleet = fleet
        self._jobs = jobs
        self._log = log
        self._table: TaskTable = fleet.table
        self._ending: TaskFinalizer = fleet.finalizer

    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Place and start a task; waits up to `wait_ms` for its answer."""
        entry, is_new = self._table.add(new_entry(order))
        if not is_new:
            return self._wait_on(entry, wait_ms)
        try:
            return self._place_and_start(entry, wait_ms)
        except RequestRefusedError as exc:
            entry.finish(not_run_report(order.task_id, exc.code, exc.text))
            self._table.remove(entry)
        return entry.report

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> TaskReport:
        """Wait up to `wait_ms` for the end of a task."""
        entry = self._table.find(task_id)
        if entry is not None and entry.report.phase is not TaskPhase.MOVED:
            return self._wait_on(entry, wait_ms)
        owned = self._fleet.find(worker)
        if owned is None or not owned.is_taken_over:
            return TaskReport(
                task_id, TaskPhase.MOVED, OUTCOME_UNKNOWN, worker=worker
            )
        try:
            status = owned.conn.status(task_id, wait_ms)
        except WorkerError as exc:
            self._log.worker_trouble(worker, exc.text)
            return running_report(task_id, worker)
        return report_of_untracked_task(task_id, worker, status)

    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Stop a task and report how it ended.

        A task whose start command has not been sent yet is reported as
        running; the caller may request the cancellation again.
        """
        owned = self._fleet.find(worker)
        entry = self._table.find(task_id)
        if owned is None or entry is None:
            return TaskReport(
                task_id, TaskPhase.MOVED, OUTCOME_UNKNOWN, worker=worker
            )
        if not entry.was_sent:
            return entry.report
        try:
            status = owned.conn.stop(task_id, owned.epoch)
        except WorkerError as exc:
            self._log.worker_trouble(worker, exc.text)
            return entry.report
        if status.state is TaskState.ABSENT:
            return self._ending.mark_cancelled(entry, owned, has_run=False)
        return self._ending.apply_status(entry, owned, status)

    def _place_and_start(self, entry: TaskEntry, wait_ms: int) -> TaskReport:
        self._check_gate(entry.order)
        worker = self._fleet.admit(entry)
        if worker is None:
            raise RequestRefusedError(NO_ROOM, NO_ROOM.meaning)
        try:
            self._record(entry, worker)
        except RequestRefusedError:
            worker.release(entry.task_id)
            raise
        refusal = self._gate.refusal(entry.order)
        if refusal is not None:
            return self._ending.mark_refused(entry, worker, refusal.code)
        return self._send(entry, worker, wait_ms)

    def _check_gate(self, order: TaskOrder) -> None:
        refusal = self._gate.refusal(order)
        if refusal is not None:
            raise RequestRefusedError(refusal.code, refusal.detail)

    def _record(self, entry: TaskEntry, worker: OwnedWorker) -> None:
        """Write the placement to the job record before the start."""
        order = entry.order
        if not order.record:
            return
        try:
            queued = StoredJob(decode_job(order.record), order.record_revision)
        except msgspec.DecodeError as exc:
            raise RequestRefusedError(BAD_REQUEST, str(exc)) from exc
        placement = Placement(
            worker=worker.name,
            boot_id=worker.boot_id,
            failure_domain=self._gate.failure_domain,
            owner=self._member_id,
            epoch=worker.epoch,
            start_before_ms=order.start_before_ms,
        )
        placed = queued.job.place(placement)
        fut = self._jobs.place(queued, placement)
        write_result = self._await_write(fut, placed, order)
        if not write_result.applied:
            raise RequestRefusedError(RECORD_CHANGED, RECORD_CHANGED.meaning)
        entry.stored = StoredJob(placed, write_result.revision)

    def _await_write(
        self, fut: 'Future[WriteResult]', placed: Job, order: TaskOrder
    ) -> WriteResult:
        """Wait for the write; undo it if it takes effect after the timeout."""
        timeout_ms = min(RECORD_TIMEOUT_MS, ms_left(order.start_before_ms))
        try:
            return fut.result(write_timeout_s(timeout_ms))
        except TimeoutError as late:
            fut.add_done_callback(
                lambda done: self._undo_late_write(done, placed)
            )
            raise RequestRefusedError(
                STORE_UNAVAILABLE, STORE_UNAVAILABLE.meaning
            ) from late
        except StoreError as exc:
            raise RequestRefusedError(STORE_UNAVAILABLE, exc.text) from exc

    def _undo_late_write(
        self, done: 'Future[WriteResult]', placed: Job
    ) -> None:
        if done.exception() is None and done.result().applied:
            self._ending.revert_placement(
                StoredJob(placed, done.result().revision)
            )

    def _send(
        self, entry: TaskEntry, worker: OwnedWorker, wait_ms: int
    ) -> TaskReport:
        entry.start_deadline_ms = start_deadline_ms(
            entry.order, START_WINDOW_MS
        )
        entry.was_sent = True
        entry.report = running_report(entry.task_id, worker.name)
        self._log.task_sent(entry.task_id, worker.name, worker.epoch)
        try:
            status = worker.start(entry, wait_ms)
        except WorkerUnreachableError as unreachable:
            self._log.worker_trouble(worker.name, unreachable.text)
            worker.is_suspect = True
            return self._ending.mark_refused(entry, worker, WORKER_REFUSED)
        except WorkerRefusedError as exc:
            report = self._ending.mark_refused(entry, worker, exc.code)
            if is_ownership_lost(exc):
                self._fleet.remove_worker(worker.name)
            return report
        except WorkerSilentError as silent:
            self._log.worker_trouble(worker.name, silent.text)
            return self._send_again(entry, worker)
        entry.confirm()
        return self._ending.apply_status(entry, worker, status)

    def _send_again(self, entry: TaskEntry, worker: OwnedWorker) -> TaskReport:
        """Resolve a start without a reply on a new connection.

        The worker never starts a task id twice, so it is safe to send the same
        command again. If this fails too, the worker's next task list resolves
        the start.
        """
        try:
            status = worker.start(entry, 0)
        except WorkerRefusedError as exc:
            if is_ownership_lost(exc):
                self._fleet.remove_worker(worker.name)
                return entry.report
            return self._ending.mark_refused(entry, worker, exc.code)
        except WorkerError as failed:
            self._log.worker_trouble(worker.name, failed.text)
            return entry.report
        entry.confirm()
        return self._ending.apply_status(entry, worker, status)

    def _wait_on(self, entry: TaskEntry, wait_ms: int) -> TaskReport:
        """Wait for an entry; one thread at a time polls the worker."""
        worker = self._fleet.find(entry.worker)
        if entry.ended.is_set() or not entry.is_confirmed or worker is None:
            return entry.wait(wait_ms)
        if not entry.poll_lock.acquire(blocking=False):
            return entry.wait(wait_ms)
        try:
            status = worker.conn.status(entry.task_id, wait_ms)
        except WorkerError as exc:
            self._log.worker_trouble(worker.name, exc.text)
            return entry.report
        finally:
            entry.poll_lock.release()
        return self._ending.apply_status(entry, worker, status)
