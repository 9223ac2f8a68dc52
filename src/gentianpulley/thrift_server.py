"""A thrift server: one thread for each connection."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Final

from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import (
    TBufferedTransport,
    TTransportException,
)

from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog

IDLE_TIMEOUT_MS: Final = 60_000
"""How long a connection may stay without a call."""

BUFFER_BYTES: Final = 65536
MAX_MESSAGE_BYTES: Final = 67_108_864

MAX_CONNS: Final = 1000
"""Connections at once, each with a thread; more are closed at once."""


class ThriftService(ABC):
    """Serves the calls of one connection."""

    @property
    @abstractmethod
    def processor(self) -> Any:
        """Return the generated processor around the handler."""

    @abstractmethod
    def close(self) -> None:
        """Free what the connection held."""


class ThriftServer:
    """Accepts connections and serves each on its own thread."""

    def __init__(
        self,
        address: HttpAddress,
        open_service: Callable[[], ThriftService],
        create_protocol: Callable[[Any], Any],
        log: EventLog,
    ) -> None:
        """Listen at once; raises `OSError` if the address is taken."""
        self.address = address
        self._open_service = open_service
        self._create_protocol = create_protocol
        self._log = log
        self._listener = TServerSocket(address.host, address.port)
        self._listener.listen()
        self._closing = False
        self._lock = threading.Lock()
        self._open: set[Any] = set()

    def start(self) -> None:
        """Accept connections on a background thread."""
        threading.Thread(
            target=self._accept_all, name='thrift-accept', daemon=True
        ).start()

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self._closing = True
        self._listener.close()
        with self._lock:
            conns = tuple(self._open)
        for conn in conns:
            conn.close()

    def open_conns(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._open)

    def _accept_all(self) -> None:
        while not self._closing:
            try:
                conn = self._listener.accept()
            except (OSError, TTransportException):
                continue
            if conn is not None:
                self._take(conn)

    def _take(self, conn: Any) -> None:
        if self.open_conns() >= MAX_CONNS:
            conn.close()
            return
        threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: Any) -> None:
        conn.setTimeout(IDLE_TIMEOUT_MS)
        with self._lock:
            self._open.add(conn)
        transport = TBufferedTransport(conn, BUFFER_BYTES)
        protocol = self._create_protocol(transport)
        service = self._open_service()
        is_usable = True
        while is_usable and not self._closing:
            is_usable = self._serve_call(service, protocol)
        transport.close()
        service.close()
        self._forget(conn)

    def _serve_call(self, service: ThriftService, protocol: Any) -> bool:
        """Answer one call; False once the connection is of no more use."""
        try:
            service.processor.process(protocol, protocol)
        except (TTransportException, OSError):
            return False
        except Exception as exc:
            self._log.peer_trouble('malformed message', repr(exc))
            return False
        return True

    def _forget(self, conn: Any) -> None:
        with self._lock:
            self._open.discard(conn)
