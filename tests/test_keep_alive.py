"""How one connection handles responses and failures."""

import json
import time

import pytest

from gentianpulley.deadline import now_ms
from gentianpulley.response_delay import ResponseDelayEstimator
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.http_conn import HttpAddress, HttpResponse
from gentianpulley.keep_alive import KeepAliveConn, ResponseDeadlines
from tests.task_runner import run
from tests.scripted_server import (
    HOST,
    ConnectionEnd,
    Part,
    ScriptedServer,
    build_response,
    free_port,
    scripted_server,
)

FIRST_BYTE_TIMEOUT_MS = 250
IDLE_TIMEOUT_MS = 250
COMPLETE_TIMEOUT_MS = 900
PAUSE_S = 0.05
MAX_DURATION_S = 1.5
BODY = b'{"clock_ms":1}'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
CLOSING = build_response(BODY, extra_headers=b'Connection: close\r\n')


def _deadlines() -> ResponseDeadlines:
    at_ms = now_ms()
    return ResponseDeadlines(
        at_ms + FIRST_BYTE_TIMEOUT_MS,
        IDLE_TIMEOUT_MS,
        at_ms + COMPLETE_TIMEOUT_MS,
    )


def _post(conn: KeepAliveConn, body: bytes = b'{}') -> HttpResponse:
    return run(conn.post('/path', body, _deadlines()))


def _conn(server: ScriptedServer) -> KeepAliveConn:
    return KeepAliveConn(HttpAddress(HOST, server.port), (('X-Id', 'w'),))


def _close(conn: KeepAliveConn) -> None:
    async def close() -> None:
        conn.close()

    run(close())


def _split_into_bytes(whole: bytes) -> tuple[Part, ...]:
    return tuple(whole[at : at + 1] for at in range(len(whole)))


@pytest.mark.parametrize(
    ('parts', 'body', 'conns'),
    [
        pytest.param((build_response(BODY),), BODY, 1, id='one packet'),
        pytest.param(
            _split_into_bytes(build_response(BODY)), BODY, 1, id='byte by byte'
        ),
        pytest.param(
            (build_response(BODY)[:20], PAUSE_S, build_response(BODY)[20:]),
            BODY,
            1,
            id='split in the head',
        ),
        pytest.param(
            (build_response(BODY)[:-3], PAUSE_S, build_response(BODY)[-3:]),
            BODY,
            1,
            id='split in the body',
        ),
        pytest.param((build_response(b''),), b'', 1, id='empty'),
        pytest.param(
            (build_response(b'x' * 300_000),), b'x' * 300_000, 1, id='long'
        ),
        pytest.param(
            (CHUNKED, b'3\r\nabc\r\n', PAUSE_S, b'2\r\nde\r\n0\r\n\r\n'),
            b'abcde',
            1,
            id='chunked',
        ),
        pytest.param((CLOSING,), BODY, 2, id='told to close'),
        pytest.param(
            (WITHOUT_LENGTH, PAUSE_S, BODY, ConnectionEnd.CLOSED),
            BODY,
            2,
            id='no length',
        ),
        pytest.param(
            (b'HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok',),
            b'ok',
            2,
            id='old version',
        ),
        pytest.param(
            (b'HTTP/1.1 100 Continue\r\n\r\n', PAUSE_S, build_response(BODY)),
            BODY,
            1,
            id='interim answer',
        ),
        pytest.param(
            (build_response(BODY) + build_response(b'late'),),
            BODY,
            2,
            id='one too many',
        ),
        pytest.param(
            (build_response(BODY) + b'???',), BODY, 2, id='garbage after'
        ),
    ],
)
def test_whole_answers(
    parts: tuple[Part, ...], body: bytes, conns: int
) -> None:
    with scripted_server(lambda _: parts) as server:
        conn = _conn(server)
        for _ in range(2):
            assert _post(conn) == HttpResponse(200, body)
        assert server.conn_count == conns
        _close(conn)


