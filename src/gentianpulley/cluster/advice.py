"""Tickets of the advice service: which workers may run a step.

Answers the pattern of queues whose policy only a service outside knows, which
answers one question at a time and slowly: the most urgent step is asked about
first, for the roomiest workers, and no more than its waiting tasks need. This
module decides what to ask and keeps the answers; the leader's thread asks.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import AdvicePolicy, StepId

MAX_WORKERS_PER_QUERY: Final = 30
"""Workers named in one question: so many are reckoned with in the objectives
of jobs, and each one named makes the answer later."""

TICKET_EXPIRY_MARGIN_MS: Final = 300
"""A ticket that ends sooner is not used: a start may be sent a second time."""


@dataclass(frozen=True, slots=True)
class Permit:
    """A worker that may run the step that was asked about, and its ticket."""

    worker_id: str
    ticket: str


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """Which of these workers may run a step."""

    step_id: StepId
    worker_ids: tuple[str, ...]
    policy: AdvicePolicy


class AdviceService(ABC):
    """The advice service; it answers one question at a time."""

    @abstractmethod
    def query(self, query: AdviceQuery) -> tuple[Permit, ...]:
        """Return the permits; raises `AdviceError` without an answer."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """What was answered for one life of a worker; no ticket means never."""

    born_ms: int
    ticket: str
    until_ms: int


class TicketCache:
    """The answers to all questions about steps that are not over."""

    def __init__(self) -> None:
        """Know no answer yet."""
        self._answers: dict[StepId, dict[str, _Answer]] = {}

    def store_answer(
        self,
        query: AdviceQuery,
        permits: Iterable[Permit],
        workers: Iterable[Worker],
        queried_ms: int,
    ) -> None:
        """Keep an answer; tickets count from when the question was sent."""
        tickets = {permit.worker_id: permit.ticket for permit in permits}
        until_ms = queried_ms + query.policy.valid_ms
        answers = self._answers.setdefault(query.step_id, {})
        for worker in workers:
            answers[worker.worker_id] = _Answer(
                worker.registration.incarnation_ms,
                tickets.get(worker.worker_id, ''),
                until_ms,
            )

    def ticket(self, step_id: StepId, worker: Worker, now_ms: int) -> str:
        """Return a ticket that lasts long enough, or an empty text."""
        answer = self._answer(step_id, worker)
        if answer is None or now_ms > answer.until_ms - TICKET_EXPIRY_MARGIN_MS:
            return ''
        return answer.ticket

    def is_query_due(
        self, step_id: StepId, worker: Worker, now_ms: int
    ) -> bool:
        """Tell whether a worker should be asked about.

        A refusal stands for the life of the worker; a ticket ends.
        """
        answer = self._answer(step_id, worker)
        if answer is None:
            return True
        has_ended = now_ms > answer.until_ms - TICKET_EXPIRY_MARGIN_MS
        return bool(answer.ticket) and has_ended

    def invalidate(self, step_id: StepId, worker_id: str) -> None:
        """Forget the ticket of a worker that did not take it."""
        self._answers.get(step_id, {}).pop(worker_id, None)

    def evict_job(self, job_id: str) -> None:
        """Forget all answers for a job that has ended."""
        for step_id in tuple(self._answers):
            if step_id.job_id == job_id:
                self._answers.pop(step_id)

    def _answer(self, step_id: StepId, worker: Worker) -> _Answer | None:
        answer = self._answers.get(step_id, {}).get(worker.worker_id)
        if (
            answer is None
            or answer.born_ms != worker.registration.incarnation_ms
        ):
            return None
        return answer


def query_for(
    step: StepRun, allowed: list[Worker], tickets: TicketCache, now_ms: int
) -> AdviceQuery | None:
    """Return what to ask for the sake of a step, None if nothing."""
    policy = step.job.spec.policy.advice
    if policy is None:
        return None
    step_id = step.step_id
    placeable = 0
    open_rooms = []
    for worker in allowed:
        room = worker.available_slots(step.spec)
        if tickets.ticket(step_id, worker, now_ms):
            placeable += room
        elif room and tickets.is_query_due(step_id, worker, now_ms):
            open_rooms.append((room, worker.worker_id))
    if placeable >= len(step.waiting) or not open_rooms:
        return None
    open_rooms.sort(reverse=True)
    names = tuple(
        worker_id for _, worker_id in open_rooms[:MAX_WORKERS_PER_QUERY]
    )
    return AdviceQuery(step_id, names, policy)
