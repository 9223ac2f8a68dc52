"""A failed call does not break the calls that come after or beside it."""

import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from urllib3 import BaseHTTPResponse, HTTPConnectionPool
from urllib3.exceptions import ClosedPoolError

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.http_conn import HttpAddress, HttpConn
from standins.http_server import OK, Call, Reply, StandinServer
from standins.site import free_port

HOST = '127.0.0.1'
CALLS = 4


class CountingServer(StandinServer):
    """Counts connections; holds calls until as many as told are there."""

    def __init__(self, port: int) -> None:
        """Hold nothing yet."""
        super().__init__(HOST, port)
        self.conns = 0
        self.together = threading.Barrier(1)

    def get_request(self) -> tuple[socket.socket, object]:
        """Count a connection."""
        self.conns += 1
        return super().get_request()

    def serve(self, call: Call) -> Reply:
        """Answer once enough calls are there."""
        self.together.wait(2)
        return Reply(OK, b'{}')


@pytest.fixture
def address() -> HttpAddress:
    return HttpAddress(HOST, free_port())


@pytest.fixture
def failed(address: HttpAddress) -> HttpConn:
    """Return a connection whose first call found nobody listening."""
    conn = HttpConn(address, CALLS)
    with pytest.raises(HttpUnreachableError):
        conn.call('GET', '/', deadline_in(500))
    return conn


@pytest.fixture
def server(address: HttpAddress, failed: HttpConn) -> Iterator[CountingServer]:
    running = CountingServer(address.port)
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


def _call_together(conn: HttpConn, server: CountingServer) -> None:
    server.together = threading.Barrier(CALLS)
    threads = [
        threading.Thread(target=conn.call, args=('GET', '/', deadline_in(3000)))
        for _ in range(CALLS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def test_a_call_after_a_refused_connection_is_sent(
    failed: HttpConn, server: CountingServer
) -> None:
    """It was taken for silent, although nothing of it had left."""
    assert failed.call('GET', '/', deadline_in(1000)).status == OK


def test_connections_are_kept_after_a_failed_call(
    failed: HttpConn, server: CountingServer
) -> None:
    """Only one was kept after a failure, so each call beside it opened one."""
    with pytest.raises(HttpSilentError):
        server.together = threading.Barrier(2)
        failed.call('GET', '/', deadline_in(100))
    _call_together(failed, server)
    opened = server.conns
    _call_together(failed, server)
    assert server.conns == opened


def test_a_call_whose_pool_was_just_closed_is_sent(
    failed: HttpConn,
    server: CountingServer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call beside it has failed and dropped the idle connections."""
    closed = [True]
    urlopen = HTTPConnectionPool.urlopen

    def _urlopen(pool: HTTPConnectionPool, **request: Any) -> BaseHTTPResponse:
        if closed:
            closed.pop()
            raise ClosedPoolError(pool, 'Pool is closed.')
        return urlopen(pool, **request)

    monkeypatch.setattr(HTTPConnectionPool, 'urlopen', _urlopen)
    assert failed.call('GET', '/', deadline_in(1000)).status == OK
