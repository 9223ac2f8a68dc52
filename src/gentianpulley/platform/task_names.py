"""Names of tasks and steps on the wire: ID.K.STEP.INDEX and ID.K.STEP."""

from functools import lru_cache
from typing import Final

from gentianpulley.jobs.spec import StepId, TaskId

TASK_NAME_CACHE_SIZE: Final = 16_384
"""Number of parsed names that are cached, as workers list the same runs at each
poll. Exceeds the runs in progress in a cluster of a thousand workers."""


def task_name(task_id: TaskId) -> str:
    """Return the wire name of a task."""
    return '.'.join(map(str, task_id))


def step_name(step_id: StepId) -> str:
    """Return the wire name of a step."""
    return '.'.join(map(str, step_id))


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def parse_task_name(name: str) -> TaskId:
    """Parse the wire name of a task; raises `ValueError` if it is malformed."""
    job_id, occurrence, step, index = name.rsplit('.', maxsplit=3)
    return TaskId(job_id, int(occurrence), int(step), int(index))
