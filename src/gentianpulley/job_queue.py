"""The queued jobs that this instance coordinates."""

import threading
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cfg import ClusterCfg, WorkClass
from gentianpulley.deadline import has_passed
from gentianpulley.document import ActiveDocuments
from gentianpulley.errors import StoreError
from gentianpulley.job import Job, StoredJob, order_of, failure_result
from gentianpulley.job_store import JobStore
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from gentianpulley.result_code import (
    DEADLINE_PASSED,
    DOMAIN_OUT,
    DRAINING,
    HELD,
    ISOLATED,
    NO_ROOM,
    NOT_READY,
    PEER_UNREACHABLE,
    RULE_FORBIDS,
)
from gentianpulley.routing import Route, Router
from gentianpulley.rule_evaluation import Subject
from gentianpulley.task import TaskPhase, TaskReport
from gentianpulley.task_client import TaskClient

DISPATCH_INTERVAL_S: Final = 0.25
RETRYABLE_REFUSALS: Final = frozenset(
    code.number
    for code in (
        NO_ROOM,
        DOMAIN_OUT,
        DRAINING,
        HELD,
        ISOLATED,
        NOT_READY,
        RULE_FORBIDS,
        PEER_UNREACHABLE,
    )
)
"""Refusals that are sent before the job record is changed."""


@dataclass
class QueuedJob:
    """A queued job with its payload; `lock` serializes its dispatch."""

    stored: StoredJob
    payload: bytes
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def job(self) -> Job:
        """Return the job record."""
        return self.stored.job


class JobQueue(BackgroundLoop):
    """Places queued jobs, urgent ones first, as capacity becomes free."""

    def __init__(
        self,
        documents: ActiveDocuments,
        jobs: JobStore,
        router: Router,
        task_client: TaskClient,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('job-queue', DISPATCH_INTERVAL_S, log)
        self._documents = documents
        self._jobs = jobs
        self._router = router
        self._task_client = task_client
        self._lock = threading.Lock()
        self._queued: dict[str, QueuedJob] = {}

    def add(self, stored: StoredJob, payload: bytes) -> QueuedJob:
        """Queue a job unless it is already queued at this revision or later."""
        queued = QueuedJob(stored, payload)
        with self._lock:
            existing = self._queued.get(stored.job.request_key)
            if (
                existing is not None
                and existing.stored.revision >= stored.revision
            ):
                return existing
            self._queued[stored.job.request_key] = queued
        return queued

    def add_requeued(self, stored: StoredJob) -> None:
        """Queue a job after reading its payload; callable from any thread."""
        threading.Thread(
            target=self._fetch_and_add, args=(stored,), daemon=True
        ).start()

    def find(self, request_key: str) -> QueuedJob | None:
        """Return a queued job, or None if the key is not queued."""
        with self._lock:
            return self._queued.get(request_key)

    def remove(self, request_key: str) -> None:
        """Discard a job that is no longer queued."""
        with self._lock:
            self._queued.pop(request_key, None)

    def size(self) -> int:
        """Return the number of queued jobs."""
        with self._lock:
            return len(self._queued)

    def step(self) -> None:
        """Try to place every queued job once."""
        cfg = self._documents.cfg
        if cfg is None:
            return
        with self._lock:
            waiting = list(self._queued.values())
        waiting.sort(key=lambda queued: _urgency(queued.job, cfg))
        blocked: set[tuple[Subject, Resources]] = set()
        for queued in waiting:
            if self.is_stopping:
                return
            kind = (subject_of(queued.job), queued.job.need)
            if has_passed(queued.job.deadline_ms):
                self._expire(queued)
            elif kind not in blocked and self.dispatch(queued) is None:
                blocked.add(kind)

    def dispatch(self, queued: QueuedJob) -> TaskReport | None:
        """Try to place one job now; return None if it stays queued."""
        with queued.lock:
            if self.find(queued.job.request_key) is not queued:
                return None
            excluded: set[str] = set()
            while True:
                route = self._router.pick(
                    subject_of(queued.job),
                    queued.job.need,
                    frozenset(excluded),
                )
                if route is None:
                    return None
                report = self._offer(queued, route)
                if report is not None:
                    return report
                excluded.add(route.instance)

    def _offer(self, queued: QueuedJob, route: Route) -> TaskReport | None:
        """Offer a job to an owner; None if refused with the record unchanged.

        After any other answer this queue must not change the record: the
        owner placed the job, requeued it, or may have done either.
        """
        order = order_of(queued.stored, queued.payload)
        report = self._task_client.submit(route, order, 0)
        refused = report.phase is TaskPhase.NOT_RUN
        if refused and report.code.number in RETRYABLE_REFUSALS:
            return None
        self.remove(queued.job.request_key)
        return report

    def _expire(self, queued: QueuedJob) -> None:
        with queued.lock:
            self.remove(queued.job.request_key)
            self._jobs.finish(
                queued.stored, failure_result(DEADLINE_PASSED), _ignore
            )

    def _fetch_and_add(self, stored: StoredJob) -> None:
        try:
            payload = self._jobs.read_payload(stored.job.request_key)
        except StoreError as exc:
            self.log.store_trouble(exc.text)
            return
        self.add(stored, payload)
        self.wake()


def subject_of(job: Job) -> Subject:
    """Return the subject to which rules are applied."""
    return Subject(job.work_class, job.data_tags)


def _urgency(job: Job, cfg: ClusterCfg) -> tuple[bool, int]:
    work_class: WorkClass | None = cfg.classes.get(job.work_class)
    urgent = work_class is not None and work_class.urgent
    return (not urgent, job.deadline_ms)


def _ignore(stored: StoredJob) -> None:
    """Do nothing after a record is finished."""
