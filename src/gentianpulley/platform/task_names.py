"""Names of tasks on the wire: ID.K.STEP.INDEX."""

from gentianpulley.jobs.spec import TaskId


def task_name(task_id: TaskId) -> str:
    """Return a task's name."""
    return '.'.join(map(str, task_id))


def parse_task_name(name: str) -> TaskId:
    """Read a task's name; raises `ValueError` for anything else."""
    job_id, occurrence, step, index = name.rsplit('.', maxsplit=3)
    return TaskId(job_id, int(occurrence), int(step), int(index))
