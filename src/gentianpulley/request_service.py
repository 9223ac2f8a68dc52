"""Accepts callers' requests and dispatches each according to its class."""

import threading
from dataclasses import dataclass
from typing import Final

from gentianpulley.cfg import ClusterCfg
from gentianpulley.deadline import deadline_in
from gentianpulley.document import ActiveDocuments
from gentianpulley.errors import PeerError, RequestRefusedError
from gentianpulley.logs import EventLog
from gentianpulley.messages import impossible_size
from gentianpulley.metrics import Metrics
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.unrecorded_requests import UnrecordedRequests
from gentianpulley.recorded_requests import RecordedRequests
from gentianpulley.request import Request, check_request
from gentianpulley.request_report import RequestReport, plain_report
from gentianpulley.result_code import (
    BAD_REQUEST,
    DRAINING,
    IMPOSSIBLE_SIZE,
    NOT_READY,
    RULE_FORBIDS,
    STOPPED,
    Outcome,
)
from gentianpulley.routing import Router
from gentianpulley.rule_evaluation import (
    Subject,
    RuleEffect,
    evaluate_all_domains,
)
from gentianpulley.start_gate import StartGate

MAX_WAIT_MS: Final = 60_000
MAX_KEYS_CANCELLED: Final = 1000


@dataclass(frozen=True, slots=True)
class RequestComponents:
    """The components that serve requests."""

    unrecorded: UnrecordedRequests
    recorded: RecordedRequests
    router: Router
    directory: PeerDirectory


class InProgressCounter:
    """Counts the threads inside its context; used as a context manager."""

    def __init__(self) -> None:
        """Start with no thread inside."""
        self._lock = threading.Lock()
        self._count = 0

    def __enter__(self) -> None:
        """Increment the count."""
        with self._lock:
            self._count += 1

    def __exit__(self, *exc_info: object) -> None:
        """Decrement the count."""
        with self._lock:
            self._count -= 1

    def count(self) -> int:
        """Return the number of threads inside."""
        return self._count


class RequestService:
    """Checks requests against the active cfg and serves them."""

    def __init__(
        self,
        documents: ActiveDocuments,
        gate: StartGate,
        components: RequestComponents,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Serve requests with `components`."""
        self._shelf = documents
        self._gate = gate
        self._components = components
        self._metrics = metrics
        self._log = log
        self._waiting = InProgressCounter()

    def in_progress(self) -> int:
        """Return the number of callers that wait for an answer."""
        return self._waiting.count()

    def stop_waiting(self) -> None:
        """Return the current state to callers that wait for recorded work."""
        self._components.recorded.stop_waiting()

    def submit(self, req: Request, wait_ms: int) -> RequestReport:
        """Serve a request; waits up to `wait_ms` for work with a record.

        Work without a record is awaited until its deadline. Raises
        `RequestRefusedError` if the request fails its checks.
        """
        timer = self._metrics.start_timer()
        cfg = self._require_cfg()
        check_request(req, cfg)
        self._check_placeable(req, cfg)
        self._log.request_accepted(req.request_key, req.work_class)
        with self._waiting:
            report = self._serve(req, cfg, wait_ms)
        self._log.request_answered(req.request_key, report.code)
        if report.code.outcome is not Outcome.PENDING:
            self._metrics.observe(req.work_class, report.code, timer)
        return report

    def status(self, request_key: str, wait_ms: int) -> RequestReport:
        """Return a request's report, waiting up to `wait_ms` for its end."""
        with self._waiting:
            running = self._components.unrecorded.find(request_key)
            if running is not None:
                return self._components.unrecorded.join(running)
            return self._components.recorded.wait_for_end(
                request_key, _wait_until(wait_ms)
            )

    def cancel(
        self, request_keys: tuple[str, ...]
    ) -> tuple[RequestReport, ...]:
        """Cancel requests on any instance; returns a report for each key.

        Requests without records are looked up on all instances, with one call
        to each regardless of the number of keys.
        """
        if len(request_keys) > MAX_KEYS_CANCELLED:
            raise RequestRefusedError(BAD_REQUEST, BAD_REQUEST.meaning)
        stopped = self._cancel_unrecorded(request_keys)
        return tuple(
            plain_report(key, STOPPED)
            if key in stopped
            else self._components.recorded.cancel(key)
            for key in request_keys
        )

    def _serve(
        self, req: Request, cfg: ClusterCfg, wait_ms: int
    ) -> RequestReport:
        if cfg.classes[req.work_class].needs_record():
            wait_until_ms = min(req.deadline_ms, _wait_until(wait_ms))
            return self._components.recorded.submit(req, cfg, wait_until_ms)
        return self._components.unrecorded.serve(req)

    def _check_placeable(self, req: Request, cfg: ClusterCfg) -> None:
        """Refuse immediately a request that could never start."""
        subject = Subject(req.work_class, req.data_tags)
        decision = evaluate_all_domains(cfg, subject)
        if decision.effect is RuleEffect.FORBIDDEN:
            raise RequestRefusedError(RULE_FORBIDS, decision.reason)
        if not self._components.router.may_ever_fit(subject, req.need):
            raise RequestRefusedError(IMPOSSIBLE_SIZE, impossible_size())

    def _cancel_unrecorded(
        self, request_keys: tuple[str, ...]
    ) -> frozenset[str]:
        found = {
            key
            for key in request_keys
            if self._components.unrecorded.cancel(key)
        }
        remaining = tuple(key for key in request_keys if key not in found)
        if not remaining:
            return frozenset(found)
        for name, peer in self._components.directory.reachable_peers().items():
            try:
                found.update(peer.cancel_local(remaining))
            except PeerError as exc:
                self._log.peer_trouble(name, exc.text)
        return frozenset(found)

    def _require_cfg(self) -> ClusterCfg:
        if self._gate.is_draining:
            raise RequestRefusedError(DRAINING, DRAINING.meaning)
        cfg = self._shelf.cfg
        if cfg is None or not self._gate.has_synced():
            raise RequestRefusedError(NOT_READY, NOT_READY.meaning)
        return cfg


def _wait_until(wait_ms: int) -> int:
    return deadline_in(min(wait_ms, MAX_WAIT_MS))
