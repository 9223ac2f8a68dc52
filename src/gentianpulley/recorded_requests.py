"""Serves work that needs a job record: at most once, exclusive, resumable."""

import time
from dataclasses import dataclass
from typing import Final

from gentianpulley.background import Backoff
from gentianpulley.cfg import ClusterCfg
from gentianpulley.deadline import deadline_in, has_passed, seconds_left
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreUnreachableError,
)
from gentianpulley.job import (
    Job,
    JobState,
    StoredJob,
    new_job,
    failure_result,
)
from gentianpulley.job_queue import JobQueue
from gentianpulley.job_store import JobStore
from gentianpulley.logs import EventLog
from gentianpulley.request import Request
from gentianpulley.request_report import (
    RequestReport,
    plain_report,
    report_of_job,
    report_of_task,
)
from gentianpulley.result_code import (
    ANSWER_GONE,
    CANCELLED,
    KEY_CONFLICT,
    RECORD_UNSETTLED,
    STORE_UNAVAILABLE,
    UNKNOWN_KEY,
    Outcome,
    ResultCode,
)
from gentianpulley.rule_evaluation import Subject, keep_until_ms
from gentianpulley.task import TaskPhase, TaskReport, running_report
from gentianpulley.task_client import TaskClient

CREATE_TIMEOUT_MS: Final = 2500
INITIAL_POLL_DELAY_S: Final = 0.02
MAX_POLL_DELAY_S: Final = 0.5
MAX_TASK_WAIT_MS: Final = 1000
FETCH_TIMEOUT_MS: Final = 3000
_CONCLUSIVE_PHASES: Final = frozenset((TaskPhase.RUNNING, TaskPhase.FINISHED))


@dataclass(frozen=True, slots=True)
class _Observation:
    """A report, and whether it is final for the request."""

    report: RequestReport
    is_final: bool
    running: TaskReport | None = None


