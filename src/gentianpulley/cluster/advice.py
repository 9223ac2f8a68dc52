"""Tickets of the advice service: which workers may run a step.

Handles queues whose policy only an external service knows. That service
replies slowly and to one query at a time. So the most urgent step is queried
first, for the workers with most free capacity, and only while its waiting tasks
need more tickets. This module decides on the queries and caches the responses;
the leader's thread sends the queries.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import AdvicePolicy, StepId

MAX_WORKERS_PER_QUERY: Final = 30
"""Maximum number of workers in one query. The objectives of jobs allow for as
this number, and each worker named makes the response slower."""

TICKET_EXPIRY_MARGIN_MS: Final = 300
"""Minimum remaining validity of a ticket that is used, as a start may be sent a
second time."""


@dataclass(frozen=True, slots=True)
class Permit:
    """A worker that may run the queried step, and its ticket."""

    worker_id: str
    ticket: str


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """A query for which of these workers may run a step."""

    step_id: StepId
    worker_ids: tuple[str, ...]
    policy: AdvicePolicy


class AdviceService(ABC):
    """The advice service, which replies to one query at a time."""

    @abstractmethod
    def query(self, query: AdviceQuery) -> tuple[Permit, ...]:
        """Return the permits; raises `AdviceError` if there is no response."""


@dataclass(frozen=True, slots=True)
class _Response:
    """The response for one incarnation of a worker; no ticket is a refusal."""

    incarnation_ms: int
    ticket: str
    valid_until_ms: int


class TicketCache:
    """The cached responses to all queries about unfinished steps."""

    def __init__(self) -> None:
        """Start empty."""
        self._responses: dict[StepId, dict[str, _Response]] = {}

    def store_answer(
        self,
        query: AdviceQuery,
        permits: Iterable[Permit],
        workers: Iterable[Worker],
        queried_ms: int,
    ) -> None:
        """Cache a response; tickets are valid from when the query was sent."""
        tickets = {permit.worker_id: permit.ticket for permit in permits}
        valid_until_ms = queried_ms + query.policy.valid_ms
        responses = self._responses.setdefault(query.step_id, {})
        for worker in workers:
            responses[worker.worker_id] = _Response(
                worker.registration.incarnation_ms,
                tickets.get(worker.worker_id, ''),
                valid_until_ms,
            )

    def ticket(self, step_id: StepId, worker: Worker, now_ms: int) -> str:
        """Return a ticket that lasts long enough, or an empty text."""
        response = self._response(step_id, worker)
        if (
            response is None
            or now_ms > response.valid_until_ms - TICKET_EXPIRY_MARGIN_MS
        ):
            return ''
        return response.ticket

    def is_query_due(
        self, step_id: StepId, worker: Worker, now_ms: int
    ) -> bool:
        """Return whether a worker should be queried.

        A refusal holds for the incarnation of the worker; a ticket expires.
        """
        response = self._response(step_id, worker)
        if response is None:
            return True
        has_expired = now_ms > response.valid_until_ms - TICKET_EXPIRY_MARGIN_MS
        return bool(response.ticket) and has_expired

    def invalidate(self, step_id: StepId, worker_id: str) -> None:
        """Discard the ticket of a worker that did not accept it."""
        self._responses.get(step_id, {}).pop(worker_id, None)

    def evict_job(self, job_id: str) -> None:
        """Discard all responses for a job that has ended."""
        for step_id in tuple(self._responses):
            if step_id.job_id == job_id:
                self._responses.pop(step_id)

    def _response(self, step_id: StepId, worker: Worker) -> _Response | None:
        response = self._responses.get(step_id, {}).get(worker.worker_id)
        if (
            response is None
            or response.incarnation_ms != worker.registration.incarnation_ms
        ):
            return None
        return response


def query_for(
    step: StepRun, allowed: list[Worker], tickets: TicketCache, now_ms: int
) -> AdviceQuery | None:
    """Return the query to send for a step, None if there is none."""
    policy = step.job.spec.policy.advice
    if policy is None:
        return None
    step_id = step.step_id
    placeable = 0
    candidates = []
    for worker in allowed:
        free_slots = worker.available_slots(step.spec)
        if tickets.ticket(step_id, worker, now_ms):
            placeable += free_slots
        elif free_slots and tickets.is_query_due(step_id, worker, now_ms):
            candidates.append((free_slots, worker.worker_id))
    if placeable >= len(step.waiting) or not candidates:
        return None
    candidates.sort(reverse=True)
    worker_ids = tuple(
        worker_id for _, worker_id in candidates[:MAX_WORKERS_PER_QUERY]
    )
    return AdviceQuery(step_id, worker_ids, policy)
