"""A simulation in which jobs belong to customers, whose ceilings change.

Every start is checked against the highest ceiling that may be in force. Only
the leader that holds the key learns of a new ceiling at once.
"""

from collections import Counter
from dataclasses import replace
from typing import Final

from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.worker_protocol import RunKey
from tests.scheduling.harness import customers_with
from tests.scheduling.simulated_worker import ActiveRun, SimulatedWorker
from tests.scheduling.simulation import Simulation, WeightedAction

NAMES: Final = ('', 'a', 'b')
CEILINGS_MILLI: Final = (8000, 24_000, 40_000)
JOBS_WEIGHT: Final = 12
CHANGE_WEIGHT: Final = 2
CANCEL_WEIGHT: Final = 2
FORCE_MS: Final = 13_000
"""How long a start that was ordered under an older cfg may arrive late."""


class CustomerSimulation(Simulation):
    """Leaders and workers that run jobs of customers.

    `full_starts` counts the starts of customers that had more than half of
    their ceiling running, `miscounts` the plans after which the usage was not
    the sum of what is reserved.
    """

    def __init__(
        self,
        seed: int,
        *,
        short_terms: bool = False,
        loses_workers: bool = False,
    ) -> None:
        """Start with the smallest ceilings."""
        self.full_starts = 0
        self.miscounts: list[str] = []
        self._version = 1
        self._ceilings = dict.fromkeys(NAMES[1:], CEILINGS_MILLI[0])
        self._history: list[tuple[int, str, int]] = []
        super().__init__(
            seed, short_terms=short_terms, loses_workers=loses_workers
        )

    def extra_actions(self) -> list[WeightedAction]:
        """Return the actions that concern customers."""
        return [
            (self.change_ceiling, CHANGE_WEIGHT),
            (self.cancel_job, CANCEL_WEIGHT),
            (self.add_job, JOBS_WEIGHT),
        ]

    def change_ceiling(self) -> None:
        """Change the ceiling of a customer."""
        name = self.rng.choice(NAMES[1:])
        self._history.append((self.now_ms, name, self._ceilings[name]))
        self._ceilings[name] = self.rng.choice(CEILINGS_MILLI)
        self._version += 1
        self._announce_customers()

    def cancel_job(self) -> None:
        """Cancel a job; its runs count until they have ended."""
        if self.specs:
            job_id = self.rng.choice(sorted(self.specs))
            if self.leader.has_loaded:
                self.leader.queue.extend(self.leader.scheduler.cancel(job_id))

    def add_job(self) -> None:
        """Accept a job of a customer, or of none."""
        super().add_job()
        job_id, spec = next(reversed(self.specs.items()))
        spec = replace(spec, customer=self.rng.choice(NAMES))
        self.specs[job_id] = spec
        for leader in self.leaders:
            leader.unread_jobs[-1] = spec

    def change_leader(self) -> None:
        """Let another instance lead, which has the newest cfg."""
        super().change_leader()
        self._announce_customers()

    def plan(self) -> None:
        """Let a leader plan, and compare what it counts."""
        super().plan()
        for leader in self.leaders:
            self._check_count(leader.scheduler)

    def _announce_customers(self) -> None:
        self.leader.scheduler.replace_customers(
            customers_with(self._version, **self._ceilings)
        )

    def _check_count(self, scheduler: Scheduler) -> None:
        reserved: Counter[str] = Counter()
        kept = [
            reservation
            for each in scheduler._unanswered_starts.values()
            for reservation in each
        ]
        for worker in scheduler.workers.values():
            kept.extend(worker.reservations.values())
        for reservation in kept:
            reserved[self.specs[reservation.key.task_id.job_id].customer] += 1
        counted = scheduler.usage._runs
        for name in counted.keys() | reserved.keys() - {''}:
            runs = counted[name].runs if name in counted else 0
            if runs != reserved[name]:
                self.miscounts.append(f'{name}: {runs}, not {reserved[name]}')

    def _check_start(self, worker: SimulatedWorker, key: RunKey) -> None:
        super()._check_start(worker, key)
        name = self.specs[key.task_id.job_id].customer
        if not name:
            return
        runs = [
            run
            for other in self.workers.values()
            for run in other.runs.values()
            if self.specs[run.key.task_id.job_id].customer == name
        ]
        self._check_ceiling(name, key, runs)

    def _check_ceiling(
        self, name: str, key: RunKey, runs: list[ActiveRun]
    ) -> None:
        """Check what a customer has running once a run has started."""
        held = sum(self._needs(run.key.task_id) for run in runs)
        ceiling = max(
            self._ceilings[name],
            *(
                milli
                for at_ms, changed, milli in self._history
                if changed == name and at_ms > self.now_ms - FORCE_MS
            ),
            0,
        )
        self.full_starts += 2 * held >= ceiling
        if held + self._needs(key.task_id) > ceiling:
            self._add_violation(f'{name} holds {held} of {ceiling}', *runs)
