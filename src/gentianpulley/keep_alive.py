"""One keep-alive HTTP/1.1 connection for one task of an event loop.

A connection pool is convenient, but costs more than everything else that a
leader does. This connection writes a request with one send and leaves the
parsing of responses to llhttp.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Iterable
from contextlib import ExitStack
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
    seconds_left,
)
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.http_conn import Headers, HttpAddress, HttpResponse
from gentianpulley.messages import http_silent, http_unreachable
from gentianpulley.task_signal import Signal

CONNECT_TIMEOUT_MS: Final = 1000
CHUNK_BYTES: Final = 65536
_FIRST_FINAL_STATUS: Final = 200
_LENGTH_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class ResponseDeadlines:
    """How long to wait for a response.

    The first byte must arrive by `first_byte_deadline_ms`. After that, the
    response may pause for up to `idle_timeout_ms` and must be complete by
    `complete_deadline_ms`. Bytes that have arrived by the time the task
    looks at them are used in any case.
    """

    first_byte_deadline_ms: int
    idle_timeout_ms: int
    complete_deadline_ms: int

    def next_read_deadline_ms(self) -> int:
        """Return the deadline for the next bytes."""
        return min(self.complete_deadline_ms, deadline_in(self.idle_timeout_ms))


class KeepAliveConn:
    """A connection to one server that is reopened after a failure.

    It belongs to the event loop that runs its calls, and to one task: calls
    must not overlap.
    """

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
        self._received: _Received | None = None

    async def post(
        self, path: str, body: bytes, deadlines: ResponseDeadlines
    ) -> HttpResponse:
        """Send one request and return its complete response.

        Raises `HttpUnreachableError` when no byte of the request was written,
        `HttpSilentError` when no complete response arrived after that. Both
        close the connection.
        """
        received = await self._ensure_connected(deadlines)
        head = f'POST {path} HTTP/1.1\r\n{self._fixed_headers}'
        request = b'%sContent-Length: %d\r\n\r\n%s' % (
            head.encode('latin-1'),
            len(body),
            body,
        )
        await self._write(received.sock, request, deadlines)
        response = _Answer()
        try:
            await _read(received, response, deadlines)
        except (OSError, HttpParserError, HttpParserUpgrade) as exc:
            raise self._silent_error(exc) from exc
        if not response.is_reusable:
            self.close()
        return HttpResponse(response.status, response.body())

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        received = self._received
        self._received = None
        if received is not None:
            received.close()

    async def _ensure_connected(
        self, deadlines: ResponseDeadlines
    ) -> '_Received':
        """Return the open connection, or a new one if it has ended."""
        if self._received is not None and self._received.has_any():
            # On an idle connection the only expected event is its end.
            self.close()
        if self._received is None:
            self._received = _Received(await self._connect(deadlines))
        return self._received

    async def _connect(self, deadlines: ResponseDeadlines) -> socket.socket:
        timeout_ms = min(
            CONNECT_TIMEOUT_MS, ms_left(deadlines.first_byte_deadline_ms)
        )
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await asyncio.get_running_loop().sock_connect(
                    sock, (self._address.host, self._address.port)
                )
        except OSError as exc:
            sock.close()
            raise self._unreachable_error(exc) from exc
        return sock

    async def _write(
        self, sock: socket.socket, request: bytes, deadlines: ResponseDeadlines
    ) -> None:
        written = 0
        try:
            while written < len(request):
                written += await _send(sock, request[written:], deadlines)
        except OSError as exc:
            if written:
                raise self._silent_error(exc) from exc
            self.close()
            raise self._unreachable_error(exc) from exc

    def _silent_error(self, exc: Exception) -> HttpSilentError:
        self.close()
        return HttpSilentError(http_silent(str(self._address), exc))

    def _unreachable_error(self, exc: Exception) -> HttpUnreachableError:
        return HttpUnreachableError(http_unreachable(str(self._address), exc))


class _Received:
    """What a socket has received, read as it arrives.

    The socket stays registered with the event loop for as long as it is open,
    which spares two system calls for each response.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._loop = asyncio.get_running_loop()
        self._arrival = Signal()
        self._chunks: deque[bytes] = deque()
        self._error: OSError | None = None
        self._is_ended = False
        self._loop.add_reader(sock, self._receive)

    def close(self) -> None:
        """Close the socket."""
        self._end()
        self.sock.close()

    def has_any(self) -> bool:
        """Return whether bytes, an end or an error wait to be taken."""
        self._receive()
        return self._is_ended or bool(self._chunks)

    async def next_chunk(self, deadline_ms: int) -> bytes:
        """Return the next bytes, none at the end of the stream.

        Bytes that have arrived count, also if the deadline has passed. Raises
        `OSError`.
        """
        self._arrival.clear()
        if not self._chunks and not self._is_ended:
            await self._arrival.wait(seconds_left(deadline_ms))
            if not self._arrival.is_set:
                self._receive()
        if self._chunks:
            return self._chunks.popleft()
        if self._error is not None:
            raise self._error
        if not self._is_ended:
            raise TimeoutError(deadline_ms)
        return b''

    @property
    def is_drained(self) -> bool:
        """Return whether all bytes that arrived have been taken."""
        return not self._chunks

    def _receive(self) -> None:
        """Read what has arrived; called by the event loop."""
        if self._is_ended:
            return
        try:
            chunk = self.sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._error = exc
            chunk = b''
        if chunk:
            self._chunks.append(chunk)
        else:
            self._end()
        self._arrival.set()

    def _end(self) -> None:
        """Stop reading: an ended stream would count as readable for ever."""
        if not self._is_ended:
            self._is_ended = True
            self._loop.remove_reader(self.sock)


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


async def _read(
    received: _Received, response: _Answer, deadlines: ResponseDeadlines
) -> None:
    read_deadline_ms = deadlines.first_byte_deadline_ms
    while not response.is_complete:
        chunk = await received.next_chunk(read_deadline_ms)
        response.feed(chunk)
        is_drained = len(chunk) < CHUNK_BYTES and received.is_drained
        if is_drained and has_passed(deadlines.complete_deadline_ms):
            response.check_complete()
        read_deadline_ms = deadlines.next_read_deadline_ms()


async def _send(
    sock: socket.socket, unsent: bytes, deadlines: ResponseDeadlines
) -> int:
    """Send what fits into the buffer; wait only if nothing does."""
    try:
        return sock.send(unsent)
    except BlockingIOError:
        await _wait_until_writable(sock, deadlines.first_byte_deadline_ms)
    return 0


async def _wait_until_writable(sock: socket.socket, deadline_ms: int) -> None:
    """Wait for room in the buffer; raises `TimeoutError`."""
    loop = asyncio.get_running_loop()
    writable = Signal()
    with ExitStack() as undo:
        loop.add_writer(sock, writable.set)
        undo.callback(loop.remove_writer, sock)
        await writable.wait(seconds_left(deadline_ms))
    if not writable.is_set:
        raise TimeoutError(deadline_ms)


def _head_lines(headers: Iterable[tuple[str, str]]) -> str:
    return ''.join(f'{name}: {text}\r\n' for name, text in headers)
