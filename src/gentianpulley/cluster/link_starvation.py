"""Jobs that have nothing running because the leader's link is full.

Handles a leader that cannot send starts as fast as callers hand in work. Jobs
that are sorted last, as they are late anyway, would have nothing running for
as long as other work arrives, although workers have free capacity. One task of
each of them costs little of the link, and each job goes on.
"""

from collections.abc import Iterable

from gentianpulley.cluster.task_placement import (
    STARVATION_MS,
    PlacementContext,
)
from gentianpulley.cluster.wait_reasons import WaitingSteps
from gentianpulley.jobs.job import StepRun


def link_starved_steps(
    steps: Iterable[StepRun], waits: WaitingSteps, view: PlacementContext
) -> list[StepRun]:
    """Return one step of each job that the link keeps from running.

    The job that has been idle the longest comes first, so that each has a turn
    whatever else arrives. Nothing is returned while most processors are
    reserved: then capacity is what jobs wait for. Long-running tasks have
    deadlines of their own.
    """
    if view.is_busy:
        return []
    starved: dict[str, StepRun] = {}
    for step in steps:
        idle_ms = step.job.idle_ms(view.now_ms)
        if step.spec.is_endless or idle_ms <= STARVATION_MS:
            continue
        if waits.waited_for_link(step):
            starved.setdefault(step.job.spec.job_id, step)
    return sorted(starved.values(), key=lambda each: each.job.idle_since_ms)
