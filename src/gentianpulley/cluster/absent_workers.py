"""Workers that may have runs of earlier leaders and are not in the directory.

A worker that lives, but whose registration has expired, lists its runs and is
used on without new ones. One that was replaced is over: a worker with another
id answers at its address. No other answer, and no lack of one, proves anything.
"""

from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.takeover import Takeover
from gentianpulley.cluster.worker_protocol import WorkerRegistration


class AbsentWorkers(Takeover):
    """Tracks what absent workers answer to a leader that waits for them."""

    def absent_ids(self, now_ms: int) -> list[str]:
        """Return the absent workers that inherited tasks wait for."""
        certain_ms = self.certain_ms(now_ms)
        return [
            worker_id
            for worker_id, until_ms in self.unseen_runs_until_ms.items()
            if worker_id not in self.workers and certain_ms <= until_ms
        ]

    def earliest_proof_ms(self, worker_id: str) -> int:
        """Return from when on the replacement of a worker proves its end.

        Until then an earlier leader may send orders to its address, which the
        worker would accept if it started there again under its id.
        """
        until_ms = self.unseen_runs_until_ms.get(worker_id, 0)
        return until_ms - self.term.timing.final_lease_ms + 1

    def record_replacement(self, worker_id: str, asked_ms: int) -> bool:
        """Record that another worker answered a call sent at `asked_ms`.

        Returns whether this ends the wait for the worker.
        """
        if worker_id not in self.unseen_runs_until_ms:
            return False
        if asked_ms < self.earliest_proof_ms(worker_id):
            return False
        self.unseen_runs_until_ms[worker_id] = asked_ms
        self.confirm_lost(worker_id)
        return True

    def add_answered_worker(
        self, registration: WorkerRegistration, now_ms: int
    ) -> list[Order]:
        """Add a worker that has answered.

        It gets no new runs before it has registered.
        """
        orders = self._start_incarnation(registration, now_ms)
        if not registration.revision:
            worker = self.workers[registration.worker_id]
            worker.is_registered = False
            worker.deregistered_ms = now_ms
        return orders
