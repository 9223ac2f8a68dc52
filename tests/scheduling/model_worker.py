"""A modelled worker that keeps the published rules of runs.

Its clock may be slow; it knows nothing of what its former lives ran.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    RunKey,
    WorkerFacts,
)
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.site import facts

LEAVES_MS = 3000
"""How long a worker that drains says that it stays."""


@dataclass
class Present:
    """A run that is present on a worker."""

    key: RunKey
    ends_ms: int
    fails: bool
    stops_ms: int = 0


@dataclass
class ModelWorker:
    """One worker by the published rules; its clock may be slow."""

    worker_id: str
    rate: float
    born_ms: int
    token: int = 0
    lease_ms: int = 0
    runs: dict[TaskId, Present] = field(default_factory=dict)
    barred: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    count: int = 0
    is_draining: bool = False
    lapses: int = 0
    lapses_at_end: dict[int, int] = field(default_factory=dict)

    def clock(self, at_ms: int) -> int:
        """Return the worker's own time."""
        return int((at_ms - self.born_ms) * self.rate) + 1

    def facts(self) -> WorkerFacts:
        """Return the worker's registration."""
        return facts(
            self.worker_id,
            born_ms=self.born_ms,
            is_draining=self.is_draining,
            leaves_ms=LEAVES_MS,
        )

    def used_milli(self, needs: Callable[[TaskId], int]) -> int:
        """Return the processors in use."""
        return sum(needs(task_id) for task_id in self.runs)

    def end(self, run: Present, cause: EndCause) -> None:
        """End a run; the end is listed until it is acknowledged."""
        self.runs.pop(run.key.task_id)
        barred = self.barred.get(run.key.task_id, 0)
        self.barred[run.key.task_id] = max(barred, run.key.run)
        self.count += 1
        self.lapses_at_end[self.count] = self.lapses
        self.ended.append(EndedRow(self.count, run.key, cause, ''))

    def advance(self, at_ms: int) -> None:
        """End what is due."""
        if self.lease_ms and self.clock(at_ms) > self.lease_ms:
            self.lapses += 1
            self.lease_ms = 0
            for run in tuple(self.runs.values()):
                self.end(run, EndCause.LAPSED)
        for run in tuple(self.runs.values()):
            if run.stops_ms and at_ms >= run.stops_ms:
                self.end(run, EndCause.STOPPED)
            elif at_ms >= run.ends_ms:
                self.end(run, EndCause.FAILED if run.fails else EndCause.DONE)
