"""One keep-alive HTTP/1.1 connection for one thread.

A connection pool is convenient, and costs more than everything else that a
leader does. This one writes a request with one send, and leaves the parsing
of answers to llhttp.
"""

import select
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

from gentianpulley.deadline import (
    MS_PER_SECOND,
    deadline_in,
    has_passed,
    ms_left,
)
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.http_conn import Headers, HttpAddress, HttpResponse
from gentianpulley.messages import http_silent, http_unreachable

CONNECT_TIMEOUT_MS: Final = 1000
CHUNK_BYTES: Final = 65536
_FIRST_FINAL_STATUS: Final = 200
_SHORTEST_TIMEOUT_MS: Final = 1
_LENGTH_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class ResponseDeadlines:
    """How long an answer is waited for.

    Its first byte has until `first_byte_deadline_ms`. While it arrives it may
    pause for `idle_timeout_ms`, and it has until `complete_deadline_ms` to be
    whole. What has arrived by the time that the thread looks is used in any
    case.
    """

    first_byte_deadline_ms: int
    idle_timeout_ms: int
    complete_deadline_ms: int

    def next_read_deadline_ms(self) -> int:
        """Return until when the next bytes are waited for."""
        return min(self.complete_deadline_ms, deadline_in(self.idle_timeout_ms))


class KeepAliveConn:
    """A connection to one server that is opened again when it has failed."""

    def __init__(self, address: HttpAddress, headers: Headers = ()) -> None:
        """Connect at the first call; `headers` go with each of them."""
        self._address = address
        self._fixed = _head_lines(
            (
                ('Host', str(address)),
                ('Content-Type', 'application/json'),
                *headers,
            )
        )
        self._sock: socket.socket | None = None
        self._poll = select.poll()

    def post(
        self, path: str, body: bytes, deadlines: ResponseDeadlines
    ) -> HttpResponse:
        """Send one request and return its whole answer.

        Raises `HttpUnreachableError` when no byte of the request was written,
        `HttpSilentError` when no whole answer arrived after that. Both close
        the connection.
        """
        sock = self._connected(deadlines)
        head = f'POST {path} HTTP/1.1\r\n{self._fixed}'
        request = b'%sContent-Length: %d\r\n\r\n%s' % (
            head.encode('latin-1'),
            len(body),
            body,
        )
        self._write(sock, request, deadlines)
        answer = _Answer()
        try:
            self._read(sock, answer, deadlines)
        except (OSError, HttpParserError, HttpParserUpgrade) as exc:
            raise self._silent(exc) from exc
        if not answer.may_continue:
            self.close()
        return HttpResponse(answer.status, answer.body())

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        sock = self._sock
        self._sock = None
        if sock is not None:
            self._poll.unregister(sock)
            sock.close()

    def _connected(self, deadlines: ResponseDeadlines) -> socket.socket:
        """Return the open connection, or a new one if that has ended."""
        if self._sock is not None and self._poll.poll(0):
            # Nothing is due on an idle connection but its end.
            self.close()
        if self._sock is None:
            self._sock = self._connect(deadlines)
        return self._sock

    def _connect(self, deadlines: ResponseDeadlines) -> socket.socket:
        timeout_ms = min(
            CONNECT_TIMEOUT_MS, ms_left(deadlines.first_byte_deadline_ms)
        )
        try:
            sock = socket.create_connection(
                (self._address.host, self._address.port),
                max(timeout_ms, _SHORTEST_TIMEOUT_MS) / MS_PER_SECOND,
            )
        except OSError as exc:
            raise self._unreachable(exc) from exc
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poll.register(sock, select.POLLIN)
        return sock

    def _write(
        self, sock: socket.socket, request: bytes, deadlines: ResponseDeadlines
    ) -> None:
        written = 0
        try:
            while written < len(request):
                written += _send(sock, request[written:], deadlines)
        except OSError as exc:
            if written:
                raise self._silent(exc) from exc
            self.close()
            raise self._unreachable(exc) from exc

    def _read(
        self,
        sock: socket.socket,
        answer: '_Answer',
        deadlines: ResponseDeadlines,
    ) -> None:
        until_ms = deadlines.first_byte_deadline_ms
        while not answer.is_whole:
            if not self._poll.poll(ms_left(until_ms)):
                raise TimeoutError(until_ms)
            chunk = sock.recv(CHUNK_BYTES)
            answer.take(chunk)
            is_drained = len(chunk) < CHUNK_BYTES
            if is_drained and has_passed(deadlines.complete_deadline_ms):
                answer.check_whole()
            until_ms = deadlines.next_read_deadline_ms()

    def _silent(self, exc: Exception) -> HttpSilentError:
        self.close()
        return HttpSilentError(http_silent(str(self._address), exc))

    def _unreachable(self, exc: Exception) -> HttpUnreachableError:
        return HttpUnreachableError(http_unreachable(str(self._address), exc))


class _Answer:
    """Takes the parser's events of one answer.

    Interim answers are skipped. `may_continue` says that the connection can
    carry the next request.
    """

    def __init__(self) -> None:
        self.is_whole = False
        self.may_continue = False
        self.status = 0
        self._has_head = False
        self._has_length = False
        self._parts: list[bytes] = []
        self._parser = HttpResponseParser(self)

    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self._parts)

    def take(self, chunk: bytes) -> None:
        """Parse what arrived; nothing means that the server has closed."""
        if not chunk:
            self.is_whole = self._has_head and not self._has_length
            self.check_whole()
            return
        try:
            self._parser.feed_data(chunk)
        except HttpParserError:
            # What follows a whole answer only ends the connection.
            self.may_continue = False
            if not self.is_whole:
                raise

    def check_whole(self) -> None:
        """Raise `OSError` if a part is missing."""
        if not self.is_whole:
            raise ConnectionError('the answer ended early')

    def on_message_begin(self) -> None:
        """Bytes after a whole answer belong to no request."""
        self.may_continue = False

    def on_header(self, name: bytes, field: bytes) -> None:
        """Note whether the answer tells its own end."""
        if name.lower() in _LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Note the status of the first final answer."""
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS and not self.is_whole:
            self.status = status
            self._has_head = True

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        if not self.is_whole:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """End the answer, unless it was an interim one."""
        if self._has_head and not self.is_whole:
            self.is_whole = True
            self.may_continue = self._parser.should_keep_alive()


def _send(
    sock: socket.socket, rest: bytes, deadlines: ResponseDeadlines
) -> int:
    """Write what fits; waits only if nothing does."""
    try:
        return sock.send(rest)
    except BlockingIOError:
        writable = select.poll()
        writable.register(sock, select.POLLOUT)
        if not writable.poll(ms_left(deadlines.first_byte_deadline_ms)):
            raise TimeoutError(deadlines.first_byte_deadline_ms) from None
    return 0


def _head_lines(headers: Iterable[tuple[str, str]]) -> str:
    return ''.join(f'{name}: {told}\r\n' for name, told in headers)
