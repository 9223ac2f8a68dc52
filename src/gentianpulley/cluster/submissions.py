"""What an entry instance answers to callers of queues.

A job is accepted once it is stored, never before. Each answer says truly
whether the job was stored: a refusal means that this request left nothing
behind; when the store's answer was lost, the caller is told to ask again.
"""

import random
import threading
from dataclasses import dataclass
from enum import Enum
from typing import Final

from gentianpulley.background import Backoff
from gentianpulley.cluster.admission import Verdict, judge, spread_return_s
from gentianpulley.cluster.backlog_follower import BacklogFollower
from gentianpulley.cluster.job_book import JobDesk, JobView
from gentianpulley.counters import Counters
from gentianpulley.deadline import (
    has_passed,
    ms_left,
    now_ms,
    seconds_left,
)
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.jobs.spec import JobSpec
from gentianpulley.logs import EventLog
from gentianpulley.store import Store

RETRY_AFTER_S: Final = (1, 3)
"""Range of the seconds after which a refused caller may return, spread so
that callers do not come back together."""

LONGEST_CALL_MS: Final = 600
"""How long a call to the store may take; another one is begun only if it can
end before the caller's deadline."""

FIRST_RETRY_S: Final = 0.03
LONGEST_RETRY_S: Final = 0.4


class Reception(Enum):
    """What became of a caller's request."""

    OK = 'ok'
    UNKNOWN_JOB = 'unknown job'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'


@dataclass(frozen=True, slots=True)
class Received:
    """The answer to a caller; `retry_after_s` is 0 if not to return."""

    reception: Reception
    view: JobView | None = None
    waiting: int = 0
    retry_after_s: int = 0


class Submissions:
    """Serves callers from the store, within their deadlines."""

    def __init__(
        self,
        desk: JobDesk,
        backlog: BacklogFollower,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Use one desk."""
        self._desk = desk
        self._backlog = backlog
        self._counters = counters
        self._log = log

    def start(self) -> None:
        """Follow how long work waits."""
        self._backlog.start()

    def submit(
        self, spec: JobSpec, cfg_version: int, deadline_ms: int
    ) -> Received:
        """Store a job; retried while the store may yet answer in time.

        A job that could not be done in time is refused.
        """
        verdict = judge(spec, self._backlog.ask(), now_ms(), random.random())
        if not verdict.is_accepted and self._is_new(spec.job_id):
            return self._turn_away(spec, verdict)
        backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        is_uncertain = False
        while True:
            attempt = self._try_to_store(spec, cfg_version)
            if attempt is _Attempt.STORED:
                return Received(Reception.OK)
            is_uncertain = is_uncertain or attempt is _Attempt.LOST
            if not is_uncertain:
                return _later()
            if ms_left(deadline_ms) < LONGEST_CALL_MS:
                return Received(Reception.UNCERTAIN)
            _pause(backoff, deadline_ms)

    def view(self, job_id: str) -> Received:
        """Return a job's state."""
        try:
            view = self._desk.view(job_id)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _later()
        if view is None:
            return Received(Reception.UNKNOWN_JOB)
        return Received(Reception.OK, view)

    def cancel(self, job_id: str, deadline_ms: int) -> Received:
        """Cancel a job; storing the mark twice does no harm."""
        backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        while True:
            received = self._try_to_cancel(job_id)
            is_answered = received.reception is not Reception.REFUSED
            if is_answered or has_passed(deadline_ms):
                return received
            _pause(backoff, deadline_ms)

    def count_waiting(self, queue: str) -> Received:
        """Return how many jobs of a queue have not begun."""
        try:
            waiting = self._desk.count_waiting(queue)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _later()
        return Received(Reception.OK, waiting=waiting)

    def _is_new(self, job_id: str) -> bool:
        """Tell whether a job is surely not stored.

        A caller may send an accepted job again, which stays accepted.
        """
        try:
            return not self._desk.is_stored(job_id)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
        return False

    def _turn_away(self, spec: JobSpec, verdict: Verdict) -> Received:
        return_s = spread_return_s(verdict.return_s)
        self._counters.add('jobs_turned_away')
        self._log.job_turned_away(
            spec.job_id,
            spec.policy.queue,
            {
                'wait_ms': verdict.wait_ms,
                'slack_ms': verdict.slack_ms,
                'age_ms': verdict.age_ms,
                'return_s': return_s,
            },
        )
        return Received(Reception.REFUSED, retry_after_s=return_s)

    def _try_to_store(self, spec: JobSpec, cfg_version: int) -> '_Attempt':
        try:
            self._desk.create(spec)
        except StoreAnswerLostError as lost:
            self._log.job_not_stored(spec.job_id, 'answer lost', lost.text)
            return _Attempt.LOST
        except StoreError as refused:
            self._log.job_not_stored(spec.job_id, 'refused', refused.text)
            return _Attempt.REFUSED
        self._log.job_stored(spec.job_id, spec.policy.queue, cfg_version)
        return _Attempt.STORED

    def _try_to_cancel(self, job_id: str) -> Received:
        try:
            view = self._desk.cancel(job_id)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
            return _later()
        if view is None:
            return Received(Reception.UNKNOWN_JOB)
        self._log.job_cancelled(job_id)
        return Received(Reception.OK, view)


def create_submissions(
    store: Store, counters: Counters, log: EventLog
) -> Submissions:
    """Return what serves callers from a store."""
    desk = JobDesk(store, log)
    return Submissions(desk, BacklogFollower(store, log), counters, log)


class _Attempt(Enum):
    """What became of one attempt to store a job."""

    STORED = 'stored'
    REFUSED = 'refused'
    LOST = 'lost'


def _later() -> Received:
    return Received(
        Reception.REFUSED, retry_after_s=random.randint(*RETRY_AFTER_S)
    )


def _pause(backoff: Backoff, deadline_ms: int) -> None:
    delay_s = min(backoff.next_delay_s(), seconds_left(deadline_ms))
    threading.Event().wait(delay_s)
