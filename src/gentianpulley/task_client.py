"""Waits on a task's owner until the task ends, across changes of owner."""

import random
import time
from dataclasses import replace
from typing import Final

from gentianpulley.deadline import MS_PER_SECOND, has_passed, ms_left
from gentianpulley.errors import PeerError, PeerUnreachableError
from gentianpulley.logs import EventLog
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.result_code import OUTCOME_UNKNOWN, PEER_UNREACHABLE
from gentianpulley.routing import Route, Router
from gentianpulley.task import (
    TaskOrder,
    TaskPhase,
    TaskReport,
    not_run_report,
    running_report,
)

LONG_POLL_MS: Final = 1000
MAX_OWNER_RETRY_DELAY_MS: Final = 150
MAX_SUBMIT_ATTEMPTS: Final = 3


class TaskClient:
    """Sends orders to owners and waits for the answers."""

    def __init__(
        self, router: Router, directory: PeerDirectory, log: EventLog
    ) -> None:
        """Find owners through `router` and reach them through `directory`."""
        self._router = router
        self._directory = directory
        self._log = log

    def submit(
        self, route: Route, order: TaskOrder, wait_ms: int
    ) -> TaskReport:
        """Send an order to an owner.

        A lost response is resolved by sending the same order again on a new
        connection; the owner recognizes the order by its task id. The phase is
        `UNKNOWN` if the owner does not respond, and also if it refuses an
        attempt after one without a response: it may have started the task of
        the earlier attempt and evicted it. A job with a record is refused by
        its record in that case, so that its refusal is valid and it may be
        offered again.
        """
        report = self._send(route, order, wait_ms)
        self._log.task_routed(
            order.request_key, order.incarnation, route.instance, report.code
        )
        return report

    def wait_for_end(self, report: TaskReport, until_ms: int) -> TaskReport:
        """Wait until a running task ends or `until_ms` passes.

        Returns immediately if the task was lost or did not run.
        """
        while report.phase is TaskPhase.RUNNING and not has_passed(until_ms):
            report = self._long_poll(report, until_ms)
        return report

    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Stop a task on the current owner of its worker."""
        try:
            return self._directory.find(self._router.owner_of(worker)).cancel(
                task_id, worker
            )
        except PeerError as exc:
            self._log.peer_trouble(worker, exc.text)
            return running_report(task_id, worker)

    def _send(self, route: Route, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Send an order until the owner responds; see `submit`."""
        for previous_attempts in range(MAX_SUBMIT_ATTEMPTS):
            report = self._send_once(route, order, wait_ms)
            if report is None:
                continue
            is_refused = report.phase is TaskPhase.NOT_RUN
            if previous_attempts and is_refused and not order.record:
                break
            return report
        return _unknown(order.task_id)

    def _send_once(
        self, route: Route, order: TaskOrder, wait_ms: int
    ) -> TaskReport | None:
        """Send an order; None if the owner does not respond."""
        try:
            return self._directory.find(route.instance).run(order, wait_ms)
        except PeerUnreachableError as unreachable:
            self._log.peer_trouble(route.instance, unreachable.text)
            return not_run_report(order.task_id, PEER_UNREACHABLE)
        except PeerError as exc:
            self._log.peer_trouble(route.instance, exc.text)
            return None

    def _long_poll(self, report: TaskReport, until_ms: int) -> TaskReport:
        """Poll the worker's current owner once."""
        owner = self._router.owner_of(report.worker)
        try:
            response = self._directory.find(owner).await_answer(
                report.task_id,
                report.worker,
                min(LONG_POLL_MS, ms_left(until_ms)),
            )
        except PeerError as exc:
            self._log.peer_trouble(owner, exc.text)
            _pause()
            return report
        if response.phase is TaskPhase.MOVED:
            _pause()
            return replace(report)
        return response


def _unknown(task_id: str) -> TaskReport:
    return TaskReport(
        task_id, TaskPhase.UNKNOWN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN.meaning
    )


def _pause() -> None:
    time.sleep(random.uniform(0, MAX_OWNER_RETRY_DELAY_MS) / MS_PER_SECOND)
