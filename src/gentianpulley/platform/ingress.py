"""HTTP front for callers of queues, and the platform's readiness check.

The applications use WSGI; cheroot, the server inside CherryPy, runs them with
a thread pool and keep-alive connections.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from string import hexdigits
from types import MappingProxyType
from typing import Any, Final

import msgspec
from cheroot.wsgi import Server

from gentianpulley.cluster.caller_check import CallerCheck
from gentianpulley.cluster.customer_keys import (
    UNRESTRICTED,
    Caller,
    KeyRefusal,
)
from gentianpulley.cluster.queues import ActiveCfg, QueueRule, QueueTable
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
from gentianpulley.json_decoding import decode_json
from gentianpulley.logs import EventLog
from gentianpulley.platform.wire import JOB_DECODER, WireJob, WireStep
from gentianpulley.resources import Resources

FRONT_THREADS: Final = 12
"""Requests that one instance serves concurrently. Each waits a few ms for a
store call, and an instance receives a few tens of requests per second."""

READY_THREADS: Final = 2
"""Only the platform's load balancer checks readiness."""

CANCEL_DEADLINE_FRACTION: Final = 0.8
"""Fraction of a caller's deadline available to a cancellation."""

COUNT_DEADLINE_FRACTION: Final = 0.8
"""Fraction of a caller's deadline available to a count of waiting jobs."""

SUBMIT_DEADLINE_FRACTION: Final = 0.45
"""Fraction of a caller's deadline available to a submission. A caller that
learns within half of its time that the store does not respond can still try
another instance."""

DEFAULT_REQUEST_TIMEOUT_MS: Final = 3000
"""How long a caller is assumed to wait if it states no deadline."""

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
    """An HTTP response; no Retry-After is sent if `retry_after_s` is 0."""

    status: str
    body: bytes = b'{}'
    retry_after_s: int = 0


OK: Final = '200 OK'
BAD_REQUEST: Final = '400 Bad Request'
UNAUTHORIZED: Final = '401 Unauthorized'
FORBIDDEN: Final = '403 Forbidden'
NOT_FOUND: Final = '404 Not Found'
METHOD_NOT_ALLOWED: Final = '405 Method Not Allowed'
GONE: Final = '410 Gone'
CONTENT_TOO_LARGE: Final = '413 Content Too Large'
TOO_MANY_REQUESTS: Final = '429 Too Many Requests'
INTERNAL_SERVER_ERROR: Final = '500 Internal Server Error'
SERVICE_UNAVAILABLE: Final = '503 Service Unavailable'
GATEWAY_TIMEOUT: Final = '504 Gateway Timeout'

_STATUS_OF: Final = MappingProxyType(
    {
        RequestOutcome.OK: OK,
        RequestOutcome.UNKNOWN_JOB: GONE,
        RequestOutcome.FORBIDDEN: FORBIDDEN,
        RequestOutcome.REFUSED: SERVICE_UNAVAILABLE,
        RequestOutcome.UNCERTAIN: GATEWAY_TIMEOUT,
        RequestOutcome.OVERLOADED: TOO_MANY_REQUESTS,
    }
)


@dataclass(frozen=True, slots=True)
class _Call:
    """A call on a queue; `job_id` is empty for a count of waiting jobs."""

    environ: Environ
    active: ActiveCfg
    rule: QueueRule
    job_id: str
    caller: Caller = UNRESTRICTED

    @property
    def is_well_formed(self) -> bool:
        """Return whether the call is about a job or the count of a queue."""
        return _is_job_id(self.job_id) or (
            not self.job_id and self.method == 'GET'
        )

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self.environ['REQUEST_METHOD'])

    @property
    def key(self) -> bytes:
        """Return the key of a customer that was sent, empty for none.

        The server decodes headers as Latin-1, and cfgs are in UTF-8.
        """
        sent_key = str(self.environ.get('HTTP_X_CREDENTIAL', ''))
        return sent_key.encode('latin-1', 'replace')

    def deadline_ms(self, fraction: float) -> int:
        """Return until when a fraction of the caller's time is over."""
        return _deadline_ms(self.environ, self.rule, fraction)


