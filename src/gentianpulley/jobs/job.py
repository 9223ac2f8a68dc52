"""The state of a job: which tasks wait, run or are done, and what is next.

A task is waiting, placed or done. Only the scheduler changes its phase, and
only through the methods here. Nothing in this module does input or output.
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.jobs.crash import Crash
from gentianpulley.jobs.spec import (
    JobSpec,
    Shape,
    StepId,
    StepSpec,
    TaskId,
)

RESTART_DEADLINE_MS: Final = 2000
"""Time for which a long-running task that has run before waits in the order of
all work. Clusters require that it runs again within three seconds, and a start
takes time as well."""

FIRST_START_DEADLINE_MS: Final = 6000
"""Time for which a new long-running step waits in the order of all work for one
more of its tasks to start. It has no end that could be late, so other steps may
go first for a while."""


class JobState(enum.StrEnum):
    """The state of a job as returned to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self not in {JobState.QUEUED, JobState.RUNNING}


class TaskPhase(enum.Enum):
    """The phase of a task."""

    WAITING = enum.auto()
    PLACED = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True)
class Task:
    """One task: its phase, its latest ordered run, and its history.

    `run` is the number of the latest run and `worker_id` the worker to which it
    was sent; `failed_runs` are the runs counted as failed. `excluded_workers`
    are the workers on which a run failed. An unconfirmed task was accepted by
    a previous leader and may still run on a worker that has not sent a
    listing to this leader. `has_straggled` means that a run was stopped for
    being slow. That happens only once, as some tasks take longer than
    estimated. `start_deadline_ms` is the time by which a long-running task has
    to be placed (again); zero while it runs. Of the tasks of a step that have
    never run, only one has such a deadline. `crashes` are those of workers for
    which the task may be to blame, and `crash_number` is the change number of
    the latest one. `late_start_until_ms` is until when a start without a reply
    may arrive at any worker to which it was sent, zero if each got one.
    """

    task_id: TaskId
    phase: TaskPhase = TaskPhase.WAITING
    failed_runs: frozenset[int] = frozenset()
    checkpoint: str = ''
    run: int = 0
    worker_id: str = ''
    excluded_workers: set[str] = field(default_factory=set)
    is_unconfirmed: bool = False
    has_straggled: bool = False
    start_deadline_ms: int = 0
    crashes: tuple[Crash, ...] = ()
    crash_number: int = 0
    late_start_until_ms: int = 0

    @property
    def failures(self) -> int:
        """Return the number of failed runs."""
        return len(self.failed_runs)

    @property
    def is_new(self) -> bool:
        """Whether the task was never placed, by this or a previous leader."""
        return not self.run and not self.is_unconfirmed

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether the start deadline of the task has passed."""
        return 0 < self.start_deadline_ms <= now_ms

    def record_running(self, checkpoint: str) -> None:
        """Record that a worker lists the task's run, with its checkpoint."""
        self.start_deadline_ms = 0
        self.checkpoint = checkpoint or self.checkpoint


