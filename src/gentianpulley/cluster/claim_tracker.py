"""Registrations that contradict the incarnation which has answered."""

from gentianpulley.cluster.crash_tracker import CrashTracker
from gentianpulley.cluster.fencing_tokens import FencingTokens
from gentianpulley.cluster.incarnation_claims import IncarnationClaims
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.cluster.worker_protocol import WorkerRegistration
from gentianpulley.logs import EventLog


class ClaimTracker(CrashTracker):
    """Keeps the claims until the workers in question have been asked."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start without claims."""
        super().__init__(term, log)
        self._claims = IncarnationClaims()
        self._late_starts_until_ms = dict(term.late_starts_until_ms)
        self._fencing_tokens = FencingTokens(term.token)

    def token_of(self, worker_id: str) -> int:
        """Return the fencing token of the calls to a worker."""
        return self._fencing_tokens.of_worker(worker_id)

    def advance_token(self, worker: Worker) -> None:
        """Fence off what was sent to a worker so far, from its next answer."""
        self._fencing_tokens.advance(worker.worker_id)
        if self.workers.get(worker.worker_id) is worker:
            worker.token = self.token_of(worker.worker_id)

    def allow_tokens(self, revision: int) -> None:
        """Allow tokens up to a revision at which the leader's key was held."""
        self._fencing_tokens.allow(revision)

    def confirm_end(self, worker: Worker) -> None:
        """Record what follows from the end of an incarnation.

        One that has never answered may be none: no crash is certain.
        """
        self.advance_token(worker)
        if worker.clock.is_known:
            self.confirm_crash(worker)

    def keep_late_start(self, worker: Worker, reservation: Reservation) -> None:
        """Record until when a start of a run's task may arrive, and where."""
        worker_id = worker.worker_id
        self._late_starts_until_ms[worker_id] = max(
            self._late_starts_until_ms.get(worker_id, 0),
            reservation.late_start_until_ms,
        )
        task_id = reservation.key.task_id
        step = self.step_of(task_id)
        if step is not None:
            task = step.tasks[task_id.ordinal]
            task.late_start_until_ms = max(
                task.late_start_until_ms, reservation.late_start_until_ms
            )

    def late_starts_ms(self, now_ms: int) -> dict[str, int]:
        """Return for how long starts may arrive late, by worker."""
        return {
            worker_id: until_ms - now_ms
            for worker_id, until_ms in self._late_starts_until_ms.items()
            if until_ms > now_ms
        }

    def is_known(self, registration: WorkerRegistration) -> bool:
        """Return whether no answer contradicts a registration.

        It does if another incarnation of the worker has answered.
        """
        existing = self.workers.get(registration.worker_id)
        if existing is None or not existing.clock.is_known:
            return True
        return not is_new_incarnation(existing.registration, registration)

    def claim_of(self, worker_id: str) -> WorkerRegistration | None:
        """Return the registration that a worker has to be asked about."""
        return self._claims.of_worker(worker_id)

    def confirm_incarnation(self, worker: Worker, sent_ms: int) -> None:
        """Record what follows from the answer to a poll sent at `sent_ms`."""
        self.refute_claim(worker.worker_id, sent_ms)
        if not worker.is_fenced:
            self.confirm_replaced(worker.registration)
        self.include_earlier_leases(worker)

    def refute_claim(self, worker_id: str, sent_ms: int) -> None:
        """Record that the known incarnation answered a call sent then."""
        self._claims.refute(worker_id, sent_ms)

    def registration_of(
        self, answered: WorkerRegistration
    ) -> WorkerRegistration:
        """Return what is known of an incarnation that has answered.

        It has a revision if that incarnation has registered.
        """
        return self._claims.settle(answered)


def is_new_incarnation(
    existing: WorkerRegistration, registration: WorkerRegistration
) -> bool:
    """Return whether a registration is that of another incarnation."""
    if registration.incarnation_ms and existing.incarnation_ms:
        return registration.incarnation_ms != existing.incarnation_ms
    return registration.address != existing.address
