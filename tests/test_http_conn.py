"""When a response that arrives in parts is accepted."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import HttpSilentError
from gentianpulley.http_conn import (
    HttpAddress,
    HttpResponse,
    HttpConn,
    ReadTimeouts,
)

HOST = '127.0.0.1'
PART = b'x' * 100
Serving = Callable[[tuple[float, ...], int], HttpConn]


def _send_parts(
    listener: socket.socket, pauses_s: tuple[float, ...], length: int
) -> None:
    conn, _ = listener.accept()
    with conn:
        conn.recv(1024)
        conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length)
        for pause_s in pauses_s:
            time.sleep(pause_s)
            conn.sendall(PART)
        time.sleep(1)


@pytest.fixture
def serving() -> Iterator[Serving]:
    """Return a factory of connections to a server with scripted pauses."""
    listener = socket.create_server((HOST, 0))

    def connect(pauses_s: tuple[float, ...], length: int) -> HttpConn:
        threading.Thread(
            target=_send_parts,
            args=(listener, pauses_s, length),
            daemon=True,
        ).start()
        return HttpConn(HttpAddress(HOST, listener.getsockname()[1]), 1)

    yield connect
    listener.close()


def _call(conn: HttpConn) -> HttpResponse:
    return conn.call('GET', '/', deadline_in(300))


def _fetch(conn: HttpConn) -> HttpResponse:
    return conn.fetch('/', ReadTimeouts(deadline_in(700), 0.3))


@pytest.mark.parametrize(
    ('ask', 'pauses_s'),
    [
        (_call, (0.1, 0.1)),
        (_call, (0.2, 0.2)),
        (_fetch, (0.2, 0.2, 0.2)),
    ],
    ids=['in time', 'whole but late', 'slow but never quiet'],
)
def test_an_answer_whose_last_byte_came_is_used(
    serving: Serving,
    ask: Callable[[HttpConn], HttpResponse],
    pauses_s: tuple[float, ...],
) -> None:
    conn = serving(pauses_s, len(PART) * len(pauses_s))
    assert ask(conn).body == PART * len(pauses_s)


@pytest.mark.parametrize(
    ('ask', 'pauses_s', 'at_most_s'),
    [
        (_call, (0.2, 0.2), 0.5),
        (_fetch, (0.1,), 0.5),
        (_fetch, (0.2, 0.2, 0.2, 0.2), 0.9),
    ],
    ids=['late and not whole', 'quiet', 'slower than the bound'],
)
def test_an_answer_without_its_end_fails_in_time(
    serving: Serving,
    ask: Callable[[HttpConn], HttpResponse],
    pauses_s: tuple[float, ...],
    at_most_s: float,
) -> None:
    conn = serving(pauses_s, 10 * len(PART))
    started_s = time.monotonic()
    with pytest.raises(HttpSilentError):
        ask(conn)
    assert time.monotonic() - started_s < at_most_s
