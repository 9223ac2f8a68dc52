"""One keep-alive HTTP/1.1 connection for one thread.

A connection pool is convenient, but costs more than everything else that a
leader does. This connection writes a request with one send and leaves the
parsing of responses to llhttp.
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
_MIN_TIMEOUT_MS: Final = 1
_LENGTH_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class ResponseDeadlines:
    """How long to wait for a response.

    The first byte must arrive by `first_byte_deadline_ms`. After that, the
    response may pause for up to `idle_timeout_ms` and must be complete by
    `complete_deadline_ms`. Bytes that have arrived by the time the thread
    polls the socket are used in any case.
    """

    first_byte_deadline_ms: int
    idle_timeout_ms: int
    complete_deadline_ms: int

    def next_read_deadline_ms(self) -> int:
        """Return the deadline for the next bytes."""
        return min(self.complete_deadline_ms, deadline_in(self.idle_timeout_ms))


class KeepAliveConn:
    """A connection to one server that is reopened after a failure."""

    def __init__(self, address: HttpAddress, headers: Headers = ()) -> None:
        """Connect at the first call; send `headers` with every request."""
        self._address = address
        self._fixed_headers = _head_lines(
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
        """Send one request and return its complete response.

        Raises `HttpUnreachableError` when no byte of the request was written,
        `HttpSilentError` when no complete response arrived after that. Both
        close the connection.
        """
        sock = self._ensure_connected(deadlines)
        head = f'POST {path} HTTP/1.1\r\n{self._fixed_headers}'
        request = b'%sContent-Length: %d\r\n\r\n%s' % (
            head.encode('latin-1'),
            len(body),
            body,
        )
        self._write(sock, request, deadlines)
        response = _Answer()
        try:
            self._read(sock, response, deadlines)
        except (OSError, HttpParserError, HttpParserUpgrade) as exc:
            raise self._silent_error(exc) from exc
        if not response.is_reusable:
            self.close()
        return HttpResponse(response.status, response.body())

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        sock = self._sock
        self._sock = None
        if sock is not None:
            self._poll.unregister(sock)
            sock.close()

    def _ensure_connected(self, deadlines: ResponseDeadlines) -> socket.socket:
        """Return the open connection, or a new one if it has ended."""
        if self._sock is not None and self._poll.poll(0):
            # On an idle connection the only expected event is its end.
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
                max(timeout_ms, _MIN_TIMEOUT_MS) / MS_PER_SECOND,
            )
        except OSError as exc:
            raise self._unreachable_error(exc) from exc
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
                raise self._silent_error(exc) from exc
            self.close()
            raise self._unreachable_error(exc) from exc

    def _read(
        self,
        sock: socket.socket,
        response: '_Answer',
        deadlines: ResponseDeadlines,
    ) -> None:
        read_deadline_ms = deadlines.first_byte_deadline_ms
        while not response.is_complete:
            if not self._poll.poll(ms_left(read_deadline_ms)):
                raise TimeoutError(read_deadline_ms)
            chunk = sock.recv(CHUNK_BYTES)
            response.feed(chunk)
            is_drained = len(chunk) < CHUNK_BYTES
            if is_drained and has_passed(deadlines.complete_deadline_ms):
                response.check_complete()
            read_deadline_ms = deadlines.next_read_deadline_ms()

    def _silent_error(self, exc: Exception) -> HttpSilentError:
        self.close()
        return HttpSilentError(http_silent(str(self._address), exc))

    def _unreachable_error(self, exc: Exception) -> HttpUnreachableError:
        return HttpUnreachableError(http_unreachable(str(self._address), exc))


class _Answer:
    """Handles the parser's callbacks for one response.

    Interim responses are skipped. `is_reusable` says whether the connection
    can carry the next request.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.is_reusable = False
        self.status = 0
        self._has_head = False
        self._has_length = False
        self._body_parts: list[bytes] = []
        self._parser = HttpResponseParser(self)

    def body(self) -> bytes:
        """Return the complete body."""
        return b''.join(self._body_parts)

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes; no bytes mean that the server has closed."""
        if not chunk:
            self.is_complete = self._has_head and not self._has_length
            self.check_complete()
            return
        try:
            self._parser.feed_data(chunk)
        except HttpParserError:
            # Invalid data after a complete response only rules out reuse.
            self.is_reusable = False
            if not self.is_complete:
                raise

    def check_complete(self) -> None:
        """Raise `OSError` if the response is incomplete."""
        if not self.is_complete:
            raise ConnectionError('response is incomplete')

    def on_message_begin(self) -> None:
        """Rule out reuse: data after a complete response has no request."""
        self.is_reusable = False

    def on_header(self, name: bytes, field: bytes) -> None:
        """Record whether the response delimits its own body."""
        if name.lower() in _LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Record the status of the first final response."""
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS and not self.is_complete:
            self.status = status
            self._has_head = True

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        if not self.is_complete:
            self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Complete the response, unless it was an interim one."""
        if self._has_head and not self.is_complete:
            self.is_complete = True
            self.is_reusable = self._parser.should_keep_alive()


def _send(
    sock: socket.socket, unsent: bytes, deadlines: ResponseDeadlines
) -> int:
    """Send what fits into the buffer; wait only if nothing does."""
    try:
        return sock.send(unsent)
    except BlockingIOError:
        writable = select.poll()
        writable.register(sock, select.POLLOUT)
        if not writable.poll(ms_left(deadlines.first_byte_deadline_ms)):
            raise TimeoutError(deadlines.first_byte_deadline_ms) from None
    return 0


def _head_lines(headers: Iterable[tuple[str, str]]) -> str:
    return ''.join(f'{name}: {text}\r\n' for name, text in headers)
