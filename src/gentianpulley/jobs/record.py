"""A job's record in the store: the state that a new leader has to restore.

Only ends of tasks and the retry state are stored. The workers on which tasks
run are not stored, as the workers list their runs themselves.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.jobs.crash import Crash
from gentianpulley.jobs.job import Job, JobState, TaskPhase
from gentianpulley.json_decoding import decode_json
from gentianpulley.jobs.spec import TaskId

_HEX_BASE: Final = 16


@dataclass(frozen=True, slots=True)
class CompletedTasks:
    """The done tasks of one step, as a bit mask in hexadecimal."""

    occurrence: int
    step: int
    done_mask: str


@dataclass(frozen=True, slots=True)
class UnfinishedTask:
    """The retry state of an unfinished task.

    Its failed runs, its checkpoint, and crashes it may be to blame for.
    """

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: tuple[Crash, ...] = ()


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The stored state of a job; `ended_ms` is zero until the job ends.

    `customer` names the customer that the job belongs to, empty for none.
    """

    state: JobState
    queue: str
    ended_ms: int = 0
    ends: tuple[CompletedTasks, ...] = ()
    traces: tuple[UnfinishedTask, ...] = ()
    customer: str = ''


def create_record(job: Job, now_ms: int) -> JobRecord:
    """Return the record of a job's current state.

    Other threads may change the job in the meantime, so its state is read once.
    """
    state = job.state
    queue = job.spec.policy.queue
    customer = job.spec.customer
    if state.is_final:
        return JobRecord(state, queue, now_ms, customer=customer)
    return JobRecord(
        state,
        queue,
        ends=tuple(_completed_tasks(job)),
        traces=tuple(_unfinished_tasks(job)),
        customer=customer,
    )


def restore_job(job: Job, record: JobRecord) -> None:
    """Restore the state of a job from its record."""
    for ends in record.ends:
        mask = int(ends.done_mask, _HEX_BASE)
        for index in range(mask.bit_length()):
            if mask >> index & 1:
                _restore_completed(job, ends, index)
    for trace in record.traces:
        _restore_unfinished(job, trace)
    job.has_started = record.state is not JobState.QUEUED
    job.state = record.state
    job.refresh_state()
    job.is_dirty = job.state is not record.state


def encode_record(record: JobRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


_RECORD_DECODER: Final = msgspec.json.Decoder(JobRecord)


def decode_record(body: bytes) -> JobRecord:
    """Decode a stored record; raises `msgspec.DecodeError` if malformed."""
    return decode_json(_RECORD_DECODER, body)


def _completed_tasks(job: Job) -> list[CompletedTasks]:
    completed = []
    for step in job.steps.values():
        mask = sum(
            1 << task.task_id.ordinal
            for task in step.tasks
            if task.phase is TaskPhase.DONE
        )
        if mask:
            completed.append(
                CompletedTasks(step.occurrence, step.number, f'{mask:x}')
            )
    return completed


def _unfinished_tasks(job: Job) -> list[UnfinishedTask]:
    return [
        UnfinishedTask(
            task.task_id.occurrence,
            task.task_id.step,
            task.task_id.ordinal,
            tuple(task.failed_runs),
            task.checkpoint,
            task.crashes,
        )
        for step in job.steps.values()
        for task in step.tasks
        if task.phase is not TaskPhase.DONE
        and (task.failed_runs or task.checkpoint or task.crashes)
    ]


def _restore_completed(job: Job, ends: CompletedTasks, index: int) -> None:
    task_id = TaskId(job.spec.job_id, ends.occurrence, ends.step, index)
    step = job.step_of(task_id)
    if step is not None:
        step.finish(step.tasks[index])


def _restore_unfinished(job: Job, trace: UnfinishedTask) -> None:
    task_id = TaskId(job.spec.job_id, trace.occurrence, trace.step, trace.index)
    step = job.step_of(task_id)
    if step is not None:
        task = step.tasks[trace.index]
        task.failed_runs = frozenset(trace.failed_runs)
        task.checkpoint = trace.checkpoint
        task.crashes = trace.crashes
