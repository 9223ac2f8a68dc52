"""Requests of callers to queues, as an entry instance serves them.

A job is accepted only after it is stored. Each response states reliably whether
the job was stored, or cancelled: a refusal means that this request left nothing
behind, and if the store's response was lost, the caller is asked to retry.
"""

import random
import threading
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Final

from gentianpulley.background import Backoff
from gentianpulley.cluster.admission import AdmissionGate
from gentianpulley.cluster.customer_keys import UNRESTRICTED, Caller
from gentianpulley.cluster.entry_job_store import (
    CreateOutcome,
    EntryJobStore,
    JobStatus,
)
from gentianpulley.cluster.tombstones import (
    MAX_SUBMIT_MS,
    TOMBSTONE_RETENTION_MS,
)
from gentianpulley.deadline import (
    MS_PER_SECOND,
    deadline_in,
    has_passed,
    ms_left,
    seconds_left,
)
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.jobs.spec import JobSpec
from gentianpulley.logs import EventLog

RETRY_AFTER_S: Final = (1, 3)
"""Range of the delay, in seconds, after which a refused caller may retry. The
delays are spread so that callers do not retry at the same time."""

MAX_STORE_CALL_MS: Final = 600
"""Maximum time of a call to the store. Another call is started only if it can
end before the caller's deadline."""

INITIAL_BACKOFF_S: Final = 0.03
MAX_BACKOFF_S: Final = 0.4


class RequestOutcome(Enum):
    """The outcome of a caller's request."""

    OK = 'ok'
    UNKNOWN_JOB = 'unknown job'
    FORBIDDEN = 'forbidden'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'
    OVERLOADED = 'overloaded'


