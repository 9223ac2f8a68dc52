"""A job's record in the store: what a new leader must not forget.

Only ends are kept. Where tasks run is not: the workers list it themselves.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.jobs.job import Job, JobState, TaskPhase
from gentianpulley.jobs.spec import TaskId

_HEX: Final = 16


@dataclass(frozen=True, slots=True)
class CompletedTasks:
    """The done tasks of one step, as a bit mask in hexadecimal."""

    occurrence: int
    step: int
    done_mask: str


@dataclass(frozen=True, slots=True)
class UnfinishedTask:
    """What is known of a task that is not done: failed runs and checkpoint."""

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The kept state of a job; `ended_ms` is zero while it goes on."""

    state: JobState
    queue: str
    ended_ms: int = 0
    ends: tuple[CompletedTasks, ...] = ()
    traces: tuple[UnfinishedTask, ...] = ()


def create_record(job: Job, now_ms: int) -> JobRecord:
    """Return what has to be kept of a job now.

    Others may go on to change the job meanwhile.
    """
    queue = job.spec.policy.queue
    if job.state.is_final:
        return JobRecord(job.state, queue, now_ms)
    return JobRecord(
        job.state,
        queue,
        ends=tuple(_ends_of(job)),
        traces=tuple(_traces_of(job)),
    )


def restore_job(job: Job, record: JobRecord) -> None:
    """Put a job into the state that its record tells."""
    for ends in record.ends:
        mask = int(ends.done_mask, _HEX)
        for index in range(mask.bit_length()):
            if mask >> index & 1:
                _restore_done(job, ends, index)
    for trace in record.traces:
        _restore_trace(job, trace)
    job.has_started = record.state is not JobState.QUEUED
    job.state = record.state
    job.refresh_state()
    job.is_dirty = job.state is not record.state


def encode_record(record: JobRecord) -> bytes:
    """Return a record as it is kept in the store."""
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> JobRecord:
    """Read a kept record; raises `msgspec.DecodeError` otherwise."""
    return msgspec.json.decode(body, type=JobRecord)


def _ends_of(job: Job) -> list[CompletedTasks]:
    kept = []
    for step in tuple(job.steps.values()):
        mask = sum(
            1 << task.task_id.ordinal
            for task in step.tasks
            if task.phase is TaskPhase.DONE
        )
        if mask:
            kept.append(
                CompletedTasks(step.occurrence, step.number, f'{mask:x}')
            )
    return kept


def _traces_of(job: Job) -> list[UnfinishedTask]:
    return [
        UnfinishedTask(
            task.task_id.occurrence,
            task.task_id.step,
            task.task_id.ordinal,
            tuple(task.failed_runs),
            task.checkpoint,
        )
        for step in tuple(job.steps.values())
        for task in step.tasks
        if task.phase is not TaskPhase.DONE
        and (task.failed_runs or task.checkpoint)
    ]


def _restore_done(job: Job, ends: CompletedTasks, index: int) -> None:
    task_id = TaskId(job.spec.job_id, ends.occurrence, ends.step, index)
    step = job.step_of(task_id)
    if step is not None:
        step.finish(step.tasks[index])


def _restore_trace(job: Job, trace: UnfinishedTask) -> None:
    task_id = TaskId(job.spec.job_id, trace.occurrence, trace.step, trace.index)
    step = job.step_of(task_id)
    if step is not None:
        task = step.tasks[trace.index]
        task.failed_runs = set(trace.failed_runs)
        task.checkpoint = trace.checkpoint
