"""The HTTP front for callers, operators, health checks and metrics.

It runs on CherryPy. A request with a rejected body gets a response with a
numbered result code, as any other request does. Each waiting request occupies
one server thread.
"""

from collections.abc import Callable
from dataclasses import dataclass
from logging import WARNING, Handler, LogRecord
from typing import Final

import cherrypy
import msgspec

from gentianpulley.document import decode_document
from gentianpulley.errors import GentianpulleyError, RequestRefusedError
from gentianpulley.front_messages import (
    CancelRequest,
    RequestAnswer,
    answer_from_report,
    error_answer,
)
from gentianpulley.instance_view import InstanceView
from gentianpulley.logs import EventLog
from gentianpulley.messages import malformed_body
from gentianpulley.request import parse_request
from gentianpulley.request_service import RequestService
from gentianpulley.result_code import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    INTERNAL,
    ResultCode,
)
from gentianpulley.settings import DaemonSettings, checked_address

SHUTDOWN_TIMEOUT_S: Final = 5
SOCKET_TIMEOUT_S: Final = 20
SOCKET_BACKLOG: Final = 256
DEFAULT_WAIT_MS: Final = 30_000
MAX_BODY_OPTION: Final = 'gentianpulley.max_body_bytes'
_HTTP_OK: Final = 200
_NOT_READY: Final = 503
_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; version=0.0.4'


@dataclass(frozen=True, slots=True)
class FrontComponents:
    """The components that the HTTP front serves."""

    request_service: RequestService
    view: InstanceView
    log: EventLog


class RequestsResource:
    """`/v1/requests`: submit a request, read its state and cancel it."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Serve callers from the request service."""
        self._request_service = components.request_service
        self._log = components.log

    def POST(self, wait_ms: str = '') -> bytes:
        """Submit a request and wait for its answer."""
        return _respond(self._log, lambda: self._submit(wait_ms))

    def GET(self, request_key: str, wait_ms: str = '0') -> bytes:
        """Return the state of a request, or its answer if it has ended."""
        return _respond(
            self._log,
            lambda: answer_from_report(
                self._request_service.status(
                    request_key, _milliseconds(wait_ms)
                )
            ),
        )

    def DELETE(self, request_key: str) -> bytes:
        """Cancel a request."""
        return _respond(
            self._log,
            lambda: answer_from_report(
                self._request_service.cancel((request_key,))[0]
            ),
        )

    def _submit(self, wait_ms: str) -> RequestAnswer:
        req = parse_request(_body())
        waited = _milliseconds(wait_ms) if wait_ms else DEFAULT_WAIT_MS
        return answer_from_report(self._request_service.submit(req, waited))


class CancellationsResource:
    """`/v1/cancellations`: cancel many requests in one call."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Serve callers from the request service."""
        self._request_service = components.request_service
        self._log = components.log

    def POST(self) -> bytes:
        """Cancel all requests whose keys are in the body."""
        try:
            wanted = msgspec.json.decode(_body(), type=CancelRequest)
            reports = self._request_service.cancel(wanted.request_keys)
        except msgspec.DecodeError as exc:
            return _send_error(BAD_REQUEST, malformed_body(str(exc)))
        except GentianpulleyError as refused:
            return _send_error(refused.code, refused.text)
        answers = tuple(answer_from_report(report) for report in reports)
        return _send(_HTTP_OK, msgspec.json.encode(answers))


class DocumentsResource:
    """`/v1/documents`: documents the CLI sends in addition to the store."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Pass documents to the view of the instance."""
        self._view = components.view

    def POST(self) -> bytes:
        """Activate a document if newer; return the instance's status."""
        try:
            self._view.update_document(decode_document(_body()))
        except msgspec.DecodeError as exc:
            return _send_error(BAD_REQUEST, malformed_body(str(exc)))
        except RequestRefusedError as refused:
            return _send_error(refused.code, refused.text)
        return _send(_HTTP_OK, msgspec.json.encode(self._view.status()))


class StatusResource:
    """`/v1/status`: the status of the instance."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Read the status from the view of the instance."""
        self._view = components.view

    def GET(self) -> bytes:
        """Return the status as JSON."""
        return _send(_HTTP_OK, msgspec.json.encode(self._view.status()))


class MeasurementsResource:
    """`/v1/measurements`: histograms and counts for the burn report."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Export the metrics of the instance."""
        self._view = components.view

    def GET(self) -> bytes:
        """Return the measurements as JSON."""
        return _send(_HTTP_OK, msgspec.json.encode(self._view.measurements()))


class MetricsResource:
    """`/metrics`: the Prometheus text format."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Export the metrics of the instance."""
        self._view = components.view

    def GET(self) -> bytes:
        """Return counters, gauges and quantiles."""
        return _send(_HTTP_OK, self._view.metrics_text().encode(), _TEXT)


class HealthResource:
    """`/healthz`: liveness of the process."""

    exposed = True

    def GET(self) -> bytes:
        """Return 200 whenever the server can respond."""
        return _send(_HTTP_OK, b'ok\n', _TEXT)


class ReadyResource:
    """`/readyz`: whether the instance accepts requests."""

    exposed = True

    def __init__(self, components: FrontComponents) -> None:
        """Read readiness from the view of the instance."""
        self._view = components.view

    def GET(self) -> bytes:
        """Return 200 when ready, otherwise 503 with the reason."""
        reason = self._view.unready_reason()
        status = _NOT_READY if reason else _HTTP_OK
        text = reason or 'ready'
        return _send(status, f'{text}\n'.encode(), _TEXT)


