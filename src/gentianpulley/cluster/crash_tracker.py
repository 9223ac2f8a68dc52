"""Finds the tasks that crash the workers that start them.

When a worker stops answering, the runs that had just begun there are suspects;
what has run for longer is only lost with them. This is stored at once, as the
leader may be lost before it learns whether the worker has crashed. The next
runs of suspects are trials, which tell who is to blame.

Only proof counts as a crash: another incarnation has answered. A worker that
was drained, taken out of service or cut off has not crashed.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from gentianpulley.cluster.scheduler_state import LeaderTerm, Order
from gentianpulley.cluster.trials import TrialTracker
from gentianpulley.cluster.worker import MAX_START_MS, Reservation, Worker
from gentianpulley.cluster.worker_protocol import RunKey, WorkerRegistration
from gentianpulley.jobs.crash import Crash, Incarnation, count_crashes
from gentianpulley.jobs.crash_history import record_crash, remove_crash
from gentianpulley.jobs.job import Job, StepRun, Task
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog


class _Suspect(NamedTuple):
    """A task that may have crashed a worker, and that crash."""

    step: StepRun
    task: Task
    crash: Crash

    @property
    def crash_count(self) -> int:
        """Return how many certain crashes the task may be to blame for."""
        return count_crashes(self.step.crashes_of(self.task))

    @property
    def unit(self) -> tuple[str | int, ...]:
        """Return what is started as one: the task, or the gang."""
        if self.step.spec.is_gang:
            return self.step.step_id
        return self.task.task_id


class CrashTracker(TrialTracker):
    """Records for which crashes each task may be to blame."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start without suspects."""
        super().__init__(term, log)
        self._suspected: defaultdict[Incarnation, set[TaskId]] = defaultdict(
            set
        )
        self._deadly_jobs: list[Job] = []

    def add_job(self, job: Job) -> None:
        """Add an accepted job, with what a former leader suspected."""
        super().add_job(job)
        if not job.is_inherited or job.spec.job_id not in self.live_jobs:
            return
        for step in job.steps.values():
            for task in step.tasks:
                self._resume_suspicion(task)

    def suspect_runs(self, worker: Worker) -> None:
        """Suspect the runs that had just begun on a worker that is silent."""
        if worker.is_closing:
            return
        incarnation = _incarnation_of(worker.registration)
        for reservation in worker.reservations.values():
            if _may_have_just_begun(reservation, worker):
                key = reservation.key
                self._suspect(key.task_id, Crash(key.run, incarnation))

    def withdraw_suspicions(self, worker: Worker) -> None:
        """Withdraw what was suspected of a worker that has answered."""
        if not self._suspected:
            return
        incarnation = _incarnation_of(worker.registration)
        for suspect in self._pop_suspects(incarnation):
            remove_crash(suspect.step, suspect.task, incarnation)

    def withdraw_suspicion(self, worker: Worker, task_id: TaskId) -> None:
        """Withdraw the suspicion of a task that was not started there."""
        incarnation = _incarnation_of(worker.registration)
        if task_id in self._suspected.get(incarnation, ()):
            self._suspected[incarnation].discard(task_id)
            step = self.step_of(task_id)
            if step is not None:
                remove_crash(step, step.tasks[task_id.ordinal], incarnation)

    def confirm_crash(self, worker: Worker) -> None:
        """Record that an incarnation has ended, unless that was planned."""
        if worker.is_closing:
            self.withdraw_suspicions(worker)
            return
        self.suspect_runs(worker)
        self._confirm(_incarnation_of(worker.registration))

    def confirm_replaced(self, registration: WorkerRegistration) -> None:
        """Record the crashes that an incarnation which has answered proves."""
        current = _incarnation_of(registration)
        for former in tuple(self._suspected):
            if former.is_replaced_by(current):
                self._confirm(former)

    def confirm_all_replaced(self) -> None:
        """Record the inherited crashes that the workers' answers prove."""
        if self._suspected:
            for worker in self.workers.values():
                if worker.clock.is_known:
                    self.confirm_replaced(worker.registration)

    def confirm_lost(self, worker_id: str) -> None:
        """Record that a worker with another id has answered for one."""
        for former in tuple(self._suspected):
            if former.worker_id == worker_id:
                self._confirm(former)

    def stop_deadly_jobs(self) -> list[Order]:
        """Return the stops of the jobs given up since the latest call."""
        orders = [
            order
            for job in self._deadly_jobs
            for order in self.stop_job_runs(job)
        ]
        self._deadly_jobs.clear()
        return orders

    def _resume_suspicion(self, task: Task) -> None:
        for crash in task.crashes:
            if not crash.is_certain:
                self._suspected[crash.incarnation].add(task.task_id)

    def _suspect(self, task_id: TaskId, crash: Crash) -> None:
        step = self.step_of(task_id)
        if step is None or step.job.state.is_final:
            return
        task = step.tasks[task_id.ordinal]
        if any(each.run == crash.run for each in task.crashes):
            # A start without a reply may arrive at the next incarnation; it
            # begins only once.
            return
        self._suspected[crash.incarnation].add(task_id)
        self._store_crash(step, task, crash)
        key = RunKey(task_id, crash.run)
        self.log.run_suspected(key, crash.incarnation.worker_id)

    def _store_crash(self, step: StepRun, task: Task, crash: Crash) -> None:
        self.change_number += 1
        self.latest_crash_number = self.change_number
        task.crash_number = self.change_number
        record_crash(step, task, crash)

    def _confirm(self, incarnation: Incarnation) -> None:
        """Blame the task that was involved in most crashes, if it is one."""
        suspects = list(self._pop_suspects(incarnation))
        most = max((each.crash_count for each in suspects), default=0)
        first = {each.unit for each in suspects if each.crash_count == most}
        for suspect in suspects:
            self._apply_crash(suspect, is_blamed=first == {suspect.unit})

    def _apply_crash(self, suspect: _Suspect, *, is_blamed: bool) -> None:
        """Record a crash that is certain; the job may be given up."""
        job = suspect.step.job
        if job.state.is_final:
            return
        crash = replace(suspect.crash, is_certain=True, is_blamed=is_blamed)
        self._store_crash(suspect.step, suspect.task, crash)
        key = RunKey(suspect.task.task_id, suspect.crash.run)
        crashes = suspect.crash_count
        worker_id = crash.incarnation.worker_id
        self.log.crash_recorded(key, worker_id, crashes, is_blamed=is_blamed)
        if job.state.is_final:
            self.log.job_given_up(key, worker_id, crashes)
            self._deadly_jobs.append(job)

    def _pop_suspects(self, incarnation: Incarnation) -> Iterator[_Suspect]:
        """Remove and yield the suspects of one incarnation."""
        for task_id in sorted(self._suspected.pop(incarnation, ())):
            step = self.step_of(task_id)
            if step is not None:
                yield from _suspects_in(step, task_id, incarnation)


def _suspects_in(
    step: StepRun, task_id: TaskId, incarnation: Incarnation
) -> Iterator[_Suspect]:
    """Yield what is suspected, and not certain, of a task."""
    task = step.tasks[task_id.ordinal]
    for crash in task.crashes:
        if crash.incarnation == incarnation and not crash.is_certain:
            yield _Suspect(step, task, crash)


def _incarnation_of(registration: WorkerRegistration) -> Incarnation:
    return Incarnation(
        registration.worker_id,
        registration.incarnation_ms,
        registration.address,
    )


def _may_have_just_begun(reservation: Reservation, worker: Worker) -> bool:
    """Return whether no reply of the worker shows that a run lasted."""
    if reservation.is_unsent:
        return False
    return reservation.seen_for_ms(worker.clock.seen_at_ms) < MAX_START_MS
