"""Serves idempotent work that needs no record in the store.

Such requests are retried elsewhere when an attempt is lost, within a budget
and never past their deadlines.
"""

import random
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from typing import Final

from gentianpulley.deadline import MS_PER_SECOND, has_passed, ms_left
from gentianpulley.messages import impossible_size
from gentianpulley.request import Request
from gentianpulley.request_report import (
    RequestReport,
    plain_report,
    report_of_task,
)
from gentianpulley.result_code import (
    CANCELLED,
    DEADLINE_PASSED,
    IMPOSSIBLE_SIZE,
    KEY_CONFLICT,
    NO_ROOM,
    OUTCOME_UNKNOWN,
    STOPPED,
    ResultCode,
)
from gentianpulley.retry_budget import RetryBudget
from gentianpulley.routing import Route, Router
from gentianpulley.rule_evaluation import Subject
from gentianpulley.task import (
    TaskOrder,
    TaskPhase,
    TaskReport,
    task_id_of,
)
from gentianpulley.task_client import LONG_POLL_MS, TaskClient

MAX_CAPACITY_RETRY_DELAY_MS: Final = 40


@dataclass
class _InFlight:
    """A request under way; later requests with its key wait for it."""

    req: Request
    done: threading.Event = field(default_factory=threading.Event)
    report: RequestReport | None = None
    running: TaskReport | None = None
    is_cancelled: bool = False
    may_have_run: bool = False
    last_refusal: ResultCode = NO_ROOM
    excluded: set[str] = field(default_factory=set)


