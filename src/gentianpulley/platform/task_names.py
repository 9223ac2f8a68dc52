"""Names of tasks and steps on the wire: ID.K.STEP.INDEX and ID.K.STEP."""

from functools import lru_cache
from typing import Final

from gentianpulley.jobs.spec import StepId, TaskId

TASK_NAME_CACHE_SIZE: Final = 16_384
"""Names that are kept with what they say: workers list the same runs at each
look. More than run at a time on a site of a thousand workers."""


def task_name(task_id: TaskId) -> str:
    """Return a task's name."""
    return '.'.join(map(str, task_id))


def step_name(step_id: StepId) -> str:
    """Return a step's name."""
    return '.'.join(map(str, step_id))


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def parse_task_name(name: str) -> TaskId:
    """Read a task's name; raises `ValueError` for anything else."""
    job_id, occurrence, step, index = name.rsplit('.', maxsplit=3)
    return TaskId(job_id, int(occurrence), int(step), int(index))
