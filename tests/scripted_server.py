"""A TCP server that responds to each request as the script of a test says."""

import enum
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Final

HOST: Final = '127.0.0.1'
RECV_BYTES: Final = 65536
HEADER_END: Final = b'\r\n\r\n'

LINGER_RESET: Final = struct.pack('ii', 1, 0)


class ConnectionEnd(enum.Enum):
    """How the server ends a connection."""

    CLOSED = enum.auto()
    RESET = enum.auto()


Part = bytes | float | ConnectionEnd
"""Bytes are sent, a number is a pause in seconds."""

Script = Callable[[bytes], tuple[Part, ...]]
"""Returns the parts of the response to a request."""


class ScriptedServer:
    """Counts connections and records requests."""

    def __init__(self, script: Script, port: int = 0) -> None:
        """Listen on `port`, or on a free port if it is 0."""
        self.conn_count = 0
        self.requests: list[bytes] = []
        self._script = script
        self._open: list[socket.socket] = []
        self._listener = socket.create_server((HOST, port))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address on which the server listens."""
        return f'{HOST}:{self.port}'

    def close_connections(self) -> None:
        """Close all connections."""
        for conn in tuple(self._open):
            with suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        self.close_connections()

    def _accept(self) -> None:
        with suppress(OSError):
            while self._listener.fileno() >= 0:
                conn, _ = self._listener.accept()
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.conn_count += 1
                self._open.append(conn)
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()

    def _serve(self, conn: socket.socket) -> None:
        with suppress(OSError), conn:
            while conn.fileno() >= 0:
                request = _read_request(conn)
                self.requests.append(request)
                for part in self._script(request):
                    _execute(conn, part)


def _execute(conn: socket.socket, part: Part) -> None:
    if isinstance(part, bytes):
        conn.sendall(part)
    elif isinstance(part, ConnectionEnd):
        if part is ConnectionEnd.RESET:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        raise ConnectionError(part)
    else:
        time.sleep(part)


def _read_request(conn: socket.socket) -> bytes:
    received = b''
    while HEADER_END not in received:
        received += _receive(conn)
    head, _, body = received.partition(HEADER_END)
    length = int(head.lower().split(b'content-length: ')[1].split()[0])
    while len(body) < length:
        body += _receive(conn)
    return head + HEADER_END + body


def _receive(conn: socket.socket) -> bytes:
    chunk = conn.recv(RECV_BYTES)
    if not chunk:
        raise ConnectionError
    return chunk


def build_response(
    body: bytes, status: int = 200, extra_headers: bytes = b''
) -> bytes:
    """Return a response with a Content-Length header."""
    return b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s' % (
        status,
        len(body),
        extra_headers,
        body,
    )


@contextmanager
def scripted_server(script: Script) -> Iterator[ScriptedServer]:
    """Run a server for the duration of a block."""
    server = ScriptedServer(script)
    try:
        yield server
    finally:
        server.close()


def free_port() -> int:
    """Return a port on which no process listens."""
    with socket.create_server((HOST, 0)) as listener:
        return int(listener.getsockname()[1])
