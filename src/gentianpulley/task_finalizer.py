"""Ends tasks: publishes their reports and updates their job records."""

import threading
from typing import Final

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import WorkerSilentError
from gentianpulley.job import StoredJob, failure_result, result_of
from gentianpulley.job_store import JobStore, JobListener
from gentianpulley.logs import EventLog
from gentianpulley.owned_worker import OwnedWorker
from gentianpulley.result_code import (
    CANCELLED,
    OK,
    OUTCOME_UNKNOWN,
    STOPPED,
    TASK_FAILED,
    ResultCode,
)
from gentianpulley.task import (
    TaskPhase,
    TaskReport,
    not_run_report,
    running_report,
)
from gentianpulley.task_entry import TaskEntry, TaskTable
from gentianpulley.worker import TaskState, TaskStatus

ANSWER_RETENTION_MS: Final = 3_600_000
"""How long a worker keeps the answer of work with a record."""

UNRECORDED_ANSWER_RETENTION_MS: Final = 5000
"""How long a worker keeps other work: longer than a start window."""

ANSWER_STATES: Final = frozenset((TaskState.FINISHED, TaskState.FAILED))


class TaskFinalizer:
    """Ends each task once, regardless of who detects its end first."""

    def __init__(
        self,
        member_id: str,
        table: TaskTable,
        jobs: JobStore,
        on_requeued: JobListener,
        log: EventLog,
    ) -> None:
        """Pass jobs that go back to their queue to `on_requeued`."""
        self._member_id = member_id
        self._table = table
        self._jobs = jobs
        self._on_requeued = on_requeued
        self._log = log
        self._lock = threading.Lock()

    def apply_status(
        self, entry: TaskEntry, worker: OwnedWorker, status: TaskStatus
    ) -> TaskReport:
        """Update an entry to match the status that its worker reports."""
        if status.state is TaskState.RUNNING:
            entry.report = running_report(entry.task_id, worker.name)
        elif status.state in ANSWER_STATES:
            self._mark_answered(entry, worker, status)
        elif status.checkpoint:
            self.mark_evicted(entry, worker, status.checkpoint)
        elif status.state is TaskState.STOPPED:
            self.mark_cancelled(entry, worker, has_run=True)
        else:
            self.mark_lost(entry, worker)
        return entry.report

    def mark_refused(
        self, entry: TaskEntry, worker: OwnedWorker, code: ResultCode
    ) -> TaskReport:
        """End a task that is certain not to have started."""
        if self._start_ending(entry):
            worker.release(entry.task_id)
            self._requeue(entry, '', evicted=False)
            report = not_run_report(entry.task_id, code)
            self._publish(entry, worker, report)
            self._table.remove(entry)
        return entry.report

    def mark_cancelled(
        self, entry: TaskEntry, worker: OwnedWorker, *, has_run: bool
    ) -> TaskReport:
        """End a task that a caller cancelled."""
        if self._start_ending(entry):
            code = STOPPED if has_run else CANCELLED
            worker.release(entry.task_id)
            if entry.stored is not None:
                ending = failure_result(code)
                self._jobs.finish(entry.stored, ending, _ignore)
            self._publish(entry, worker, _ended_report(entry, code))
        return entry.report

    def mark_evicted(
        self, entry: TaskEntry, worker: OwnedWorker, checkpoint: str
    ) -> TaskReport:
        """End a task that was checkpointed; its job resumes elsewhere."""
        if self._start_ending(entry):
            worker.release(entry.task_id)
            self._requeue(entry, checkpoint, evicted=True)
            self._publish(entry, worker, _lost_report(entry))
        return entry.report

    def mark_lost(self, entry: TaskEntry, worker: OwnedWorker) -> TaskReport:
        """End a task that started and can no longer run, without an answer."""
        if not self._start_ending(entry):
            return entry.report
        worker.release(entry.task_id)
        stored = entry.stored
        if stored is not None and not stored.job.may_run_again:
            ending = failure_result(OUTCOME_UNKNOWN)
            self._jobs.finish(stored, ending, _ignore)
            report = _ended_report(entry, OUTCOME_UNKNOWN)
        else:
            self._requeue(entry, '', evicted=False)
            report = _lost_report(entry)
        self._publish(entry, worker, report)
        return report

    def mark_moved(self, entry: TaskEntry) -> None:
        """Release a task whose worker now has another owner.

        Its report is kept, so that the same order, if sent again, starts
        nothing. A job with a record leaves no report behind: its record
        refuses a second placement, and this owner may have to adopt the job
        later.
        """
        if not self._start_ending(entry):
            return
        entry.finish(
            TaskReport(
                entry.task_id,
                TaskPhase.MOVED,
                OUTCOME_UNKNOWN,
                worker=entry.worker,
            )
        )
        if entry.stored is None:
            self._table.mark_ended(entry)
        else:
            self._table.remove(entry)

    def revert_placement(self, stored: StoredJob) -> None:
        """Requeue a job whose placement was recorded but not used."""
        requeued = stored.job.requeue(self._member_id, '', evicted=False)
        self._jobs.requeue(stored, requeued, self._on_requeued)

    def _mark_answered(
        self, entry: TaskEntry, worker: OwnedWorker, status: TaskStatus
    ) -> None:
        if not self._start_ending(entry):
            return
        succeeded = status.state is TaskState.FINISHED
        report = TaskReport(
            task_id=entry.task_id,
            phase=TaskPhase.FINISHED,
            code=OK if succeeded else TASK_FAILED,
            worker=worker.name,
            answer=status.answer,
            digest=status.digest,
        )
        worker.release(entry.task_id)
        if entry.stored is not None:
            self._jobs.finish(entry.stored, result_of(report), _ignore)
        self._publish(entry, worker, report)

    def _start_ending(self, entry: TaskEntry) -> bool:
        with self._lock:
            if entry.is_ending:
                return False
            entry.is_ending = True
            return True

    def _requeue(
        self, entry: TaskEntry, checkpoint: str, *, evicted: bool
    ) -> None:
        stored = entry.stored
        if stored is None:
            return
        requeued = stored.job.requeue(
            self._member_id, checkpoint, evicted=evicted
        )
        self._jobs.requeue(stored, requeued, self._on_requeued)

    def _publish(
        self, entry: TaskEntry, worker: OwnedWorker, report: TaskReport
    ) -> None:
        self._log.task_ended(entry.task_id, worker.name, report.code)
        retention_ms = (
            ANSWER_RETENTION_MS
            if entry.stored
            else UNRECORDED_ANSWER_RETENTION_MS
        )
        worker.schedule_forget(entry.task_id, deadline_in(retention_ms))
        entry.finish(report)
        self._table.mark_ended(entry)


