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

LATE_FACTOR = 3
"""A job that ends within so many times its objective is late; what comes
after that is of no use to its caller."""

FIRST_RUNS_GAP_MS: Final = 500
"""Shortest time between two new endless tasks that go before other work, on the
whole site: many may come at once."""

SortKey = tuple[int, bool, int, bool, int]


class Prospect(enum.IntEnum):
    """What a job can still come to."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


def prospect(step: StepRun, now_ms: int) -> Prospect:
    """Return what the job of a step comes to if the step starts now."""
    if step.spec.is_endless:
        return Prospect.ON_TIME
    ends_ms = now_ms + step.chain_ms
    if ends_ms <= step.objective_ms:
        return Prospect.ON_TIME
    allowed_ms = step.objective_ms - step.begins_ms
    last_ms = step.begins_ms + LATE_FACTOR * allowed_ms
    return Prospect.LATE if ends_ms <= last_ms else Prospect.USELESS


def sort_key(step: StepRun, now_ms: int) -> SortKey:
    """Return the place of a step among the waiting ones; smaller is first."""
    return (
        step.job.spec.policy.priority,
        step.spec.is_endless,
        prospect(step, now_ms),
        not step.spec.after,
        step.objective_ms,
    )


def overdue_first(steps: list[StepRun], now_ms: int) -> list[StepRun]:
    """Return the steps with overdue tasks, the earliest deadline first.

    They go before everything else, whatever their priority: sites ask that
    endless tasks run again in time however full the service is.
    """
    deadlines = [
        (min(step.tasks[index].restart_by_ms for index in overdue), place)
        for place, step in enumerate(steps)
        if (overdue := step.overdue(now_ms))
    ]
    return [steps[place] for _, place in sorted(deadlines)]


class FirstRuns:
    """Paces new endless tasks that go before what is not overdue.

    Without a turn they would wait for as long as more urgent work comes.
    """

    def __init__(self) -> None:
        """Let the first one go at once."""
        self._next_ms = 0

    def due(self, steps: list[StepRun], now_ms: int) -> list[StepRun]:
        """Return the steps of which one may place its first task now."""
        if now_ms < self._next_ms:
            return []
        return [step for step in steps if step.new_overdue(now_ms)]

    def note_placed(self, now_ms: int) -> None:
        """Note that one of them was placed."""
        self._next_ms = now_ms + FIRST_RUNS_GAP_MS


def in_order(steps: list[StepRun], now_ms: int) -> list[StepRun]:
    """Return the steps in the order in which they are placed."""
    return sorted(steps, key=lambda step: sort_key(step, now_ms))
