"""Suspends workers that do not answer, so that a successor waits less for them.

A leader that dies may have granted a lease a moment before, so its successor
waits for the complete handover period of each worker that does not answer. Of a
suspended worker the stored roster tells when the last lease granted expires
instead. For that to be true from the first moment at which it can be read, the
worker gets no longer lease and no start from before the roster is written until
after a roster is stored that shows the worker as used again.
"""

from typing import Final

from gentianpulley.cluster.run_tracker import RunTracker
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.cluster.claim_tracker import is_new_incarnation
from gentianpulley.cluster.worker_protocol import WorkerRegistration

MIN_UNRESPONSIVE_MS: Final = 100
"""How long a worker is unresponsive before it is suspended. It is less than the
pause between two failed polls, so the second failure in a row suspends."""


class WorkerSuspension(RunTracker):
    """Suspends unresponsive workers, and resumes those on the roster."""

    def can_suspend(self, worker: Worker, now_ms: int) -> bool:
        """Return whether a worker has been unresponsive for long enough.

        False while a start may still arrive there, as the run's end would not
        follow from the leases granted so far. A worker that is drained is not
        on the roster.
        """
        since_ms = worker.unresponsive_since_ms
        if worker.is_suspended or worker.is_drained or not since_ms:
            return False
        if now_ms - since_ms < MIN_UNRESPONSIVE_MS:
            return False
        return not _has_open_start(worker)

    def suspend_unresponsive(self, now_ms: int) -> None:
        """Suspend the unresponsive workers before a roster is built."""
        for worker in self.workers.values():
            if self.can_suspend(worker, now_ms):
                suspend(worker)

    def remains_suspended(self, worker: Worker) -> bool:
        """Return whether a suspended worker is not to be used again yet."""
        if not worker.is_suspended or not worker.unresponsive_since_ms:
            return False
        return not _has_open_start(worker)

    def is_suspended(self, registration: WorkerRegistration) -> bool:
        """Return whether this incarnation of a worker is suspended."""
        existing = self.workers.get(registration.worker_id)
        if existing is None or not existing.is_suspended:
            return False
        return not is_new_incarnation(existing.registration, registration)

    def resume(self, worker_ids: frozenset[str]) -> None:
        """Resume these workers: the stored roster shows them as used."""
        for worker_id in worker_ids & self.workers.keys():
            self.workers[worker_id].is_suspended = False


def suspend(worker: Worker) -> None:
    """Send a worker no starts and no longer lease than those sent so far."""
    worker.is_suspended = True
    worker.max_lease_worker_ms = worker.clock.lease_deadline_worker_ms


def _has_open_start(worker: Worker) -> bool:
    return any(
        _may_still_arrive(reservation, worker)
        for reservation in worker.reservations.values()
    )


def _may_still_arrive(reservation: Reservation, worker: Worker) -> bool:
    """Return whether a start is in flight or got no reply and may be late."""
    if reservation.has_lost_start:
        return worker.answered_poll_ms <= reservation.late_start_until_ms
    was_sent = reservation.last_sent_ms > 0
    return was_sent and not (reservation.confirmed_ms or reservation.is_listed)