def report_of_untracked_task(
    task_id: str, worker: str, status: TaskStatus
) -> TaskReport:
    """Report a task that its worker has but this owner's table has not."""
    if status.task_id != task_id:
        raise WorkerSilentError(task_id)
    if status.state is TaskState.RUNNING:
        return running_report(task_id, worker)
    if status.state not in ANSWER_STATES:
        return TaskReport(
            task_id, TaskPhase.LOST, OUTCOME_UNKNOWN, worker=worker
        )
    succeeded = status.state is TaskState.FINISHED
    return TaskReport(
        task_id=task_id,
        phase=TaskPhase.FINISHED,
        code=OK if succeeded else TASK_FAILED,
        worker=worker,
        answer=status.answer,
        digest=status.digest,
    )


def _lost_report(entry: TaskEntry) -> TaskReport:
    return TaskReport(
        entry.task_id, TaskPhase.LOST, OUTCOME_UNKNOWN, worker=entry.worker
    )


def _ended_report(entry: TaskEntry, code: ResultCode) -> TaskReport:
    phase = TaskPhase.NOT_RUN if code is CANCELLED else TaskPhase.UNKNOWN
    return TaskReport(
        entry.task_id, phase, code, code.meaning, worker=entry.worker
    )


def _ignore(stored: StoredJob) -> None:
    """Do nothing further once a record is finished."""
