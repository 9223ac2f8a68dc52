"""A simulation in which the leader's process is killed and starts again.

The next process of its instance ends the term, as `ended_term` does, while
workers are lost or cut off, and leaders before that one may act on. At times
a machine of the same name starts at another address while the leader acts on.
"""

import enum
from contextlib import suppress
from dataclasses import replace
from typing import Final

from gentianpulley.cluster.ended_term import EndedTerm
from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.errors import StoreError
from tests.scheduling.harness import TIMING
from tests.scheduling.simulated_leader import NullEventLog, SimulatedLeader
from tests.scheduling.simulated_worker import SimulatedWorker
from tests.scheduling.simulation import LONG_CUT_MS, Simulation, WeightedAction

PROCESS_END_WEIGHT: Final = 4
REPLACED_PERCENT: Final = 40
RESTART_PERCENT: Final = 30
HALF_PERCENT: Final = 50
RUNS_MS: Final = (900, 30_000, 30_000)
STARTS: Final = 3
SHORT_STEPS: Final = 20
LONG_STEPS: Final = (200, 400)
JOBS: Final = (2, 4)


class WorkerLoss(enum.Enum):
    """What becomes of a worker while the leader's process ends."""

    NONE = enum.auto()
    CUT_OFF = enum.auto()
    RESTARTED = enum.auto()


class ProcessEndSimulation(Simulation):
    """Leaders whose processes are killed and start again.

    `ended_terms` counts the terms that a next process ended, and
    `short_waits` the workers for whose runs the leader after it waited for less
    than after a leader that may act on.
    """

    def __init__(
        self,
        seed: int,
        *,
        short_terms: bool = False,
        loses_workers: bool = False,
    ) -> None:
        """Start with one leader, some workers and some jobs."""
        self.ended_terms = 0
        self.short_waits = 0
        super().__init__(
            seed, short_terms=short_terms, loses_workers=loses_workers
        )
        self._durations_ms = RUNS_MS

    def extra_actions(self) -> list[WeightedAction]:
        """Return the action that ends the leader's process."""
        return [(self.end_process, PROCESS_END_WEIGHT)]

    def end_process(self) -> None:
        """End the leader's process about when workers are lost.

        The term may have begun a moment ago, so that the leader before it acts
        on. Only that one may reach the workers from then on.
        """
        for _ in range(self.rng.randint(*JOBS)):
            self.add_job()
        self._act(self.rng.randint(SHORT_STEPS, 3 * SHORT_STEPS))
        loses_first = self._happens(HALF_PERCENT)
        if loses_first:
            self._lose_workers()
        if self._happens(HALF_PERCENT):
            self.change_leader()
            self._act(self.rng.randint(0, SHORT_STEPS))
        self.save_roster()
        if not loses_first:
            self._lose_workers()
        index = len(self.leaders) - 1
        own = self.create_candidate(index)
        if self._happens(REPLACED_PERCENT):
            own = replace(own, address=f'10.1.0.{index}:80')
        else:
            self.leader.leadership.resign('killed')
        self._start_processes(own)
        counted = len(self.waits_ms)
        self.change_leader()
        self.short_waits += sum(
            wait_ms <= TIMING.max_run_ms for wait_ms in self.waits_ms[counted:]
        )
        self._act(self.rng.randint(*LONG_STEPS))

    def _lose_workers(self) -> None:
        """Cut workers off, at least from the next leaders, or restart them."""
        index = len(self.leaders) - 1
        until_ms = self.now_ms + 2 * LONG_CUT_MS
        for worker_id in sorted(self.workers):
            if self._happens(HALF_PERCENT):
                continue
            first = index + self._happens(HALF_PERCENT)
            for cut in range(first, index + 3):
                self.partitions[(cut, worker_id)] = until_ms
            if self._happens(RESTART_PERCENT):
                self.workers[worker_id] = SimulatedWorker(
                    worker_id, self.workers[worker_id].clock_rate, self.now_ms
                )

    def _start_processes(self, own: Candidate) -> None:
        """Start processes until one has ended the term; some are killed."""
        for _ in range(self.rng.randint(1, STARTS)):
            self._act(self.rng.randint(1, SHORT_STEPS))
            ended_term = EndedTerm(
                own, self.store.as_store(), TIMING, NullEventLog()
            )
            self.store.now_ms = self.now_ms
            with suppress(StoreError):
                ended_term.end(self.now_ms)
        self.ended_terms += self.store.read(LEADER_KEY) is None

    def _act(self, steps: int) -> None:
        """Let the leaders that may act do so while time passes."""
        actions = (
            self.advance_time,
            self.accept_jobs,
            self.poll_workers,
            self.poll_workers,
            self.plan,
            self.send_orders,
            self.send_orders,
            self._learn_of_restarts,
            self.read_directory,
            self.load_jobs,
        )
        for action in self.rng.choices(actions, k=steps):
            action()

    def _learn_of_restarts(self) -> None:
        """Let a leader without the key read the directory.

        It needs no write for a worker that its roster shows as in use.
        """
        _, leader = self._acting_leader()
        if leader is None or leader is self.leader:
            return
        for worker_id, worker in self.workers.items():
            if worker_id in self.listed and _has_marked(leader, worker_id):
                orders = leader.scheduler.update_worker(
                    worker.create_registration(), self.now_ms
                )
                leader.queue.extend(orders)


def _has_marked(leader: SimulatedLeader, worker_id: str) -> bool:
    state = leader.handover_state
    return state is None or state.has_marked_used(frozenset((worker_id,)))