class ResourceContainer:
    """A path that contains resources but is not a resource itself."""

    exposed = True

    def GET(self, *path: str) -> bytes:
        """Raise `cherrypy.NotFound` for any path."""
        raise cherrypy.NotFound


class V1Resources(ResourceContainer):
    """The resources under `/v1`."""

    def __init__(self, components: FrontComponents) -> None:
        """Mount all resources."""
        self.requests = RequestsResource(components)
        self.cancellations = CancellationsResource(components)
        self.documents = DocumentsResource(components)
        self.status = StatusResource(components)
        self.measurements = MeasurementsResource(components)


class FrontRoot(ResourceContainer):
    """The root of the HTTP front."""

    def __init__(self, components: FrontComponents) -> None:
        """Mount all resources."""
        self.v1 = V1Resources(components)
        self.metrics = MetricsResource(components)
        self.healthz = HealthResource()
        self.readyz = ReadyResource(components)


class ServerErrorHandler(Handler):
    """Writes errors of the server, reported nowhere else, to the event log."""

    def __init__(self, log: EventLog) -> None:
        """Write to the event log of the instance."""
        super().__init__(WARNING)
        self._log = log

    def emit(self, record: LogRecord) -> None:
        """Write one server error with its traceback."""
        self._log.internal_fault(self.format(record))


class HttpFront:
    """Runs the CherryPy server."""

    def __init__(
        self, settings: DaemonSettings, components: FrontComponents
    ) -> None:
        """Configure the server without starting it."""
        address = checked_address(settings.http)
        cherrypy.config.update(
            {
                'environment': 'embedded',
                'server.socket_host': address.host,
                'server.socket_port': address.port,
                'server.socket_queue_size': SOCKET_BACKLOG,
                'server.thread_pool': settings.http_threads,
                # The front checks sizes itself, to respond with a result code.
                'server.max_request_body_size': 0,
                MAX_BODY_OPTION: settings.max_body_bytes,
                'server.shutdown_timeout': SHUTDOWN_TIMEOUT_S,
                'server.socket_timeout': SOCKET_TIMEOUT_S,
                'engine.autoreload.on': False,
                'log.screen': False,
                'checker.on': False,
            }
        )
        cherrypy.log.error_log.addHandler(ServerErrorHandler(components.log))
        cherrypy.tree.mount(
            FrontRoot(components),
            '/',
            {
                '/': {
                    'request.dispatch': cherrypy.dispatch.MethodDispatcher(),
                    'request.process_request_body': False,
                    'error_page.default': _error_page,
                }
            },
        )

    def start(self) -> None:
        """Listen and serve; raises `OSError` if the address is taken."""
        cherrypy.engine.start()

    def stop(self) -> None:
        """Finish the requests in progress and stop listening."""
        cherrypy.engine.exit()


def _respond(log: EventLog, serve: Callable[[], RequestAnswer]) -> bytes:
    """Send the answer, or a numbered result code for any exception.

    `cherrypy.HTTPError` is passed on to the server.
    """
    try:
        answer = serve()
    except GentianpulleyError as exc:
        answer = error_answer(exc.code, exc.text)
    except cherrypy.HTTPError:
        raise
    except Exception as unexpected:
        log.internal_fault(repr(unexpected))
        answer = error_answer(INTERNAL, INTERNAL.meaning)
    return _send(answer.http_status(), msgspec.json.encode(answer))


def _body() -> bytes:
    """Read the request body.

    Raises `RequestRefusedError` if it is too large, has no declared length or
    is truncated.
    """
    headers = cherrypy.request.headers
    declared = headers.get('Content-Length', '0')
    if 'Transfer-Encoding' in headers or not declared.isdecimal():
        cherrypy.response.headers['Connection'] = 'close'
        raise RequestRefusedError(BAD_REQUEST, malformed_body('no length'))
    if int(declared) > cherrypy.config[MAX_BODY_OPTION]:
        cherrypy.response.headers['Connection'] = 'close'
        raise RequestRefusedError(BODY_TOO_LARGE, BODY_TOO_LARGE.meaning)
    body: bytes = cherrypy.request.rfile.read(int(declared))
    if len(body) != int(declared):
        raise RequestRefusedError(BAD_REQUEST, malformed_body('truncated'))
    return body


def _milliseconds(text: str) -> int:
    if not text.isdecimal():
        raise RequestRefusedError(BAD_REQUEST, malformed_body('wait_ms'))
    return int(text)


def _send_error(code: ResultCode, text: str) -> bytes:
    answer = error_answer(code, text)
    return _send(code.http_status, msgspec.json.encode(answer))


def _send(status: int, body: bytes, media_type: str = _JSON) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers['Content-Type'] = media_type
    return body


def _error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Return the body for errors of the server, such as an unknown path."""
    number = int(status.split(maxsplit=1)[0])
    code = BODY_TOO_LARGE if number == BODY_TOO_LARGE.http_status else None
    if code is None:
        code = BAD_REQUEST if number < INTERNAL.http_status else INTERNAL
    cherrypy.response.headers['Content-Type'] = _JSON
    return msgspec.json.encode(error_answer(code, f'{status}: {message}'))
