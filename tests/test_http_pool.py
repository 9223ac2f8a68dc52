"""How a failed call affects the other calls of its connection pool."""

import threading
from collections.abc import Callable
from contextlib import closing
from typing import Any

import pytest
from urllib3 import BaseHTTPResponse, HTTPConnectionPool
from urllib3.exceptions import ClosedPoolError

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.http_conn import HttpAddress, HttpConn
from tests.scripted_server import (
    HOST,
    Part,
    ScriptedServer,
    build_response,
    free_port,
    scripted_server,
)

POOL_SIZE = 3


def _script(request: bytes) -> tuple[Part, ...]:
    if request.startswith(b'POST /silent'):
        return (1.0,)
    return (0.1, build_response(b'{}'))


def _post(conn: HttpConn, path: str, timeout_ms: int = 1000) -> int:
    response = conn.call('POST', path, deadline_in(timeout_ms), b'{}')
    return response.status


def _post_concurrently(conn: HttpConn) -> None:
    threads = [
        threading.Thread(target=_post, args=(conn, '/'))
        for _ in range(POOL_SIZE)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _time_out(conn: HttpConn) -> None:
    with pytest.raises(HttpSilentError):
        _post(conn, '/silent', 50)


def _close(conn: HttpConn) -> None:
    conn.close()


@pytest.mark.parametrize('fail', [_time_out, _close])
def test_after_a_failure_as_many_connections_are_kept_as_before(
    fail: Callable[[HttpConn], None],
) -> None:
    with scripted_server(_script) as server:
        conn = HttpConn(HttpAddress(HOST, server.port), POOL_SIZE)
        fail(conn)
        before = server.conn_count
        for _ in range(3):
            _post_concurrently(conn)
        assert server.conn_count - before == POOL_SIZE


def test_the_first_call_to_a_server_that_is_back_is_answered() -> None:
    port = free_port()
    conn = HttpConn(HttpAddress(HOST, port), POOL_SIZE)
    with pytest.raises(HttpUnreachableError):
        _post(conn, '/')
    with closing(ScriptedServer(_script, port)):
        assert _post(conn, '/') == 200


def test_a_server_that_stays_away_is_unreachable_each_time() -> None:
    conn = HttpConn(HttpAddress(HOST, free_port()), POOL_SIZE)
    for _ in range(3):
        with pytest.raises(HttpUnreachableError):
            _post(conn, '/')


def test_a_call_whose_pool_was_just_closed_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A concurrent call has failed and closed the idle connections."""
    closed = [True]
    urlopen = HTTPConnectionPool.urlopen

    def _urlopen(
        pool: HTTPConnectionPool, *line: Any, **request: Any
    ) -> BaseHTTPResponse:
        if closed:
            closed.pop()
            raise ClosedPoolError(pool, 'Pool is closed.')
        return urlopen(pool, *line, **request)

    monkeypatch.setattr(HTTPConnectionPool, 'urlopen', _urlopen)
    with scripted_server(_script) as server:
        conn = HttpConn(HttpAddress(HOST, server.port), POOL_SIZE)
        assert _post(conn, '/') == 200
