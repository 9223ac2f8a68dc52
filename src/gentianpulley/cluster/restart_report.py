"""Shows why the restart of a long-running task waits, for logs and metrics.

A restart that waits for room is told from one that has room only on workers
that accept no runs, and free capacity from free capacity on one worker.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gentianpulley.cluster.schedulable_workers import (
    free_milli,
    matches_constraints,
)
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.wait_reasons import WaitingSteps
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import RESTART_DEADLINE_MS, StepRun, Task


@dataclass(frozen=True, slots=True)
class WaitingRestart:
    """The restart that has waited longest, and the capacity for it.

    `count` is how many restarts wait. `free_milli` is what is unreserved on
    the accepting workers, in thousandths of a processor, and `slots` how many
    such tasks fit on single ones of them; `unused_slots` fit on workers that
    accept no runs.
    """

    count: int
    job_id: str
    task: str
    reason: str
    age_ms: int
    needs_milli: int
    free_milli: int
    slots: int
    unused_slots: int


def find_waiting_restart(
    state: SchedulerState, waits: WaitingSteps, now_ms: int
) -> WaitingRestart | None:
    """Return the restart that has waited longest, None if none waits."""
    restarts = [
        (task.start_deadline_ms, index, step, task)
        for index, (step, task) in enumerate(_restarts(waits.reasons))
    ]
    if not restarts:
        return None
    deadline_ms, _, step, task = min(restarts)
    task_id = task.task_id
    accepting, others = _split_by_acceptance(state, step, now_ms)
    return WaitingRestart(
        len(restarts),
        task_id.job_id,
        f'{task_id.occurrence}.{task_id.step}.{task_id.ordinal}',
        waits.reasons[step].value,
        now_ms - deadline_ms + RESTART_DEADLINE_MS,
        step.spec.resources.processors_milli,
        sum(map(free_milli, accepting)),
        sum(worker.available_slots(step.spec) for worker in accepting),
        sum(worker.available_slots(step.spec) for worker in others),
    )


def _restarts(steps: Iterable[StepRun]) -> Iterator[tuple[StepRun, Task]]:
    """Yield the waiting tasks that have run before and have to run again."""
    for step in steps:
        for index in step.waiting if step.spec.is_endless else ():
            task = step.tasks[index]
            if not task.is_new and task.start_deadline_ms:
                yield step, task


def _split_by_acceptance(
    state: SchedulerState, step: StepRun, now_ms: int
) -> tuple[list[Worker], list[Worker]]:
    """Split the workers that suit a step into accepting and other ones."""
    service = step.job.spec.policy.service
    accepting: list[Worker] = []
    others: list[Worker] = []
    for worker in state.workers.values():
        if matches_constraints(worker, service, step.spec.required_label):
            is_open = not state.is_domain_closed(worker)
            accepts = is_open and worker.accepts_runs(now_ms)
            (accepting if accepts else others).append(worker)
    return accepting, others
