"""Starts copies of tasks that allow it when their runs may be lost.

Answers the pattern of workers that are cut off, crash or leave orders without
an answer: other tasks wait until the lease is surely over, which takes seconds.
A step that allows copies need not wait. The task is given back while its
former run keeps its room; whichever run ends as done first counts, and the
other one is stopped.
"""

from collections.abc import Iterator
from typing import Final

from gentianpulley.cluster.link import StopOrder
from gentianpulley.cluster.scheduler_state import (
    SchedulerState,
    is_current_run,
)
from gentianpulley.cluster.worker import Charge, Worker
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import StepSpec

COPY_AFTER_MS: Final = 500
"""How long a worker is silent before its runs are copied: a connection that
was reset is replaced within a fifth of a second."""

UNANSWERED_MS: Final = 1000
"""How long after its first sending a start without an answer is copied; sound
workers answer in milliseconds."""


def copies(state: SchedulerState, now_ms: int) -> list[StopOrder]:
    """Let tasks wait again whose runs may be lost; returns stops of the runs.

    The stops are carried out once their workers answer again.
    """
    orders: list[StopOrder] = []
    for worker in state.workers.values():
        for charge in _doubtful(worker, now_ms):
            if abandon(state, worker, charge):
                orders.append(StopOrder(worker.worker_id, charge.key))
    return orders


def abandon(state: SchedulerState, worker: Worker, charge: Charge) -> bool:
    """Give back the task of a run that goes on; False if copies are not
    allowed or the run is no longer the task's."""
    step = state.step_of(charge.key.task_id)
    if step is None or not may_be_copied(step.spec):
        return False
    task = step.tasks[charge.key.task_id.ordinal]
    is_current = is_current_run(worker, step, charge.key)
    if task.phase is not TaskPhase.PLACED or not is_current:
        return False
    charge.is_stopping = True
    step.give_back(task)
    state.log.run_copied(charge.key, worker.worker_id)
    return True


def may_be_copied(spec: StepSpec) -> bool:
    """Tell whether two runs of a task may go on beside each other.

    Not of gangs, whose members only work together, nor of tasks that never
    end by themselves, of which no run comes first.
    """
    return spec.may_copy and not spec.is_gang and not spec.is_endless


def _doubtful(worker: Worker, now_ms: int) -> Iterator[Charge]:
    silent_since_ms = worker.silent_since_ms
    is_silent = 0 < silent_since_ms < now_ms - COPY_AFTER_MS
    for charge in worker.charges.values():
        is_unanswered = (
            charge.has_lost_start
            and not charge.settled_ms
            and now_ms - charge.sent_ms > UNANSWERED_MS
        )
        if not charge.is_stopping and (is_silent or is_unanswered):
            yield charge
