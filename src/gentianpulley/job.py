"""Job records: the shared state of work that must not run twice.

A record is kept in the store and changes only by compare-and-swap. Its state
determines which member may change it: the coordinator for a queued job, the
owner of the worker for a placed job, no member for a finished job.
"""

import enum
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from gentianpulley.cfg import WorkClass
from gentianpulley.deadline import now_ms
from gentianpulley.errors import GentianpulleyError
from gentianpulley.messages import illegal_transition
from gentianpulley.request import Request
from gentianpulley.resources import Resources
from gentianpulley.result_code import ResultCode
from gentianpulley.task import TaskOrder, TaskReport, task_id_of

MAX_INLINE_ANSWER_BYTES: Final = 16_384


class JobState(enum.StrEnum):
    """State of a job."""

    QUEUED = 'queued'
    PLACED = 'placed'
    FINISHED = 'finished'


class JobTransitionError(GentianpulleyError):
    """Raised for a transition that the job's state does not allow."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The worker that a job was placed on, its owner and the owner's epoch."""

    worker: str
    boot_id: str
    failure_domain: str
    owner: str
    epoch: int
    start_before_ms: int


@dataclass(frozen=True, slots=True)
class JobResult:
    """The result of a job; small answers are stored inline."""

    code: int
    detail: str
    worker: str
    digest: str
    inline_answer: bytes
    is_inline: bool
    finished_ms: int


@dataclass(frozen=True, slots=True)
class Job:
    """One job record.

    `incarnation` counts the tasks that have been allowed to start for the
    job; `coordinator` is the instance that places it while it is queued.
    """

    request_key: str
    request_digest: str
    work_class: str
    team: str
    need: Resources
    idempotent: bool
    resumable: bool
    data_tags: tuple[str, ...]
    deadline_ms: int
    accepted_ms: int
    keep_until_ms: int
    coordinator: str
    state: JobState = JobState.QUEUED
    incarnation: int = 1
    checkpoint: str = ''
    evictions: int = 0
    placement: Placement | None = None
    ending: JobResult | None = None

    @property
    def may_run_again(self) -> bool:
        """Return whether a task that ended without an answer may be rerun."""
        return self.idempotent or self.resumable

    @property
    def task_id(self) -> str:
        """Return the id of the current incarnation's task."""
        return task_id_of(self.request_key, self.incarnation)

    def place(self, placement: Placement) -> 'Job':
        """Return the queued job as placed on a worker."""
        self._require(JobState.QUEUED)
        return replace(self, state=JobState.PLACED, placement=placement)

    def requeue(
        self, coordinator: str, checkpoint: str, *, evicted: bool
    ) -> 'Job':
        """Return the placed job as queued; its next task is a new incarnation.

        Allowed only once the current task is certain to have stopped running.
        Without a new checkpoint the last one is kept.
        """
        self._require(JobState.PLACED)
        return replace(
            self,
            state=JobState.QUEUED,
            coordinator=coordinator,
            incarnation=self.incarnation + 1,
            checkpoint=checkpoint or self.checkpoint,
            evictions=self.evictions + int(evicted),
            placement=None,
        )

    def adopt(self, coordinator: str) -> 'Job':
        """Return the queued job with another coordinator."""
        self._require(JobState.QUEUED)
        return replace(self, coordinator=coordinator)

    def finish(self, job_result: JobResult) -> 'Job':
        """Return the job as finished, which is final."""
        if self.state is JobState.FINISHED:
            raise JobTransitionError(
                illegal_transition(self.request_key, self.state)
            )
        return replace(self, state=JobState.FINISHED, ending=job_result)

    def _require(self, state: JobState) -> None:
        if self.state is not state:
            raise JobTransitionError(
                illegal_transition(self.request_key, self.state)
            )


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job record with its revision in the store."""

    job: Job
    revision: int


def new_job(
    req: Request, work_class: WorkClass, coordinator: str, keep_until_ms: int
) -> Job:
    """Return the record for a newly accepted request."""
    return Job(
        request_key=req.request_key,
        request_digest=req.digest(),
        work_class=req.work_class,
        team=req.team,
        need=req.need,
        idempotent=work_class.idempotent,
        resumable=work_class.resumable,
        data_tags=req.data_tags,
        deadline_ms=req.deadline_ms,
        accepted_ms=now_ms(),
        keep_until_ms=keep_until_ms,
        coordinator=coordinator,
    )


def result_of(report: TaskReport) -> JobResult:
    """Return the job result that records a task's report."""
    is_inline = len(report.answer) <= MAX_INLINE_ANSWER_BYTES
    return JobResult(
        code=report.code.number,
        detail=report.detail,
        worker=report.worker,
        digest=report.digest,
        inline_answer=report.answer if is_inline else b'',
        is_inline=is_inline,
        finished_ms=now_ms(),
    )


def failure_result(code: ResultCode, detail: str = '') -> JobResult:
    """Return the result of a job that ends without an answer."""
    return JobResult(
        code=code.number,
        detail=detail or code.meaning,
        worker='',
        digest='',
        inline_answer=b'',
        is_inline=True,
        finished_ms=now_ms(),
    )


def order_of(stored: StoredJob, payload: bytes) -> TaskOrder:
    """Return the order that requests an owner to start the queued job."""
    job = stored.job
    return TaskOrder(
        task_id=job.task_id,
        request_key=job.request_key,
        incarnation=job.incarnation,
        work_class=job.work_class,
        team=job.team,
        need=job.need,
        start_before_ms=job.deadline_ms,
        deadline_ms=job.deadline_ms,
        payload=payload,
        data_tags=job.data_tags,
        record=encode_job(job),
        record_revision=stored.revision,
        checkpoint=job.checkpoint,
    )


def encode_job(job: Job) -> bytes:
    """Return the record as it is stored."""
    return msgspec.json.encode(job)


def decode_job(body: bytes) -> Job:
    """Decode a record; raises `msgspec.DecodeError` if it is malformed."""
    return msgspec.json.decode(body, type=Job)
