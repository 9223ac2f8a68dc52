"""Calls without a usable response are counted by cause."""

import pytest
from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from gentianpulley.cluster.call_failures import failure_cause
from gentianpulley.errors import (
    HttpSilentError,
    WorkerSilentError,
    WorkerUnreachableError,
)

HOST = '127.0.0.1'
POOL = HTTPConnectionPool(HOST)
CAUSES: tuple[tuple[Exception, str], ...] = (
    (ConnectTimeoutError(), 'connect_timeout'),
    (NewConnectionError(HTTPConnection(HOST), 'no'), 'refused'),
    (ConnectionRefusedError(), 'refused'),
    (ReadTimeoutError(POOL, '/', 'slow'), 'read_timeout'),
    (TimeoutError(1), 'late'),
    (ProtocolError('cut'), 'closed'),
    (ConnectionResetError(), 'closed'),
    (HTTPError('other'), 'workersilenterror'),
)


@pytest.mark.parametrize(('cause', 'name'), CAUSES)
def test_the_cause_is_found_under_the_errors_of_the_layers(
    cause: Exception, name: str
) -> None:
    http_error = HttpSilentError('no complete response')
    http_error.__cause__ = cause
    raised = WorkerSilentError('no complete response')
    raised.__cause__ = http_error
    assert failure_cause(raised) == name


def test_an_error_without_a_cause_is_named_by_its_class() -> None:
    raised = WorkerUnreachableError('status 500')
    assert failure_cause(raised) == 'workerunreachableerror'
