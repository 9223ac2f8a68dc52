"""A modelled worker that keeps the published rules of runs.

Its clock may be slow; it knows nothing of what its former lives ran.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    RunKey,
    WorkerRegistration,
)
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import registration

LEAVES_MS = 3000
"""How long a worker that drains says that it stays."""


@dataclass
class ActiveRun:
    """A run that is present on a worker."""

    key: RunKey
    ends_ms: int
    fails: bool
    stops_ms: int = 0


@dataclass
class SimulatedWorker:
    """One worker by the published rules; its clock may be slow."""

    worker_id: str
    clock_rate: float
    incarnation_ms: int
    token: int = 0
    lease_ms: int = 0
    runs: dict[TaskId, ActiveRun] = field(default_factory=dict)
    rejected_runs: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    end_count: int = 0
    is_draining: bool = False
    lease_expiries: int = 0
    lease_expiries_at_end: dict[int, int] = field(default_factory=dict)

    def clock(self, at_ms: int) -> int:
        """Return the worker's own time."""
        return int((at_ms - self.incarnation_ms) * self.clock_rate) + 1

    def facts(self) -> WorkerRegistration:
        """Return the worker's registration."""
        return registration(
            self.worker_id,
            incarnation_ms=self.incarnation_ms,
            is_draining=self.is_draining,
            drain_remaining_ms=LEAVES_MS,
        )

    def used_milli(self, needs: Callable[[TaskId], int]) -> int:
        """Return the processors in use."""
        return sum(needs(task_id) for task_id in self.runs)

    def end(self, run: ActiveRun, cause: EndCause) -> None:
        """End a run; the end is listed until it is acknowledged."""
        self.runs.pop(run.key.task_id)
        barred = self.rejected_runs.get(run.key.task_id, 0)
        self.rejected_runs[run.key.task_id] = max(barred, run.key.run)
        self.end_count += 1
        self.lease_expiries_at_end[self.end_count] = self.lease_expiries
        self.ended.append(EndedRow(self.end_count, run.key, cause, ''))

    def advance(self, at_ms: int) -> None:
        """End what is due."""
        if self.lease_ms and self.clock(at_ms) > self.lease_ms:
            self.lease_expiries += 1
            self.lease_ms = 0
            for run in tuple(self.runs.values()):
                self.end(run, EndCause.LAPSED)
        for run in tuple(self.runs.values()):
            if run.stops_ms and at_ms >= run.stops_ms:
                self.end(run, EndCause.STOPPED)
            elif at_ms >= run.ends_ms:
                self.end(run, EndCause.FAILED if run.fails else EndCause.DONE)
