"""Serves callers of queues, and the platform's question for readiness.

The application speaks WSGI; cheroot, the server within CherryPy, runs it with
a pool of threads and keep-alive connections.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from string import hexdigits
from types import MappingProxyType
from typing import Any, Final

import msgspec
from cheroot.wsgi import Server

from gentianpulley.cluster.queues import QueueCfg, QueueRule, QueueTable
from gentianpulley.cluster.submissions import (
    RequestResult,
    RequestOutcome,
    Submissions,
)
from gentianpulley.counters import Counters
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import (
    JobSpec,
    Schedule,
    StepSpec,
    validate_job,
)
from gentianpulley.logs import EventLog
from gentianpulley.platform.wire import JOB_DECODER, WireJob, WireStep
from gentianpulley.resources import Resources

FRONT_THREADS: Final = 12
"""Requests served at a time by one instance: each waits for a call to the
store of some ms, and an instance gets some tens of requests a second."""

READY_THREADS: Final = 2
"""Only the platform's balancer asks."""

CANCEL_DEADLINE_FRACTION: Final = 0.8
"""Share of a caller's deadline within which a cancellation is tried."""

COUNT_DEADLINE_FRACTION: Final = 0.8
"""The same for a count of waiting jobs."""

SUBMIT_DEADLINE_FRACTION: Final = 0.45
"""The same for a submission: a caller that hears in half of its time that the
store does not answer can still try another instance."""

DEFAULT_REQUEST_TIMEOUT_MS: Final = 3000
"""How long a caller is taken to wait if it does not say."""

SOCKET_BACKLOG: Final = 128
SOCKET_TIMEOUT_S: Final = 15
MAX_HEADER_BYTES: Final = 65_536

_JOB_ID_DIGITS: Final = 16
_HEX_DIGITS: Final = frozenset(hexdigits)

Environ = dict[str, Any]
HeaderList = list[tuple[str, str]]
StartResponse = Callable[[str, HeaderList], object]


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP answer."""

    status: str
    body: bytes = b'{}'
    retry_after_s: int = 0


OK: Final = '200 OK'
BAD_REQUEST: Final = '400 Bad Request'
NOT_FOUND: Final = '404 Not Found'
METHOD_NOT_ALLOWED: Final = '405 Method Not Allowed'
GONE: Final = '410 Gone'
CONTENT_TOO_LARGE: Final = '413 Content Too Large'
INTERNAL_SERVER_ERROR: Final = '500 Internal Server Error'
SERVICE_UNAVAILABLE: Final = '503 Service Unavailable'
GATEWAY_TIMEOUT: Final = '504 Gateway Timeout'

_STATUS_OF: Final = MappingProxyType(
    {
        RequestOutcome.OK: OK,
        RequestOutcome.UNKNOWN_JOB: GONE,
        RequestOutcome.REFUSED: SERVICE_UNAVAILABLE,
        RequestOutcome.UNCERTAIN: GATEWAY_TIMEOUT,
    }
)


class ShutdownFlag:
    """Whether the process is stopping; connections are then closed."""

    def __init__(self) -> None:
        """Serve on."""
        self.is_set = False


class Ingress:
    """The WSGI application for callers."""

    def __init__(
        self,
        table: QueueTable,
        submissions: Submissions,
        shutdown_flag: ShutdownFlag,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Serve the queues of a table."""
        self._counters = counters
        self._table = table
        self._submissions = submissions
        self._stopping = shutdown_flag
        self._log = log

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, whatever happens."""
        method = str(environ['REQUEST_METHOD']).lower()
        with self._counters.timed(f'front_{method}'):
            answer = self._guarded(environ)
        code = answer.status.partition(' ')[0]
        self._counters.add(f'front_answers_{code}')
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(answer.body))),
        ]
        if answer.retry_after_s:
            headers.append(('Retry-After', str(answer.retry_after_s)))
        if self._stopping.is_set:
            headers.append(('Connection', 'close'))
        start_response(answer.status, headers)
        return [answer.body]

    def _guarded(self, environ: Environ) -> Response:
        try:
            return self._answer(environ)
        except Exception as fault:
            self._log.internal_fault(repr(fault))
            return Response(INTERNAL_SERVER_ERROR)

    def _answer(self, environ: Environ) -> Response:
        cfg = self._table.cfg
        if cfg is None:
            return Response(SERVICE_UNAVAILABLE, retry_after_s=1)
        path = environ.get('PATH_INFO', '')
        rule = self._table.find(environ.get('HTTP_HOST', ''), path)
        if rule is None:
            return Response(NOT_FOUND)
        job_id = path[len(rule.route.prefix) :]
        method = environ['REQUEST_METHOD']
        if not job_id and method == 'GET':
            return self._count_waiting(environ, rule)
        if not _is_job_id(job_id):
            return Response(NOT_FOUND)
        return self._answer_for_job(environ, rule, job_id, cfg)

    def _count_waiting(self, environ: Environ, rule: QueueRule) -> Response:
        deadline_ms = _deadline_ms(environ, rule, COUNT_DEADLINE_FRACTION)
        queue = rule.policy.queue
        return _waiting(self._submissions.count_waiting(queue, deadline_ms))

    def _answer_for_job(
        self, environ: Environ, rule: QueueRule, job_id: str, cfg: QueueCfg
    ) -> Response:
        method = environ['REQUEST_METHOD']
        if method == 'GET':
            return _state(self._submissions.status(job_id))
        if method == 'DELETE':
            deadline_ms = _deadline_ms(environ, rule, CANCEL_DEADLINE_FRACTION)
            return _plain(self._submissions.cancel(job_id, deadline_ms))
        if method == 'POST':
            return self._submit(environ, rule, job_id, cfg)
        return Response(METHOD_NOT_ALLOWED)

    def _submit(
        self, environ: Environ, rule: QueueRule, job_id: str, cfg: QueueCfg
    ) -> Response:
        deadline_ms = _deadline_ms(environ, rule, SUBMIT_DEADLINE_FRACTION)
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > cfg.max_body_bytes:
            return Response(CONTENT_TOO_LARGE)
        try:
            wire = JOB_DECODER.decode(environ['wsgi.input'].read(length))
            spec = job_spec(job_id, wire, rule)
        except (msgspec.DecodeError, ValueError) as exc:
            self._log.job_refused(job_id, str(exc))
            return Response(BAD_REQUEST)
        return _plain(self._submissions.submit(spec, cfg.version, deadline_ms))


class MetricsApp:
    """The WSGI application for those who scrape metrics."""

    def __init__(self, counters: Counters) -> None:
        """Render some counters."""
        self._counters = counters

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        body = self._counters.render().encode()
        headers = [
            ('Content-Type', 'text/plain; version=0.0.4'),
            ('Content-Length', str(len(body))),
        ]
        start_response(OK, headers)
        return [body]


class ReadinessApp:
    """The WSGI application for the balancer: 200 while ready."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Ask a function at each request."""
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        status = OK if self._is_ready() else SERVICE_UNAVAILABLE
        start_response(status, [('Content-Length', '0')])
        return [b'']