@pytest.mark.parametrize(
    'parts',
    [
        pytest.param((ConnectionEnd.CLOSED,), id='closed without an answer'),
        pytest.param((ConnectionEnd.RESET,), id='reset without an answer'),
        pytest.param(
            (build_response(BODY)[:-3], ConnectionEnd.CLOSED),
            id='closed in the body',
        ),
        pytest.param(
            (build_response(BODY)[:-3], PAUSE_S, ConnectionEnd.RESET),
            id='reset in the body',
        ),
        pytest.param(
            (CHUNKED, b'3\r\nabc\r\n', ConnectionEnd.CLOSED), id='no last chunk'
        ),
        pytest.param((9.0,), id='silent'),
        pytest.param(
            (build_response(BODY)[:-3], 9.0), id='silent in the middle'
        ),
        pytest.param((build_response(BODY)[:9], 9.0), id='silent in the head'),
        pytest.param((b'hello\r\n\r\n', 9.0), id='garbage'),
        pytest.param((CHUNKED, b'zz\r\n', 9.0), id='garbage in a chunk'),
        pytest.param(
            (build_response(b'x' * 90)[:40], *((b'x', 0.1) * 60)), id='trickle'
        ),
    ],
)
def test_answers_that_never_come_whole(parts: tuple[Part, ...]) -> None:
    """The failed call closes the connection; the next one opens another."""
    scripts = iter((parts, (build_response(BODY),)))
    with scripted_server(lambda _: next(scripts)) as server:
        conn = _conn(server)
        started_s = time.monotonic()
        with pytest.raises(HttpSilentError):
            _post(conn)
        assert time.monotonic() - started_s < MAX_DURATION_S
        assert _post(conn) == HttpResponse(200, BODY)
        assert server.conn_count == 2
        _close(conn)


def test_a_refused_connection_sent_nothing() -> None:
    conn = KeepAliveConn(HttpAddress(HOST, free_port()))
    for _ in range(3):
        with pytest.raises(HttpUnreachableError):
            _post(conn)


def test_an_idle_connection_that_was_closed_is_found_before_sending() -> None:
    with scripted_server(lambda _: (build_response(BODY),)) as server:
        conn = _conn(server)
        _post(conn)
        server.close_connections()
        time.sleep(PAUSE_S)
        assert _post(conn) == HttpResponse(200, BODY)
        assert server.conn_count == 2
        _close(conn)


def test_what_is_sent() -> None:
    with scripted_server(lambda _: (build_response(BODY),)) as server:
        conn = _conn(server)
        sent = json.dumps({'text': 'y' * 2_000_000}).encode()
        deadline_ms = now_ms() + 9000
        deadlines = ResponseDeadlines(deadline_ms, 9000, deadline_ms)
        run(conn.post('/path', sent, deadlines))
        head, _, body = server.requests[0].partition(b'\r\n\r\n')
        _close(conn)
    assert body == sent
    assert head.split(b'\r\n') == [
        b'POST /path HTTP/1.1',
        b'Host: %s' % server.address.encode(),
        b'Content-Type: application/json',
        b'X-Id: w',
        b'Content-Length: %d' % len(sent),
    ]


def test_an_answer_that_arrives_in_pieces_may_be_late() -> None:
    """Its bytes show that it is in flight."""
    whole = build_response(BODY)
    parts = (whole[:9], 0.2, whole[9:30], 0.2, whole[30:])
    with scripted_server(lambda _: parts) as server:
        conn = _conn(server)
        assert _post(conn) == HttpResponse(200, BODY)
        _close(conn)


@pytest.mark.parametrize(
    ('times', 'allowed'),
    [
        ((), 500),
        ((2, 3, 2), 500),
        ((400,), 1200),
        ((400,) * 40, 500),
        ((900,) * 40, 900),
        ((5000,), 1900),
        ((None,), 1000),
        ((None, None), 1900),
        ((None, None, *((10,) * 3)), 500),
    ],
)
def test_allowed_delays(times: tuple[int | None, ...], allowed: int) -> None:
    estimate = ResponseDelayEstimator(500, 1900)
    for took_ms in times:
        if took_ms is None:
            estimate.back_off()
        else:
            estimate.add_sample(took_ms)
    assert estimate.timeout_ms == pytest.approx(allowed, abs=5)
