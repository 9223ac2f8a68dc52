"""The order in which waiting steps are placed.

Handles urgent jobs that arrive while wide batch steps wait. The queue with
the higher priority goes first; within it, jobs that their customers are owed
(`customer_shares`), then jobs that can still meet their objective, then the
steps whose delay costs most for the work that remains.
Under overload the jobs that are too late anyway go last, instead of making
every job late.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from gentianpulley.cluster.delay_cost import (
    DelayCosts,
    deadline_class,
)
from gentianpulley.jobs.job import StepRun

FIRST_START_INTERVAL_MS: Final = 500
"""Minimum interval, across the whole cluster, between two first starts of
long-running tasks that go before other work, as many may arrive at once."""

ClassKey = tuple[int, bool, int, int]
SortKey = tuple[ClassKey, float, int]


class WorkKind(enum.IntEnum):
    """Kinds of work, in the order of placement within a priority."""

    BATCH = 0
    RESTART = 1
    FIRST_START = 2


class TaskGroup(NamedTuple):
    """Waiting tasks of one kind of a step."""

    step: StepRun
    indexes: set[int]
    kind: WorkKind


def class_key(step: StepRun, kind: WorkKind, now_ms: int) -> ClassKey:
    """Return what decides before the shares of customers do."""
    return (
        step.job.spec.policy.priority,
        step.job.is_excess,
        kind,
        deadline_class(step, now_ms),
    )


def sort_key(
    step: StepRun, kind: WorkKind, now_ms: int, costs: DelayCosts
) -> SortKey:
    """Return the sort key of a step's tasks; the smallest goes first.

    Long-running tasks have no end that could be late, and no work that ends.
    """
    is_batch = kind is WorkKind.BATCH
    return (
        class_key(step, kind, now_ms),
        -costs.worth_of_work(step) if is_batch else 0,
        step.objective_ms,
    )


def overdue_steps(steps: list[StepRun], now_ms: int) -> list[StepRun]:
    """Return the steps with overdue restarts, the earliest deadline first.

    They go before all other steps, whatever their priority, because clusters
    require that long-running tasks restart in time however high the load is.
    """
    deadlines = [
        (min(step.tasks[task].start_deadline_ms for task in overdue), index)
        for index, step in enumerate(steps)
        if (overdue := step.overdue_restarts(now_ms))
    ]
    return [steps[index] for _, index in sorted(deadlines)]


class FirstStartLimiter:
    """Rate limiter for first starts of long-running tasks.

    An eligible first start goes before work that is not overdue. Without this,
    new long-running tasks would wait as long as more urgent work arrives.
    """

    def __init__(self) -> None:
        """Allow the first start immediately."""
        self._next_ms = 0

    def eligible_steps(
        self, steps: list[StepRun], now_ms: int
    ) -> list[StepRun]:
        """Return the steps of which one may place a new task now."""
        if now_ms < self._next_ms:
            return []
        return [step for step in steps if step.overdue_first_starts(now_ms)]

    def record_start(self, now_ms: int) -> None:
        """Record that a task of an eligible step was placed."""
        self._next_ms = now_ms + FIRST_START_INTERVAL_MS


def sort_tasks(
    steps: list[StepRun], now_ms: int, costs: DelayCosts
) -> list[TaskGroup]:
    """Return the waiting tasks of steps in placement order.

    Long-running tasks that have run before precede new ones: those would take
    the capacity that a task has left, and not release it.
    """
    groups: list[TaskGroup] = []
    for step in steps:
        if step.spec.is_endless:
            groups.extend(_groups_of(step))
        else:
            groups.append(TaskGroup(step, step.waiting, WorkKind.BATCH))
    return sorted(
        groups,
        key=lambda group: sort_key(group.step, group.kind, now_ms, costs),
    )


def _groups_of(step: StepRun) -> Iterator[TaskGroup]:
    restarts = step.waiting_restarts
    if restarts:
        yield TaskGroup(step, restarts, WorkKind.RESTART)
    if len(step.waiting) > len(restarts):
        yield TaskGroup(step, step.waiting - restarts, WorkKind.FIRST_START)


def sort_steps(
    steps: list[StepRun], now_ms: int, costs: DelayCosts
) -> list[StepRun]:
    """Return the steps in placement order."""
    return sorted(
        steps, key=lambda step: sort_key(step, _kind_of(step), now_ms, costs)
    )


def _kind_of(step: StepRun) -> WorkKind:
    return WorkKind.FIRST_START if step.spec.is_endless else WorkKind.BATCH