class StepRun:
    """One step of one occurrence of a job.

    `critical_path_ms` is the estimated critical path that starts at this step.
    `task_work` is the estimated processor time of each of its tasks, and
    `later_work` that of the steps after it.
    The latency of the occurrence counts from `release_ms`; it is on time until
    `objective_ms`, and by its estimates if the step starts by
    `latest_start_ms`.
    """

    def __init__(self, job: 'Job', occurrence: int, number: int) -> None:
        """Create the tasks, all of them waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.shape = _shape_of(job.spec, self.spec)
        self.tasks = [
            Task(
                TaskId(job.spec.job_id, occurrence, number, index),
                is_unconfirmed=job.is_inherited,
            )
            for index in range(self.spec.task_count)
        ]
        self.waiting = set(range(self.spec.task_count))
        self.done_count = 0
        self.tasks_per_worker: dict[str, int] = {}
        self.critical_path_ms = job.spec.remaining_critical_path_ms(number)
        self.task_work = self.spec.task_work
        self.later_work = job.spec.work_from(number + 1)
        self._next_deadline_ms = 0
        self.release_ms = job.spec.release_ms(occurrence)
        self.objective_ms = job.spec.objective_ms(occurrence)
        self.latest_start_ms = self.objective_ms - self.critical_path_ms

    @property
    def step_id(self) -> StepId:
        """Return the id of the step."""
        return StepId(self.job.spec.job_id, self.occurrence, self.number)

    @property
    def latest_finish_ms(self) -> int:
        """Return by when its runs have to end for the job to be on time."""
        later_ms = self.critical_path_ms - self.spec.estimated_ms
        return self.objective_ms - later_ms

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)

    def set_start_deadlines(self, now_ms: int) -> None:
        """Set deadlines for long-running tasks that wait to start or restart.

        A start that was refused leaves the deadline unchanged. Of the new
        tasks, only one at a time has a deadline, so that a wide step starts
        without taking all free capacity at once.
        """
        if not self.spec.is_endless:
            return
        self._next_deadline_ms = now_ms + RESTART_DEADLINE_MS
        self._set_first_deadline(now_ms)
        for index in self.waiting:
            task = self.tasks[index]
            if not task.is_new and not task.start_deadline_ms:
                task.start_deadline_ms = now_ms + RESTART_DEADLINE_MS
            if 0 < task.start_deadline_ms < self._next_deadline_ms:
                self._next_deadline_ms = task.start_deadline_ms

    @property
    def waiting_restarts(self) -> set[int]:
        """Return the waiting tasks that have run before, if long-running."""
        if not self.spec.is_endless:
            return set()
        return {index for index in self.waiting if not self.tasks[index].is_new}

    def overdue_restarts(self, now_ms: int) -> set[int]:
        """Return the waiting tasks whose restart is overdue."""
        if not self.spec.is_endless:
            return set()
        return {
            index
            for index in self._overdue_tasks(now_ms)
            if not self.tasks[index].is_new
        }

    def overdue_first_starts(self, now_ms: int) -> set[int]:
        """Return the task whose first start is overdue, if there is one."""
        return {
            index
            for index in self._overdue_tasks(now_ms)
            if self.tasks[index].is_new
        }

    def place(self, task: Task, worker_id: str, run: int) -> None:
        """Record that a run was ordered, or found, on a worker."""
        index = task.task_id.ordinal
        if task.phase is TaskPhase.PLACED:
            self._remove_from_worker(task)
        self.waiting.discard(index)
        self.job.invalidate_ready_steps()
        task.phase = TaskPhase.PLACED
        task.run = max(task.run, run)
        task.worker_id = worker_id
        task.is_unconfirmed = False
        self.tasks_per_worker[worker_id] = (
            self.tasks_per_worker.get(worker_id, 0) + 1
        )

    def requeue(self, task: Task) -> None:
        """Let a task wait again after a run that is known to be over."""
        if task.phase is TaskPhase.PLACED:
            self._remove_from_worker(task)
            task.phase = TaskPhase.WAITING
            self.waiting.add(task.task_id.ordinal)
            self.job.invalidate_ready_steps()

    def finish(self, task: Task) -> None:
        """Record that a run is done; in a gang this counts for all tasks."""
        ended = self.tasks if self.spec.is_gang else [task]
        for each in ended:
            if each.phase is TaskPhase.DONE:
                continue
            if each.phase is TaskPhase.PLACED:
                self._remove_from_worker(each)
            self.waiting.discard(each.task_id.ordinal)
            each.phase = TaskPhase.DONE
            self.done_count += 1
        self.job.invalidate_ready_steps()
        self.job.is_dirty = True
        self.job.refresh_state()

    def has_suspects(self, indexes: Iterable[int]) -> bool:
        """Return whether one of these tasks may have crashed a worker."""
        return any(self.tasks[index].crashes for index in indexes)

    def crashes_of(self, task: Task) -> tuple[Crash, ...]:
        """Return the crashes of a task; a gang's are those of all members."""
        if not self.spec.is_gang:
            return task.crashes
        return tuple(crash for member in self.tasks for crash in member.crashes)

    def _overdue_tasks(self, now_ms: int) -> set[int]:
        """Return the waiting tasks whose deadlines have passed."""
        if not self.spec.is_endless or now_ms < self._next_deadline_ms:
            return set()
        return {
            index
            for index in self.waiting
            if self.tasks[index].is_overdue(now_ms)
        }

    def _set_first_deadline(self, now_ms: int) -> None:
        new = [index for index in self.waiting if self.tasks[index].is_new]
        if not new or any(self.tasks[each].start_deadline_ms for each in new):
            return
        self.tasks[min(new)].start_deadline_ms = (
            now_ms + FIRST_START_DEADLINE_MS
        )

    def _remove_from_worker(self, task: Task) -> None:
        remaining = self.tasks_per_worker.get(task.worker_id, 0) - 1
        if remaining > 0:
            self.tasks_per_worker[task.worker_id] = remaining
        else:
            self.tasks_per_worker.pop(task.worker_id, None)


