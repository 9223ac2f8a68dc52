"""Registrations that name another incarnation than the one that has answered.

The store may apply a write of a former incarnation seconds late, so such a
registration proves nothing. It is a claim until the worker has been asked.
"""

from typing import NamedTuple

from gentianpulley.cluster.worker_protocol import WorkerRegistration


class _Claim(NamedTuple):
    """A registration and when it was read."""

    registration: WorkerRegistration
    read_ms: int


class IncarnationClaims:
    """The newest claim for each worker whose incarnation is in question."""

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[str, _Claim] = {}

    def add(self, registration: WorkerRegistration, now_ms: int) -> None:
        """Add a claim, unless a newer one was read before."""
        standing = self._claims.get(registration.worker_id)
        if (
            standing is None
            or standing.registration.revision <= registration.revision
        ):
            claim = _Claim(registration, now_ms)
            self._claims[registration.worker_id] = claim

    def of_worker(self, worker_id: str) -> WorkerRegistration | None:
        """Return the claim for a worker, None if there is none."""
        claim = self._claims.get(worker_id)
        return claim.registration if claim else None

    def refute(self, worker_id: str, sent_ms: int) -> None:
        """Discard a claim once the known incarnation answers.

        It was over when the claim was read, unless the claim is outdated, so a
        call that was sent at `sent_ms`, after that, refutes the claim.
        """
        claim = self._claims.get(worker_id)
        if claim is not None and claim.read_ms < sent_ms:
            self._claims.pop(worker_id)

    def discard(self, worker_id: str) -> None:
        """Discard the claim for a worker."""
        self._claims.pop(worker_id, None)

    def settle(self, answered: WorkerRegistration) -> WorkerRegistration:
        """Return the registration of an incarnation that has answered.

        That is the claim if it names this incarnation, else what is known from
        the answer.
        """
        claim = self._claims.pop(answered.worker_id, None)
        if (
            claim is not None
            and claim.registration.incarnation_ms == answered.incarnation_ms
        ):
            return claim.registration
        return answered
