"""Serves idempotent work that needs no record in the store.

Such requests are retried elsewhere if an attempt is lost, within a budget and
never past their deadlines.
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
    """A request in flight; later requests with its key wait for it."""

    req: Request
    done: threading.Event = field(default_factory=threading.Event)
    report: RequestReport | None = None
    running: TaskReport | None = None
    is_cancelled: bool = False
    may_have_run: bool = False
    last_refusal: ResultCode = NO_ROOM
    excluded: set[str] = field(default_factory=set)


class UnrecordedRequests:
    """The requests without records that callers sent to this instance."""

    def __init__(
        self, instance: str, router: Router, task_client: TaskClient
    ) -> None:
        """Include `instance` in task ids, so that no two tasks share an id."""
        self._instance = instance
        self._router = router
        self._task_client = task_client
        self._budget = RetryBudget()
        self._lock = threading.Lock()
        self._in_flight: dict[str, _InFlight] = {}

    def in_progress(self) -> int:
        """Return the number of requests in flight."""
        with self._lock:
            return len(self._in_flight)

    def serve(self, req: Request) -> RequestReport:
        """Run a request and return its report, at its deadline at the latest.

        A second request with the same key and body shares the answer of the
        first.
        """
        entry = _InFlight(req)
        with self._lock:
            shared = self._in_flight.setdefault(req.request_key, entry)
        if shared is not entry:
            return _join(shared, req)
        self._budget.deposit()
        with ExitStack() as stack:
            stack.callback(self._remove_entry, entry)
            entry.report = self._attempt_until_deadline(entry)
        return entry.report

    def find(self, request_key: str) -> Request | None:
        """Return a request in flight."""
        with self._lock:
            found = self._in_flight.get(request_key)
        return found.req if found else None

    def join(self, req: Request) -> RequestReport:
        """Wait for a request in flight."""
        with self._lock:
            found = self._in_flight.get(req.request_key)
        if found is None:
            return plain_report(req.request_key, OUTCOME_UNKNOWN)
        return _join(found, req)

    def cancel(self, request_key: str) -> bool:
        """Cancel a request in flight; False if there is none."""
        with self._lock:
            found = self._in_flight.get(request_key)
        if found is None:
            return False
        found.is_cancelled = True
        running = found.running
        if running is not None:
            self._task_client.cancel(running.task_id, running.worker)
        return True

    def _remove_entry(self, entry: _InFlight) -> None:
        with self._lock:
            self._in_flight.pop(entry.req.request_key, None)
        entry.done.set()

    def _attempt_until_deadline(self, entry: _InFlight) -> RequestReport:
        incarnation = 0
        while not has_passed(entry.req.deadline_ms):
            if entry.is_cancelled:
                return _cancelled(entry)
            route = self._pick(entry)
            if route is None:
                if self._is_impossible(entry):
                    return _impossible(entry)
                _wait_for_capacity(entry.req.deadline_ms)
                continue
            incarnation += 1
            report = self._attempt(entry, route, incarnation)
            if report is not None:
                return report
        return _expired(entry)

    def _pick(self, entry: _InFlight) -> Route | None:
        subject = Subject(entry.req.work_class, entry.req.data_tags)
        route = self._router.pick(
            subject, entry.req.need, frozenset(entry.excluded)
        )
        if route is None:
            entry.excluded.clear()
        return route

    def _is_impossible(self, entry: _InFlight) -> bool:
        """Check again, as an owner's heartbeat may have been missing before."""
        subject = Subject(entry.req.work_class, entry.req.data_tags)
        fits = self._router.may_ever_fit(subject, entry.req.need)
        return not (fits or entry.may_have_run)

    def _attempt(
        self, entry: _InFlight, route: Route, incarnation: int
    ) -> RequestReport | None:
        """Try one owner; None if another attempt should follow."""
        order = self._order(entry.req, incarnation)
        wait_ms = min(LONG_POLL_MS, ms_left(entry.req.deadline_ms))
        task = self._task_client.submit(route, order, wait_ms)
        task = self._await_task(entry, task)
        if task.phase is TaskPhase.FINISHED or task.code is STOPPED:
            return report_of_task(entry.req.request_key, task)
        entry.excluded.add(route.instance)
        if task.phase is TaskPhase.NOT_RUN:
            entry.last_refusal = task.code
            return None
        entry.may_have_run = True
        if self._budget.try_withdraw():
            return None
        return report_of_task(
            entry.req.request_key, replace(task, code=OUTCOME_UNKNOWN)
        )

    def _await_task(self, entry: _InFlight, task: TaskReport) -> TaskReport:
        """Wait for a running task; stop it if no caller waits any more."""
        if task.phase is not TaskPhase.RUNNING:
            return task
        entry.running = task
        if not entry.is_cancelled:
            task = self._task_client.wait_for_end(task, entry.req.deadline_ms)
        entry.running = None
        if task.phase is TaskPhase.RUNNING:
            return self._task_client.cancel(task.task_id, task.worker)
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


def _impossible(entry: _InFlight) -> RequestReport:
    return plain_report(
        entry.req.request_key, IMPOSSIBLE_SIZE, impossible_size()
    )


def _cancelled(entry: _InFlight) -> RequestReport:
    code = STOPPED if entry.may_have_run else CANCELLED
    return plain_report(entry.req.request_key, code)


def _expired(entry: _InFlight) -> RequestReport:
    """Report a request whose deadline passed without an answer."""
    code = entry.last_refusal
    if entry.may_have_run:
        code = OUTCOME_UNKNOWN
    elif code is DEADLINE_PASSED:
        code = NO_ROOM
    return plain_report(entry.req.request_key, code)


def _wait_for_capacity(deadline_ms: int) -> None:
    pause_ms = random.uniform(0, MAX_CAPACITY_RETRY_DELAY_MS)
    time.sleep(min(pause_ms, ms_left(deadline_ms)) / MS_PER_SECOND)