class ShutdownFlag:
    """Set while the process shuts down; connections are then closed."""

    def __init__(self) -> None:
        """Start unset."""
        self.is_set = False


class Ingress:
    """The WSGI application for callers."""

    def __init__(
        self,
        table: QueueTable,
        caller_check: CallerCheck,
        submissions: Submissions,
        shutdown_flag: ShutdownFlag,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Serve the queues defined in `table`."""
        self._counters = counters
        self._table = table
        self._caller_check = caller_check
        self._submissions = submissions
        self._shutdown_flag = shutdown_flag
        self._log = log

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request; an unexpected exception gives a 500 response."""
        method = str(environ['REQUEST_METHOD']).lower()
        with self._counters.timed(f'front_{method}'):
            response = self._respond(environ)
        code = response.status.partition(' ')[0]
        self._counters.add(f'front_answers_{code}')
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(response.body))),
        ]
        if response.retry_after_s:
            headers.append(('Retry-After', str(response.retry_after_s)))
        if self._shutdown_flag.is_set:
            headers.append(('Connection', 'close'))
        start_response(response.status, headers)
        return [response.body]

    def _respond(self, environ: Environ) -> Response:
        try:
            return self._route(environ)
        except Exception as exc:
            self._log.internal_fault(repr(exc))
            return Response(INTERNAL_SERVER_ERROR)

    def _route(self, environ: Environ) -> Response:
        call = self._admit(environ)
        return call if isinstance(call, Response) else self._serve(call)

    def _admit(self, environ: Environ) -> _Call | Response:
        """Find the queue and the caller by one cfg, or refuse the call."""
        is_fresh = self._caller_check.is_fresh()
        active = self._table.active
        if active is None:
            return Response(SERVICE_UNAVAILABLE, retry_after_s=1)
        path = environ.get('PATH_INFO', '')
        rule = active.find(environ.get('HTTP_HOST', ''), path)
        if rule is None:
            return Response(NOT_FOUND)
        job_id = path.removeprefix(rule.route.prefix)
        call = _Call(environ, active, rule, job_id)
        if not call.is_well_formed:
            return Response(NOT_FOUND)
        caller = self._caller_check.identify(
            active, rule, call.key, is_fresh=is_fresh
        )
        if isinstance(caller, KeyRefusal):
            return self._refuse(call, caller)
        return replace(call, caller=caller)

    def _refuse(self, call: _Call, refusal: KeyRefusal) -> Response:
        self._report_refusal(call, refusal.value)
        if refusal is KeyRefusal.STALE_CFG:
            return Response(SERVICE_UNAVAILABLE, retry_after_s=1)
        return Response(UNAUTHORIZED)

    def _report_refusal(self, call: _Call, reason: str) -> None:
        self._counters.add(f'front_key_{reason.replace(" ", "_")}')
        self._log.call_refused(
            call.job_id,
            call.rule.policy.queue,
            reason,
            customer=call.caller.customer,
            cfg_version=call.active.cfg.version,
        )

    def _serve(self, call: _Call) -> Response:
        if not call.job_id:
            return self._count_waiting(call)
        if call.method == 'POST':
            return self._submit(call)
        if call.method == 'GET':
            outcome = self._submissions.status(call.job_id, call.caller)
            return self._status_response(call, outcome)
        if call.method == 'DELETE':
            outcome = self._submissions.cancel(
                call.job_id,
                call.deadline_ms(CANCEL_DEADLINE_FRACTION),
                call.caller,
            )
            return self._outcome_response(call, outcome)
        return Response(METHOD_NOT_ALLOWED)

    def _count_waiting(self, call: _Call) -> Response:
        deadline_ms = call.deadline_ms(COUNT_DEADLINE_FRACTION)
        queue = call.rule.policy.queue
        return _count_response(
            self._submissions.count_waiting(queue, deadline_ms)
        )

    def _submit(self, call: _Call) -> Response:
        deadline_ms = call.deadline_ms(SUBMIT_DEADLINE_FRACTION)
        length = int(call.environ.get('CONTENT_LENGTH') or 0)
        if length > call.active.cfg.max_body_bytes:
            return Response(CONTENT_TOO_LARGE)
        body = call.environ['wsgi.input'].read(length)
        # The body may arrive long after the headers, so its key is checked
        # again.
        current = self._admit(call.environ)
        if isinstance(current, Response):
            return current
        return self._store(current, body, deadline_ms)

    def _store(self, call: _Call, body: bytes, deadline_ms: int) -> Response:
        try:
            wire = decode_json(JOB_DECODER, body)
            spec = job_spec(call.job_id, wire, call.rule, call.caller.customer)
        except (msgspec.DecodeError, ValueError) as exc:
            self._log.job_refused(call.job_id, str(exc))
            return Response(BAD_REQUEST)
        outcome = self._submissions.submit(
            spec, call.active.cfg.version, deadline_ms, call.caller
        )
        return self._outcome_response(call, outcome)

    def _status_response(
        self, call: _Call, request_result: RequestResult
    ) -> Response:
        if request_result.job_status is None:
            return self._outcome_response(call, request_result)
        state = request_result.job_status.state.value
        return Response(OK, msgspec.json.encode({'state': state}))

    def _outcome_response(
        self, call: _Call, request_result: RequestResult
    ) -> Response:
        if request_result.outcome is RequestOutcome.FORBIDDEN:
            self._report_refusal(call, 'foreign')
        return _outcome_response(request_result)


