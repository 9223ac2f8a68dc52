"""Names of tasks and steps on the wire: ID.K.STEP.INDEX and ID.K.STEP."""

from gentianpulley.jobs.spec import StepId, TaskId


def task_name(task_id: TaskId) -> str:
    """Return a task's name."""
    return '.'.join(map(str, task_id))


def step_name(step_id: StepId) -> str:
    """Return a step's name."""
    return '.'.join(map(str, step_id))


def parse_task_name(name: str) -> TaskId:
    """Read a task's name; raises `ValueError` for anything else."""
    job_id, occurrence, step, index = name.rsplit('.', maxsplit=3)
    return TaskId(job_id, int(occurrence), int(step), int(index))