class Job:
    """One job and the state of all its created occurrences.

    `is_dirty` means that the job's record has to be written, `has_started` that
    a task has started at some time. `idle_since_ms` is the time from which no
    task of the job runs although one could start; zero while one runs. `work`
    is the estimated processor time of an occurrence. The steps that may start
    are cached until a task or the state changes, which increases
    `progress_number`. `is_excess` means that the customer had submitted more
    jobs by then than it is owed.

    Only the scheduler changes a job, but records are created meanwhile. So
    `steps`, and failed runs and crashes of tasks, are replaced, never changed
    in place.
    """

    def __init__(self, spec: JobSpec, *, is_inherited: bool = False) -> None:
        """Create the first occurrence.

        An inherited job was accepted by a previous leader.
        """
        self.spec = spec
        self._state = JobState.QUEUED
        self._ready: tuple[StepRun, ...] | None = None
        self.progress_number = 0
        self.is_excess = False
        self.is_inherited = is_inherited
        self.is_dirty = False
        self.has_started = False
        self.steps: Mapping[tuple[int, int], StepRun] = {}
        self.idle_since_ms = 0
        self.work = spec.work_from(0)
        self._created_count = 0
        self.create_due_occurrences(0)

    @property
    def state(self) -> JobState:
        """The state of the job as returned to callers."""
        return self._state

    @state.setter
    def state(self, state: JobState) -> None:
        self._state = state
        self.invalidate_ready_steps()

    def invalidate_ready_steps(self) -> None:
        """Invalidate the cached steps that may start."""
        self._ready = None
        self.progress_number += 1

    def create_due_occurrences(self, now_ms: int) -> None:
        """Create every occurrence that is due soon."""
        schedule = self.spec.schedule
        due_count = self._created_count
        while due_count < schedule.occurrence_count:
            due = schedule.scheduled_start_ms(due_count)
            if due_count and due > now_ms + schedule.interval_ms:
                break
            due_count += 1
        self.create_occurrences_through(due_count - 1)

    def create_occurrences_through(self, occurrence: int) -> None:
        """Create the tasks of all occurrences up to and including this one."""
        if occurrence < self._created_count:
            return
        created = {
            (each, number): StepRun(self, each, number)
            for each in range(self._created_count, occurrence + 1)
            for number, _ in enumerate(self.spec.steps)
        }
        self.steps = {**self.steps, **created}
        self._created_count = occurrence + 1
        self.invalidate_ready_steps()

    def step_of(self, task_id: TaskId) -> StepRun | None:
        """Return the step of a task, or None if the job has no such task."""
        if not 0 <= task_id.occurrence < self.spec.schedule.occurrence_count:
            return None
        self.create_occurrences_through(task_id.occurrence)
        step = self.steps.get((task_id.occurrence, task_id.step))
        if step is None or not 0 <= task_id.ordinal < len(step.tasks):
            return None
        return step

    def ready_steps(self, now_ms: int) -> tuple[StepRun, ...]:
        """Return the steps with waiting tasks that may start now."""
        ready = self._ready
        if ready is None:
            ready = self._find_ready(now_ms)
        for step in ready:
            if step.spec.is_endless:
                step.set_start_deadlines(now_ms)
        return ready

    def record_failure(
        self, step: StepRun, task: Task, run: int, worker_id: str
    ) -> None:
        """Count a failed run once; the job fails after the last attempt.

        A worker lists the end of a run repeatedly until it is acknowledged,
        also to the next leader.
        """
        if step.spec.is_endless:
            task.excluded_workers.add(worker_id)
            return
        if run in task.failed_runs:
            return
        task.failed_runs |= {run}
        task.excluded_workers.add(worker_id)
        self.is_dirty = True
        if self.state.is_final:
            return
        failures = task.failures
        if step.spec.is_gang:
            failures = sum(member.failures for member in step.tasks)
        if failures >= self.spec.policy.max_attempts:
            self.state = JobState.FAILED

    def idle_ms(self, now_ms: int) -> int:
        """Return for how long no task of the job has run.

        The idle time starts at the first call that finds no running task, so
        this has to be called repeatedly.
        """
        if any(step.tasks_per_worker for step in self.steps.values()):
            self.idle_since_ms = 0
            return 0
        self.idle_since_ms = self.idle_since_ms or now_ms
        return now_ms - self.idle_since_ms

    def restart_idle_time(self, now_ms: int) -> None:
        """Count the idle time anew: until now, no task could have started."""
        if self.idle_since_ms:
            self.idle_since_ms = now_ms

    def mark_started(self) -> None:
        """Record that a worker has started a task.

        An order that was sent does not prove that the task has started.
        """
        if not self.has_started and not self.state.is_final:
            self.has_started = True
            self.is_dirty = True
            self.refresh_state()

    def cancel(self) -> None:
        """End the job unless it has already ended."""
        if not self.state.is_final:
            self.state = JobState.CANCELLED
            self.is_dirty = True

    def refresh_state(self) -> None:
        """Update the state from the tasks; a final state does not change."""
        if self.state.is_final:
            return
        all_created = self._created_count == self.spec.schedule.occurrence_count
        if all_created and all(step.is_done for step in self.steps.values()):
            self.state = JobState.COMPLETED
            self.is_dirty = True
        elif self.has_started and self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def may_start(self, step: StepRun, now_ms: int) -> bool:
        """Return whether a step is due and the steps before it are done."""
        if self.spec.schedule.scheduled_start_ms(step.occurrence) > now_ms:
            return False
        return all(
            self.steps[(step.occurrence, before)].is_done
            for before in step.spec.after
        )

    def _find_ready(self, now_ms: int) -> tuple[StepRun, ...]:
        """Find the steps that may start.

        The result is cached unless it also depends on the time.
        """
        if self.state.is_final:
            ready: tuple[StepRun, ...] = ()
        else:
            ready = tuple(
                step
                for step in self.steps.values()
                if step.waiting and self.may_start(step, now_ms)
            )
        if not self.spec.schedule.occurrences:
            self._ready = ready
        return ready


def _shape_of(job: JobSpec, step: StepSpec) -> Shape:
    return Shape(
        job.policy.service,
        step.required_label,
        step.data_rack,
        step.image,
        step.fills_spare,
        step.same_rack,
    )


def create_job(spec: JobSpec, *, is_inherited: bool) -> Job:
    """Return a job whose tasks are all waiting."""
    return Job(spec, is_inherited=is_inherited)