_FAILURES: Final = frozenset((RequestOutcome.REFUSED, RequestOutcome.UNCERTAIN))


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The response to a caller; `retry_after_s` is 0 for no retry."""

    outcome: RequestOutcome
    job_status: JobStatus | None = None
    waiting: int = 0
    retry_after_s: int = 0


class Submissions:
    """Serves callers from the store within their deadlines."""

    def __init__(
        self,
        job_store: EntryJobStore,
        log: EventLog,
        gate: AdmissionGate | None = None,
    ) -> None:
        """Read and write jobs through `job_store`, if `gate` accepts them."""
        self._job_store = job_store
        self._log = log
        self._gate = gate

    def submit(
        self,
        spec: JobSpec,
        cfg_version: int,
        deadline_ms: int,
        caller: Caller = UNRESTRICTED,
    ) -> RequestResult:
        """Store a job; retry while the store may still answer in time.

        A job that was cancelled before it was stored is refused for as long as
        its tombstone may exist. One whose id has a job that the caller may not
        access is forbidden, and one that would end too late is refused before
        anything is written.
        """
        rejection = self._reject_overload(spec)
        if rejection is not None:
            return rejection
        deadline_ms = min(deadline_ms, deadline_in(MAX_SUBMIT_MS))
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        is_uncertain = False
        while True:
            attempt = self._try_to_store(spec, cfg_version, caller)
            decided = _DECIDED.get(attempt)
            if decided is not None:
                return RequestResult(decided)
            is_uncertain = is_uncertain or attempt is _Attempt.LOST
            if not is_uncertain:
                return _refusal(attempt)
            if attempt is _Attempt.BARRED:
                # Earlier writes may outlast a tombstone that is about to be
                # deleted.
                return RequestResult(RequestOutcome.UNCERTAIN)
            if ms_left(deadline_ms) < MAX_STORE_CALL_MS:
                return RequestResult(RequestOutcome.UNCERTAIN)
            _pause(backoff, deadline_ms)

    def status(
        self, job_id: str, caller: Caller = UNRESTRICTED
    ) -> RequestResult:
        """Return a job's status."""
        try:
            job_status = self._job_store.status(job_id)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _retry_later()
        if job_status is None:
            return RequestResult(RequestOutcome.UNKNOWN_JOB)
        return _status_result(job_status, caller)

    def cancel(
        self, job_id: str, deadline_ms: int, caller: Caller = UNRESTRICTED
    ) -> RequestResult:
        """Cancel a job; storing the cancellation twice is harmless.

        The outcome is uncertain if the answer to any attempt was lost.
        """
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        failure = _retry_later()
        while True:
            response = self._try_to_cancel(job_id, caller)
            if response.outcome not in _FAILURES:
                return response
            if response.outcome is RequestOutcome.UNCERTAIN:
                failure = response
            if has_passed(deadline_ms):
                return failure
            _pause(backoff, deadline_ms)

    def count_waiting(self, queue: str, deadline_ms: int) -> RequestResult:
        """Return how many jobs of a queue have not started."""
        try:
            waiting = self._job_store.count_waiting(queue, deadline_ms)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _retry_later()
        return RequestResult(RequestOutcome.OK, waiting=waiting)

    def _reject_overload(self, spec: JobSpec) -> RequestResult | None:
        """Return the refusal of a new job that would end too late, else None.

        A job that was accepted by an earlier call is never refused.
        """
        refusal = self._gate.refusal(spec) if self._gate else None
        if refusal is None:
            return None
        try:
            if self._job_store.exists(spec.job_id):
                return None
        except StoreError as exc:
            # Whether the job was accepted before is unknown.
            self._log.store_trouble(exc.text)
            return _retry_later()
        self._log.job_rejected(spec.job_id, spec.policy.queue, refusal.fields())
        return RequestResult(
            RequestOutcome.OVERLOADED, retry_after_s=refusal.retry_after_s
        )

    def _try_to_store(
        self, spec: JobSpec, cfg_version: int, caller: Caller
    ) -> '_Attempt':
        try:
            outcome = self._job_store.create(spec, caller)
        except StoreAnswerLostError as lost:
            self._log.job_not_stored(spec.job_id, 'answer lost', lost.text)
            return _Attempt.LOST
        except StoreError as refused:
            self._log.job_not_stored(spec.job_id, 'refused', refused.text)
            return _Attempt.REFUSED
        if outcome is CreateOutcome.BARRED:
            self._log.job_not_stored(spec.job_id, 'refused', 'tombstone')
            return _Attempt.BARRED
        if outcome is CreateOutcome.FOREIGN:
            return _Attempt.FOREIGN
        self._log.job_stored(
            spec.job_id, spec.policy.queue, cfg_version, spec.customer
        )
        return _Attempt.STORED

    def _try_to_cancel(self, job_id: str, caller: Caller) -> RequestResult:
        try:
            job_status = self._job_store.cancel(job_id, caller)
        except StoreAnswerLostError as lost:
            self._log.store_trouble(lost.text)
            return RequestResult(RequestOutcome.UNCERTAIN)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _retry_later()
        if job_status is None:
            self._log.tombstone_stored(job_id)
            return RequestResult(RequestOutcome.UNKNOWN_JOB)
        cancelled = _status_result(job_status, caller)
        if cancelled.outcome is RequestOutcome.OK:
            self._log.job_cancelled(job_id)
        return cancelled


class _Attempt(Enum):
    """The outcome of one attempt to store a job."""

    STORED = 'stored'
    REFUSED = 'refused'
    BARRED = 'barred'
    FOREIGN = 'foreign'
    LOST = 'lost'


_DECIDED: Final = MappingProxyType(
    {
        _Attempt.STORED: RequestOutcome.OK,
        _Attempt.FOREIGN: RequestOutcome.FORBIDDEN,
    }
)
"""The outcomes of attempts after which the caller's answer is certain."""


def _status_result(job_status: JobStatus, caller: Caller) -> RequestResult:
    if caller.may_access(job_status.owner):
        return RequestResult(RequestOutcome.OK, job_status)
    return RequestResult(RequestOutcome.FORBIDDEN)


def _refusal(attempt: _Attempt) -> RequestResult:
    if attempt is _Attempt.BARRED:
        retry_after_s = TOMBSTONE_RETENTION_MS // MS_PER_SECOND
        return RequestResult(
            RequestOutcome.REFUSED, retry_after_s=retry_after_s
        )
    return _retry_later()


def _retry_later() -> RequestResult:
    return RequestResult(
        RequestOutcome.REFUSED, retry_after_s=random.randint(*RETRY_AFTER_S)
    )


def _pause(backoff: Backoff, deadline_ms: int) -> None:
    delay_s = min(backoff.next_delay_s(), seconds_left(deadline_ms))
    threading.Event().wait(delay_s)
