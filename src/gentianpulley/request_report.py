"""The reports that callers get on their requests."""

from dataclasses import dataclass

from gentianpulley.job import Job, JobState
from gentianpulley.result_code import (
    ACCEPTED,
    ANSWER_GONE,
    RUNNING,
    ResultCode,
    code_of,
)
from gentianpulley.task import TaskReport


@dataclass(frozen=True, slots=True)
class RequestReport:
    """The state or the outcome of a request.

    `answer` is complete or empty; `digest` is its SHA-256 in hex.
    """

    request_key: str
    code: ResultCode
    detail: str = ''
    worker: str = ''
    answer: bytes = b''
    digest: str = ''
    incarnation: int = 0


def plain_report(
    request_key: str, code: ResultCode, detail: str = ''
) -> RequestReport:
    """Return a report without an answer."""
    return RequestReport(request_key, code, detail or code.meaning)


def report_of_task(request_key: str, task: TaskReport) -> RequestReport:
    """Return the request report that corresponds to a task report."""
    _, _, incarnation = task.task_id.rpartition('#')
    return RequestReport(
        request_key=request_key,
        code=task.code,
        detail=task.detail or task.code.meaning,
        worker=task.worker,
        answer=task.answer,
        digest=task.digest,
        incarnation=int(incarnation) if incarnation.isdecimal() else 0,
    )


def report_of_job(job: Job) -> RequestReport:
    """Return the request report that corresponds to a job record."""
    ending = job.ending
    if ending is None:
        code = ACCEPTED if job.state is JobState.QUEUED else RUNNING
        worker = job.placement.worker if job.placement else ''
        return RequestReport(
            job.request_key,
            code,
            code.meaning,
            worker,
            incarnation=job.incarnation,
        )
    code = code_of(ending.code) if ending.is_inline else ANSWER_GONE
    return RequestReport(
        request_key=job.request_key,
        code=code,
        detail=ending.detail or code.meaning,
        worker=ending.worker,
        answer=ending.inline_answer,
        digest=ending.digest,
        incarnation=job.incarnation,
    )
