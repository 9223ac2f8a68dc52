"""Tasks: each is one incarnation of a request, sent to a worker's owner."""

import enum
from dataclasses import dataclass

from gentianpulley.resources import Resources
from gentianpulley.result_code import RUNNING, ResultCode


class TaskPhase(enum.StrEnum):
    """The phase of a task as its owner sees it.

    `NOT_RUN` is conclusive: nothing was sent, or the worker rules out a run.
    `LOST` means that the task started and cannot run any more; `MOVED` means
    that another owner has the task.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    NOT_RUN = 'not-run'
    LOST = 'lost'
    UNKNOWN = 'unknown'
    MOVED = 'moved'


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Orders an owner to place and start one incarnation of a request.

    `record` is the encoded job record at `record_revision`; it is empty for
    work without a record. `checkpoint` is empty for a fresh start.
    """

    task_id: str
    request_key: str
    incarnation: int
    work_class: str
    team: str
    need: Resources
    start_before_ms: int
    deadline_ms: int
    payload: bytes
    data_tags: tuple[str, ...] = ()
    record: bytes = b''
    record_revision: int = 0
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class TaskReport:
    """An owner's report on a task; `digest` is the answer's SHA-256."""

    task_id: str
    phase: TaskPhase
    code: ResultCode
    detail: str = ''
    worker: str = ''
    answer: bytes = b''
    digest: str = ''


def task_id_of(request_key: str, incarnation: int) -> str:
    """Return the id of an incarnation; unique across the cluster."""
    return f'{request_key}#{incarnation}'


def running_report(task_id: str, worker: str) -> TaskReport:
    """Return the report of a task that was sent and has not ended."""
    return TaskReport(task_id, TaskPhase.RUNNING, RUNNING, worker=worker)


def not_run_report(
    task_id: str, code: ResultCode, detail: str = ''
) -> TaskReport:
    """Return the report of a task that is certain not to have run."""
    return TaskReport(task_id, TaskPhase.NOT_RUN, code, detail or code.meaning)