class MetricsApp:
    """The WSGI application that metrics are scraped from."""

    def __init__(self, counters: Counters) -> None:
        """Render `counters` on each request."""
        self._counters = counters

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the metrics in the Prometheus text format."""
        body = self._counters.render().encode()
        headers = [
            ('Content-Type', 'text/plain; version=0.0.4'),
            ('Content-Length', str(len(body))),
        ]
        start_response(OK, headers)
        return [body]


class ReadinessApp:
    """The WSGI application for the load balancer: 200 while ready, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Call `is_ready` on each request."""
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the readiness status with an empty body."""
        status = OK if self._is_ready() else SERVICE_UNAVAILABLE
        start_response(status, [('Content-Length', '0')])
        return [b'']


def create_server(
    address: HttpAddress, application: object, threads: int
) -> Server:
    """Return an HTTP server that has not been started."""
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


def job_spec(
    job_id: str, wire: WireJob, rule: QueueRule, customer: str = ''
) -> JobSpec:
    """Return the job described by a customer's submission.

    Raises `ValueError` with the reason if the job is invalid.
    """
    steps = tuple(map(_step, wire.steps))
    schedule = Schedule(wire.first_due_ms, wire.interval_ms, wire.occurrences)
    error = validate_job(steps, schedule)
    if error:
        raise ValueError(error)
    return JobSpec(
        job_id=job_id,
        payload=wire.payload,
        policy=rule.policy,
        steps=steps,
        submitted_ms=now_ms(),
        schedule=schedule,
        customer=customer,
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


def _deadline_ms(environ: Environ, rule: QueueRule, fraction: float) -> int:
    header = environ.get('HTTP_X_DEADLINE_MS', '')
    wait_ms = int(header) if header.isdecimal() else DEFAULT_REQUEST_TIMEOUT_MS
    if rule.timeout_ms:
        wait_ms = min(wait_ms, rule.timeout_ms)
    return deadline_in(int(wait_ms * fraction))


def _outcome_response(request_result: RequestResult) -> Response:
    return Response(
        _STATUS_OF[request_result.outcome],
        retry_after_s=request_result.retry_after_s,
    )


def _count_response(request_result: RequestResult) -> Response:
    if request_result.outcome is not RequestOutcome.OK:
        return _outcome_response(request_result)
    return Response(
        OK, msgspec.json.encode({'waiting': request_result.waiting})
    )
