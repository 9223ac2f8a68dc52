"""A small HTTP server for the fakes, with one thread per connection."""

import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

OK: Final = 200
NOT_FOUND: Final = 404


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP response; if `lines` is set, the body is an endless stream."""

    status: int
    body: bytes = b''
    lines: Iterator[bytes] | None = None


class StandinServer(ThreadingHTTPServer):
    """Passes every request to `serve`, which subclasses implement."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, host: str, port: int) -> None:
        """Start to listen; port 0 selects a free port."""
        self._open_sockets: set[socket.socket] = set()
        super().__init__((host, port), _Handler)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self.server_address[1])

    def run_in_background(self) -> None:
        """Serve on a background thread."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def serve(self, call: Call) -> Reply:
        """Handle one request."""
        raise NotImplementedError

    def break_connections(self) -> None:
        """Break all open connections, as the end of a process does."""
        for each in tuple(self._open_sockets):
            with suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread of its own."""
        self._open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self._open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore clients that close the connection early."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    server: StandinServer

    def do_GET(self) -> None:
        self._respond()

    def do_POST(self) -> None:
        self._respond()

    def do_DELETE(self) -> None:
        self._respond()

    def log_message(self, *parts: object) -> None:
        """Suppress access logs on standard error."""

    def _respond(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length)
        split = urlsplit(self.path)
        query = dict(parse_qsl(split.query))
        headers = dict(self.headers.items())
        call = Call(self.command, split.path, query, body, headers)
        reply = self.server.serve(call)
        self.send_response(reply.status)
        self.send_header('Content-Type', 'application/json')
        if reply.lines is not None:
            self._stream(reply.lines)
            return
        self.send_header('Content-Length', str(len(reply.body)))
        self.end_headers()
        self.wfile.write(reply.body)
        self.wfile.flush()

    def _stream(self, lines: Iterator[bytes]) -> None:
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        self.wfile.flush()
        for line in lines:
            self.wfile.write(b'%x\r\n%s\r\n' % (len(line), line))
            self.wfile.flush()
