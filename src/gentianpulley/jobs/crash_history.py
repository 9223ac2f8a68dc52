"""Changes of what is known of the crashes under a task."""

from gentianpulley.jobs.crash import Crash, Incarnation, is_deadly
from gentianpulley.jobs.job import JobState, StepRun, Task


def record_crash(step: StepRun, task: Task, crash: Crash) -> None:
    """Record a crash, or what else is known of it; may fail the job.

    This bounds long-running tasks as well: each restart would cost a worker
    and all that runs there.
    """
    remove_crash(step, task, crash.incarnation)
    task.crashes = (*task.crashes, crash)
    task.excluded_workers.add(crash.incarnation.worker_id)
    if not step.job.state.is_final and is_deadly(step.crashes_of(task)):
        step.job.state = JobState.FAILED


def remove_crash(step: StepRun, task: Task, incarnation: Incarnation) -> None:
    """Remove what was recorded of one incarnation."""
    task.crashes = tuple(
        each for each in task.crashes if each.incarnation != incarnation
    )
    step.job.is_dirty = True


def clear_crashes(step: StepRun, task: Task) -> None:
    """Absolve a task of which a run has outlasted its start."""
    if task.crashes:
        task.crashes = ()
        step.job.is_dirty = True