def create_server(
    address: HttpAddress, application: object, threads: int
) -> Server:
    """Return an HTTP server that is not started."""
    server = Server(
        (address.host, address.port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=SOCKET_BACKLOG,
        timeout=SOCKET_TIMEOUT_S,
        accepted_queue_size=SOCKET_BACKLOG,
        accepted_queue_timeout=SOCKET_TIMEOUT_S,
    )
    server.max_request_header_size = MAX_HEADER_BYTES
    return server


def job_spec(job_id: str, wire: WireJob, rule: QueueRule) -> JobSpec:
    """Return the job of a submission; raises `ValueError` with the fault."""
    steps = tuple(map(_step, wire.steps))
    schedule = Schedule(wire.first_due_ms, wire.interval_ms, wire.occurrences)
    fault = validate_job(steps, schedule)
    if fault:
        raise ValueError(fault)
    return JobSpec(
        job_id=job_id,
        payload=wire.payload,
        policy=rule.policy,
        steps=steps,
        submitted_ms=now_ms(),
        schedule=schedule,
    )


def _step(wire: WireStep) -> StepSpec:
    return StepSpec(
        task_count=wire.count,
        resources=Resources(wire.cpu, wire.mem_mb, wire.gpus),
        estimated_ms=wire.estimated_ms,
        after=wire.after,
        is_gang=wire.is_gang,
        same_rack=wire.same_rack,
        required_label=wire.required_label,
        data_rack=wire.data_rack,
        max_per_worker=wire.max_per_worker,
        may_copy=wire.may_copy,
        checkpoints=wire.checkpoints,
        is_endless=wire.is_endless,
        fills_spare=wire.fills_spare,
        image=wire.image,
        tail_target_ms=int(wire.tail_target_ms),
        max_away=wire.may_miss,
    )


def _is_job_id(text: str) -> bool:
    return len(text) == _JOB_ID_DIGITS and set(text) <= _HEX_DIGITS


def _deadline_ms(environ: Environ, rule: QueueRule, margin: float) -> int:
    told = environ.get('HTTP_X_DEADLINE_MS', '')
    wait_ms = int(told) if told.isdecimal() else DEFAULT_REQUEST_TIMEOUT_MS
    if rule.timeout_ms:
        wait_ms = min(wait_ms, rule.timeout_ms)
    return deadline_in(int(wait_ms * margin))


def _plain(received: RequestResult) -> Response:
    return Response(
        _STATUS_OF[received.outcome],
        retry_after_s=received.retry_after_s,
    )


def _state(received: RequestResult) -> Response:
    if received.job_status is None:
        return _plain(received)
    state = received.job_status.state.value
    return Response(OK, msgspec.json.encode({'state': state}))


def _waiting(received: RequestResult) -> Response:
    if received.outcome is not RequestOutcome.OK:
        return _plain(received)
    return Response(OK, msgspec.json.encode({'waiting': received.waiting}))
