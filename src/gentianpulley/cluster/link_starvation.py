"""Turns of jobs that have nothing running because the leader's link is full.

Handles a leader that cannot send starts as fast as callers hand in work. Jobs
that are sorted last, as they are late anyway, would have nothing running for
as long as other work arrives, although workers have free capacity. One task of
each of them costs little of the link, and each job goes on. Where there are
many, their turns alternate with other starts, as urgent jobs would be late too.
"""

from collections.abc import Iterable
from typing import Final

from gentianpulley.cluster.step_ordering import DeadlineClass, deadline_class
from gentianpulley.cluster.task_placement import (
    STARVATION_MS,
    PlacementContext,
)
from gentianpulley.cluster.wait_reasons import WaitingSteps
from gentianpulley.jobs.job import StepRun

BUSY_STARVATION_MS: Final = 10_000
"""The same time as `STARVATION_MS` while most processors are reserved. Capacity
is scarce then, and more of it goes to jobs that can still be on time."""


class LinkTurns:
    """Decides which starts go before others while the link is full.

    While a job that can be on time waits for the link, one start a plan is a
    turn, and at most every second start. Otherwise each idle job has one.
    """

    def __init__(self) -> None:
        """Start with a turn."""
        self._is_due = True
        self._is_shared = False

    def begin_plan(
        self,
        steps: Iterable[StepRun],
        waits: WaitingSteps,
        view: PlacementContext,
    ) -> list[StepRun]:
        """Return one step of each job that the link keeps from running.

        The job that has been idle the longest comes first, so that each has its
        turn whatever else arrives. Long-running tasks have deadlines of their
        own.
        """
        limit_ms = BUSY_STARVATION_MS if view.is_busy else STARVATION_MS
        starved: dict[str, StepRun] = {}
        self._is_shared = False
        for step in steps:
            if step.spec.is_endless:
                continue
            idle_ms = step.job.idle_ms(view.now_ms)
            if not waits.waited_for_link(step):
                continue
            on_time = deadline_class(step, view.now_ms) is DeadlineClass.ON_TIME
            self._is_shared |= on_time
            if idle_ms > limit_ms:
                starved.setdefault(step.job.spec.job_id, step)
        return sorted(starved.values(), key=lambda each: each.job.idle_since_ms)

    @property
    def is_due(self) -> bool:
        """Return whether the next start may be a turn."""
        return self._is_due or not self._is_shared

    def record_turn(self) -> None:
        """Record that an idle job had its turn."""
        self._is_due = False

    def record_other_start(self) -> None:
        """Record that another start followed."""
        self._is_due = True
