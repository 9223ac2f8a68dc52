"""Trial runs: those of tasks that may have crashed a worker.

A trial that outlasts its start absolves its task. Until then its worker gets no
other run, so that a crash would tell which task is to blame.
"""

from typing import Final

from gentianpulley.cluster.cancellations import Cancellations
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.worker import MAX_START_MS, Worker
from gentianpulley.cluster.worker_protocol import EndCause, EndedRow, RunKey
from gentianpulley.jobs.crash_history import clear_crashes
from gentianpulley.jobs.job import StepRun, Task
from gentianpulley.logs import EventLog

OUTLASTING_CAUSES: Final = frozenset((EndCause.DONE, EndCause.FAILED))
"""Ends of runs that did not crash their worker. One that was stopped might
still have done so."""


class TrialTracker(Cancellations):
    """Tracks trials, and the records of crashes that they wait for."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start with everything written."""
        super().__init__(term, log)
        self.latest_crash_number = 0
        self._saved_number = 0

    @property
    def has_unsaved_crashes(self) -> bool:
        """Whether a suspect waits for the record of its crash."""
        return self.latest_crash_number > self._saved_number

    def acknowledge_saved_ends(
        self, change_number: int, now_ms: int
    ) -> list[str]:
        """Acknowledge the ends of runs recorded up to a change number."""
        self.mark_saved(change_number)
        return super().acknowledge_saved_ends(change_number, now_ms)

    def mark_saved(self, change_number: int) -> None:
        """Record that the changes up to this number are written."""
        self._saved_number = max(self._saved_number, change_number)

    def is_crash_unsaved(self, task: Task) -> bool:
        """Return whether the next leader might not know of a task's crash."""
        return task.crash_number > self._saved_number

    def begin_trial(self, worker: Worker, step: StepRun, key: RunKey) -> None:
        """Record the start of a run; it is a trial if its task is suspect."""
        if step.crashes_of(step.tasks[key.task_id.ordinal]):
            worker.trial_runs.add(key)

    def end_old_trials(self, worker: Worker, now_ms: int) -> None:
        """Absolve the tasks of listed runs that have outlasted their start."""
        for key in tuple(worker.trial_runs):
            reservation = worker.reservations[key]
            seen_ms = reservation.seen_for_ms(now_ms)
            if reservation.is_listed and seen_ms >= MAX_START_MS:
                self._end_trial(worker, key)

    def release_ended(self, worker: Worker, row: EndedRow) -> None:
        """Release what a run held that its worker lists as ended."""
        if row.key in worker.trial_runs and row.cause in OUTLASTING_CAUSES:
            self._end_trial(worker, row.key)
        worker.release(row.key)

    def _end_trial(self, worker: Worker, key: RunKey) -> None:
        worker.trial_runs.discard(key)
        step = self.step_of(key.task_id)
        if step is not None:
            clear_crashes(step, step.tasks[key.task_id.ordinal])