class RecordedRequests:
    """Accepts, awaits and cancels requests that have records."""

    def __init__(
        self,
        member_id: str,
        jobs: JobStore,
        queue: JobQueue,
        task_client: TaskClient,
        log: EventLog,
    ) -> None:
        """Coordinate new jobs as `member_id`."""
        self._member_id = member_id
        self._jobs = jobs
        self._queue = queue
        self._task_client = task_client
        self._log = log
        self._is_closing = False

    def stop_waiting(self) -> None:
        """Return the current state of their requests to all waiting callers."""
        self._is_closing = True

    def submit(
        self, req: Request, cfg: ClusterCfg, wait_until_ms: int
    ) -> RequestReport:
        """Record a request, place it, and wait until `wait_until_ms`.

        A second request with the same key and body joins the first; one with a
        different body is refused.
        """
        work_class = cfg.classes[req.work_class]
        subject = Subject(req.work_class, req.data_tags)
        job = new_job(
            req, work_class, self._member_id, keep_until_ms(cfg, subject)
        )
        retry_until_ms = min(req.deadline_ms, deadline_in(CREATE_TIMEOUT_MS))
        try:
            created = self._jobs.create(job, req.payload, retry_until_ms)
        except StoreUnreachableError as unreachable:
            return plain_report(
                req.request_key, STORE_UNAVAILABLE, unreachable.text
            )
        except StoreAnswerLostError as lost:
            return plain_report(req.request_key, RECORD_UNSETTLED, lost.text)
        except StoreError as exc:
            return plain_report(req.request_key, STORE_UNAVAILABLE, exc.text)
        if not created.is_new:
            return self._join(created.stored, job, wait_until_ms)
        queued = self._queue.add(created.stored, req.payload)
        running = self._queue.dispatch(queued)
        return self.wait_for_end(req.request_key, wait_until_ms, running)

    def wait_for_end(
        self,
        request_key: str,
        wait_until_ms: int,
        running: TaskReport | None = None,
    ) -> RequestReport:
        """Return a request's report, waiting for its end if it has not ended.

        `running` is the report of the task if there is one; otherwise the
        record in the store is read first.
        """
        backoff = Backoff(INITIAL_POLL_DELAY_S, MAX_POLL_DELAY_S)
        observation = self._first_observation(request_key, running)
        while not (observation.is_final or self._is_over(wait_until_ms)):
            if observation.running is not None:
                observation = self._poll_task(
                    observation.running, wait_until_ms
                )
            if observation.running is None and not observation.is_final:
                delay_s = backoff.next_delay_s()
                time.sleep(min(delay_s, seconds_left(wait_until_ms)))
                observation = self._look_up(request_key)
        return observation.report

    def cancel(self, request_key: str) -> RequestReport:
        """Cancel a request; the report gives the outcome.

        A queued job ends as not run. A running task is stopped; if it ends
        first, its answer is kept.
        """
        try:
            stored = self._jobs.read(request_key)
        except StoreError as exc:
            return plain_report(request_key, RECORD_UNSETTLED, exc.text)
        if stored is None:
            return plain_report(request_key, UNKNOWN_KEY)
        if stored.job.state is JobState.QUEUED:
            return self._cancel_queued(stored)
        placement = stored.job.placement
        if stored.job.state is JobState.FINISHED or placement is None:
            return report_of_job(stored.job)
        task = self._task_client.cancel(stored.job.task_id, placement.worker)
        return self._await_recorded_end(request_key, task)

    def _await_recorded_end(
        self, request_key: str, task: TaskReport
    ) -> RequestReport:
        """Wait a limited time until a task's end is in its record.

        Later requests for the status then return the same outcome as the one
        that the cancelling caller got.
        """
        report = report_of_task(request_key, task)
        if task.phase is TaskPhase.RUNNING:
            return report
        recorded = self.wait_for_end(
            request_key, deadline_in(CREATE_TIMEOUT_MS)
        )
        if recorded.code.outcome is Outcome.PENDING:
            return report
        return recorded

    def _is_over(self, wait_until_ms: int) -> bool:
        return self._is_closing or has_passed(wait_until_ms)

    def _join(
        self, stored: StoredJob, job: Job, wait_until_ms: int
    ) -> RequestReport:
        if stored.job.request_digest != job.request_digest:
            return plain_report(job.request_key, KEY_CONFLICT)
        return self.wait_for_end(job.request_key, wait_until_ms)

    def _cancel_queued(self, stored: StoredJob) -> RequestReport:
        request_key = stored.job.request_key
        try:
            finished = self._jobs.finish_and_wait(
                stored,
                failure_result(CANCELLED),
                deadline_in(CREATE_TIMEOUT_MS),
            )
        except StoreError as exc:
            return plain_report(request_key, RECORD_UNSETTLED, exc.text)
        if finished is None:
            return self.cancel(request_key)
        self._queue.remove(request_key)
        return report_of_job(finished.job)

    def _first_observation(
        self, request_key: str, running: TaskReport | None
    ) -> _Observation:
        """Start from a task's report; read the record if it is inconclusive."""
        if running is None or running.phase not in _CONCLUSIVE_PHASES:
            return self._look_up(request_key)
        report = report_of_task(request_key, running)
        if running.phase is TaskPhase.RUNNING:
            return _Observation(report, is_final=False, running=running)
        return _Observation(report, is_final=True)

    def _poll_task(
        self, running: TaskReport, wait_until_ms: int
    ) -> _Observation:
        """Wait for a task; without an answer, the record is read again."""
        poll_end_ms = min(wait_until_ms, deadline_in(MAX_TASK_WAIT_MS))
        task = self._task_client.wait_for_end(running, poll_end_ms)
        request_key, _, _ = task.task_id.rpartition('#')
        report = report_of_task(request_key, task)
        if task.phase is TaskPhase.RUNNING:
            return _Observation(report, is_final=False, running=task)
        return _Observation(report, is_final=task.phase is TaskPhase.FINISHED)

    def _look_up(self, request_key: str) -> _Observation:
        try:
            stored = self._jobs.read(request_key)
        except StoreError as exc:
            return _pending_observation(request_key, RECORD_UNSETTLED, exc.text)
        if stored is None:
            return _Observation(
                plain_report(request_key, UNKNOWN_KEY), is_final=True
            )
        job = stored.job
        report = report_of_job(job)
        if report.code is ANSWER_GONE:
            return _Observation(self._fetch_answer(job, report), is_final=True)
        if job.state is JobState.PLACED and job.placement is not None:
            running = running_report(job.task_id, job.placement.worker)
            return _Observation(report, is_final=False, running=running)
        return _Observation(report, is_final=job.state is JobState.FINISHED)

    def _fetch_answer(self, job: Job, gone: RequestReport) -> RequestReport:
        """Fetch a large answer from the worker that still stores it."""
        running = running_report(job.task_id, gone.worker)
        task = self._task_client.wait_for_end(
            running, deadline_in(FETCH_TIMEOUT_MS)
        )
        intact = task.digest == gone.digest
        if task.phase is TaskPhase.FINISHED and intact:
            return report_of_task(job.request_key, task)
        return gone


def _pending_observation(
    request_key: str, code: ResultCode, detail: str
) -> _Observation:
    return _Observation(plain_report(request_key, code, detail), is_final=False)
