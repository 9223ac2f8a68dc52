"""The order in which waiting steps are placed.

Answers the pattern in which urgent jobs arrive while wide batch steps wait:
the more urgent queue goes first, and among its jobs those that can still meet
their objective, then steps of jobs under way, then the earliest objective.
Under overload this gives up the jobs that are lost anyway instead of making
every job late.
"""

import enum
from typing import Final

from gentianpulley.jobs.job import StepRun

MAX_LATENESS_FACTOR = 3
"""A job that ends within so many times its objective is late; what comes
after that is of no use to its caller."""

FIRST_START_INTERVAL_MS: Final = 500
"""Shortest time between two new endless tasks that go before other work, on the
whole site: many may come at once."""

SortKey = tuple[int, bool, int, bool, int]


class DeadlineClass(enum.IntEnum):
    """What a job can still come to."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


def deadline_class(step: StepRun, now_ms: int) -> DeadlineClass:
    """Return what the job of a step comes to if the step starts now."""
    if step.spec.is_endless:
        return DeadlineClass.ON_TIME
    ends_ms = now_ms + step.critical_path_ms
    if ends_ms <= step.objective_ms:
        return DeadlineClass.ON_TIME
    allowed_ms = step.objective_ms - step.release_ms
    last_ms = step.release_ms + MAX_LATENESS_FACTOR * allowed_ms
    return DeadlineClass.LATE if ends_ms <= last_ms else DeadlineClass.EXPIRED


def sort_key(step: StepRun, now_ms: int) -> SortKey:
    """Return the place of a step among the waiting ones; smaller is first."""
    return (
        step.job.spec.policy.priority,
        step.spec.is_endless,
        deadline_class(step, now_ms),
        not step.spec.after,
        step.objective_ms,
    )


def overdue_steps(steps: list[StepRun], now_ms: int) -> list[StepRun]:
    """Return the steps with overdue tasks, the earliest deadline first.

    They go before everything else, whatever their priority: sites ask that
    endless tasks run again in time however full the service is.
    """
    deadlines = [
        (min(step.tasks[index].start_deadline_ms for index in overdue), place)
        for place, step in enumerate(steps)
        if (overdue := step.overdue_restarts(now_ms))
    ]
    return [steps[place] for _, place in sorted(deadlines)]


class FirstStartLimiter:
    """Paces new endless tasks that go before what is not overdue.

    Without a turn they would wait for as long as more urgent work comes.
    """

    def __init__(self) -> None:
        """Let the first one go at once."""
        self._next_ms = 0

    def eligible_steps(
        self, steps: list[StepRun], now_ms: int
    ) -> list[StepRun]:
        """Return the steps of which one may place its first task now."""
        if now_ms < self._next_ms:
            return []
        return [step for step in steps if step.overdue_first_starts(now_ms)]

    def record_start(self, now_ms: int) -> None:
        """Note that one of them was placed."""
        self._next_ms = now_ms + FIRST_START_INTERVAL_MS


def sort_steps(steps: list[StepRun], now_ms: int) -> list[StepRun]:
    """Return the steps in the order in which they are placed."""
    return sorted(steps, key=lambda step: sort_key(step, now_ms))