class UnrecordedRequests:
    """The requests without records that callers brought to this instance."""

    def __init__(
        self, instance: str, router: Router, task_client: TaskClient
    ) -> None:
        """Name tasks after `instance`, so that no two share an id."""
        self._instance = instance
        self._router = router
        self._follower = task_client
        self._budget = RetryBudget()
        self._lock = threading.Lock()
        self._in_flight: dict[str, _InFlight] = {}

    def in_progress(self) -> int:
        """Return the number of requests under way."""
        with self._lock:
            return len(self._in_flight)

    def serve(self, req: Request) -> RequestReport:
        """Run a request and return its report, at its deadline at the latest.

        A second request with the same key and body shares the first's
        answer.
        """
        mine = _InFlight(req)
        with self._lock:
            shared = self._in_flight.setdefault(req.request_key, mine)
        if shared is not mine:
            return _join(shared, req)
        self._budget.deposit()
        with ExitStack() as stack:
            stack.callback(self._leave, mine)
            mine.report = self._attempt_until_deadline(mine)
        return mine.report

    def find(self, request_key: str) -> Request | None:
        """Return a request under way."""
        with self._lock:
            found = self._in_flight.get(request_key)
        return found.req if found else None

    def join(self, req: Request) -> RequestReport:
        """Wait for a request under way."""
        with self._lock:
            found = self._in_flight.get(req.request_key)
        if found is None:
            return plain_report(req.request_key, OUTCOME_UNKNOWN)
        return _join(found, req)

    def cancel(self, request_key: str) -> bool:
        """Cancel a request under way; False if there is none."""
        with self._lock:
            found = self._in_flight.get(request_key)
        if found is None:
            return False
        found.is_cancelled = True
        running = found.running
        if running is not None:
            self._follower.cancel(running.task_id, running.worker)
        return True

    def _leave(self, mine: _InFlight) -> None:
        with self._lock:
            self._in_flight.pop(mine.req.request_key, None)
        mine.done.set()

    def _attempt_until_deadline(self, mine: _InFlight) -> RequestReport:
        incarnation = 0
        while not has_passed(mine.req.deadline_ms):
            if mine.is_cancelled:
                return _cancelled(mine)
            route = self._pick(mine)
            if route is None:
                if self._is_impossible(mine):
                    return _impossible(mine)
                _wait_for_room(mine.req.deadline_ms)
                continue
            incarnation += 1
            report = self._attempt(mine, route, incarnation)
            if report is not None:
                return report
        return _expired(mine)

    def _pick(self, mine: _InFlight) -> Route | None:
        subject = Subject(mine.req.work_class, mine.req.data_tags)
        route = self._router.pick(
            subject, mine.req.need, frozenset(mine.excluded)
        )
        if route is None:
            mine.excluded.clear()
        return route

    def _is_impossible(self, mine: _InFlight) -> bool:
        """Ask again: at first an owner may not have been heard."""
        subject = Subject(mine.req.work_class, mine.req.data_tags)
        fits = self._router.may_ever_fit(subject, mine.req.need)
        return not (fits or mine.may_have_run)

    def _attempt(
        self, mine: _InFlight, route: Route, incarnation: int
    ) -> RequestReport | None:
        """Try one owner; None if another attempt should follow."""
        order = self._order(mine.req, incarnation)
        wait_ms = min(LONG_POLL_MS, ms_left(mine.req.deadline_ms))
        task = self._follower.submit(route, order, wait_ms)
        task = self._follow(mine, task)
        if task.phase is TaskPhase.FINISHED or task.code is STOPPED:
            return report_of_task(mine.req.request_key, task)
        mine.excluded.add(route.instance)
        if task.phase is TaskPhase.NOT_RUN:
            mine.last_refusal = task.code
            return None
        mine.may_have_run = True
        if self._budget.try_withdraw():
            return None
        return report_of_task(
            mine.req.request_key, replace(task, code=OUTCOME_UNKNOWN)
        )

    def _follow(self, mine: _InFlight, task: TaskReport) -> TaskReport:
        """Wait for a running task; stop it when nobody waits any more."""
        if task.phase is not TaskPhase.RUNNING:
            return task
        mine.running = task
        if not mine.is_cancelled:
            task = self._follower.wait_for_end(task, mine.req.deadline_ms)
        mine.running = None
        if task.phase is TaskPhase.RUNNING:
            return self._follower.cancel(task.task_id, task.worker)
        return task

    def _order(self, req: Request, incarnation: int) -> TaskOrder:
        attempt_key = f'{req.request_key}@{self._instance}'
        return TaskOrder(
            task_id=task_id_of(attempt_key, incarnation),
            request_key=req.request_key,
            incarnation=incarnation,
            work_class=req.work_class,
            team=req.team,
            need=req.need,
            start_before_ms=req.deadline_ms,
            deadline_ms=req.deadline_ms,
            payload=req.payload,
            data_tags=req.data_tags,
        )


def _join(shared: _InFlight, req: Request) -> RequestReport:
    if shared.req.digest() != req.digest():
        return plain_report(req.request_key, KEY_CONFLICT)
    shared.done.wait(ms_left(req.deadline_ms) / MS_PER_SECOND)
    return shared.report or plain_report(req.request_key, OUTCOME_UNKNOWN)


def _impossible(mine: _InFlight) -> RequestReport:
    return plain_report(
        mine.req.request_key, IMPOSSIBLE_SIZE, impossible_size()
    )


def _cancelled(mine: _InFlight) -> RequestReport:
    code = STOPPED if mine.may_have_run else CANCELLED
    return plain_report(mine.req.request_key, code)


def _expired(mine: _InFlight) -> RequestReport:
    """Report a request whose deadline passed without an answer."""
    code = mine.last_refusal
    if mine.may_have_run:
        code = OUTCOME_UNKNOWN
    elif code is DEADLINE_PASSED:
        code = NO_ROOM
    return plain_report(mine.req.request_key, code)


def _wait_for_room(deadline_ms: int) -> None:
    pause_ms = random.uniform(0, MAX_CAPACITY_RETRY_DELAY_MS)
    time.sleep(min(pause_ms, ms_left(deadline_ms)) / MS_PER_SECOND)
