"""The order in which waiting steps are placed.

Answers the pattern in which urgent jobs arrive while wide batch steps wait:
the more urgent queue goes first, then steps of jobs that are under way, then
the job whose objective comes first.
"""

from gentianpulley.jobs.job import StepRun

SortKey = tuple[int, int, int]


def sort_key(step: StepRun) -> SortKey:
    """Return the place of a step among the waiting ones; smaller is first."""
    spec = step.job.spec
    is_first_step = 0 if step.spec.after else 1
    return spec.policy.priority, is_first_step, spec.objective_ms()


def in_order(steps: list[StepRun]) -> list[StepRun]:
    """Return the steps in the order in which they are placed."""
    return sorted(steps, key=sort_key)
