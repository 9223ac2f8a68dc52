"""HTTP requests with deadlines, and failures classified by what they prove.

Adapters build on this module. It distinguishes requests that were never sent
from requests whose response was lost, because only the first are conclusive:
nothing happened on the server.
"""

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from gentianpulley.deadline import has_passed, seconds_left
from gentianpulley.errors import HttpSilentError, HttpUnreachableError
from gentianpulley.messages import http_silent, http_unreachable

CONNECT_TIMEOUT_S: Final = 1.0
CHUNK_BYTES: Final = 65536
_MIN_TIMEOUT_S: Final = 0.001
Headers = tuple[tuple[str, str], ...]
_JSON_HEADERS: Final = (('Content-Type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class HttpAddress:
    """The address on which an HTTP server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """How long a large response may take.

    It must be complete by the deadline, and fails earlier once no byte of it
    has arrived for `idle_timeout_s` seconds.
    """

    deadline_ms: int
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response: the status and the body."""

    status: int
    body: bytes


MAX_PORT: Final = 65_535


def parse_address(text: str) -> HttpAddress:
    """Parse host:port; raises `ValueError` for anything else."""
    host, _, port = text.rpartition(':')
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return HttpAddress(host, int(port))


class HttpConn:
    """A pool of keep-alive connections to one server."""

    def __init__(self, address: HttpAddress, max_conns: int) -> None:
        """Open no connection yet; keep at most `max_conns` idle ones."""
        self.address = address
        self._max_conns = max_conns
        self._pool = self._open_pool()

    def call(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b'',
        headers: Headers = (),
    ) -> HttpResponse:
        """Send one request and return its complete response.

        Raises `HttpUnreachableError` when no connection could be opened and
        `HttpSilentError` when the complete response did not arrive in time.
        Both also close the idle connections, since they may be dead as well.
        A response that turns out to be complete is used even if it is late.
        """
        read_timeouts = ReadTimeouts(deadline_ms, seconds_left(deadline_ms))
        return self._exchange(method, path, read_timeouts, body, headers)

    def fetch(self, path: str, timeouts: ReadTimeouts) -> HttpResponse:
        """Send one GET whose response may be large; raises as `call` does."""
        return self._exchange('GET', path, timeouts)

    def stream(
        self, path: str, body: bytes, idle_timeout_s: float
    ) -> Iterator[bytes]:
        """Send one POST and yield its response line by line.

        Raises the errors of `call`, also when no byte arrives for
        `idle_timeout_s` seconds.
        """
        try:
            resp = self._send('POST', path, idle_timeout_s, body)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise HttpUnreachableError(
                http_unreachable(str(self.address), exc)
            ) from exc
        except (HTTPError, OSError) as exc:
            raise self._silent_error(exc) from exc
        try:
            yield from _lines(resp)
        except (HTTPError, OSError) as exc:
            raise self._silent_error(exc) from exc
        finally:
            resp.close()

    def close(self) -> None:
        """Close all idle connections; later calls open new ones."""
        old_pool = self._pool
        self._pool = self._open_pool()
        old_pool.close()

    def _open_pool(self) -> HTTPConnectionPool:
        return HTTPConnectionPool(
            self.address.host,
            self.address.port,
            maxsize=self._max_conns,
            retries=False,
        )

    def _exchange(
        self,
        method: str,
        path: str,
        read_timeouts: ReadTimeouts,
        body: bytes = b'',
        headers: Headers = (),
    ) -> HttpResponse:
        try:
            resp = self._send(
                method, path, read_timeouts.idle_timeout_s, body, headers
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            self.close()
            raise HttpUnreachableError(
                http_unreachable(str(self.address), exc)
            ) from exc
        except (HTTPError, OSError) as exc:
            raise self._silent_error(exc) from exc
        return HttpResponse(
            resp.status, self._read(resp, read_timeouts.deadline_ms)
        )

    def _send(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes,
        headers: Headers = (),
    ) -> BaseHTTPResponse:
        """Send over the current pool.

        If the failure of another call replaces the pool before this request
        is sent, the request goes over the new pool.
        """
        timeout_s = max(timeout_s, _MIN_TIMEOUT_S)
        timeout = Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        while True:
            with suppress(ClosedPoolError):
                return self._pool.urlopen(
                    method,
                    path,
                    body=body or None,
                    headers=dict((*_JSON_HEADERS, *headers)),
                    timeout=timeout,
                    preload_content=False,
                )

    def _read(self, resp: BaseHTTPResponse, deadline_ms: int) -> bytes:
        try:
            body = b''.join(_chunks(resp, deadline_ms))
        except (HTTPError, OSError) as exc:
            resp.close()
            raise self._silent_error(exc) from exc
        resp.release_conn()
        return body

    def _silent_error(self, exc: Exception) -> HttpSilentError:
        self.close()
        return HttpSilentError(http_silent(str(self.address), exc))


def _chunks(resp: BaseHTTPResponse, deadline_ms: int) -> Iterator[bytes]:
    """Yield a body as it arrives.

    Raises `TimeoutError` if the body is incomplete after the deadline.
    """
    while True:
        chunk = resp.read1(CHUNK_BYTES)
        yield chunk
        if not chunk or resp.length_remaining == 0:
            return
        if has_passed(deadline_ms):
            raise TimeoutError(deadline_ms)


def _lines(resp: BaseHTTPResponse) -> Iterator[bytes]:
    pending = b''
    while True:
        chunk = resp.read1(CHUNK_BYTES)
        if not chunk:
            return
        *complete, pending = (pending + chunk).split(b'\n')
        yield from complete
