"""Calls to another entry instance over thrift.

Each call uses one connection exclusively until it ends. Waits are done by long
polls, so a connection without a response after the long poll plus a margin is
dead. It is closed together with all idle connections, and the caller retries
with the same task id on a new one.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import (
    TBufferedTransport,
    TTransportException,
)

from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.document import Document, DocumentKind
from gentianpulley.errors import PeerSilentError, PeerUnreachableError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.messages import peer_silent, peer_unreachable
from gentianpulley.peer import Peer, PeerStatus
from gentianpulley.peer_codec import (
    document_from_wire,
    order_to_wire,
    report_from_wire,
    status_from_wire,
    status_to_wire,
)
from gentianpulley.peer_gen.Peer import Client
from gentianpulley.task import TaskOrder, TaskReport

CONNECT_TIMEOUT_MS: Final = 1000
CALL_TIMEOUT_MS: Final = 1500
RESPONSE_MARGIN_MS: Final = 3000
IDLE_TIMEOUT_MS: Final = 20_000
MAX_IDLE_CONNS: Final = 8
MAX_MESSAGE_BYTES: Final = 67_108_864
BUFFER_BYTES: Final = 65536

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class _Conn:
    client: Any
    socket: Any
    transport: Any
    idle_until_ms: int


class ThriftPeer(Peer):
    """Calls the peer service of one other entry instance."""

    def __init__(self, address: HttpAddress) -> None:
        """Store the address; the first call connects."""
        self.address = address
        self._lock = threading.Lock()
        self._idle: list[_Conn] = []

    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Place and start a task, waiting up to `wait_ms` for its answer."""
        wire = self._call(
            lambda client: client.run(order_to_wire(order), wait_ms),
            wait_ms + RESPONSE_MARGIN_MS,
        )
        return report_from_wire(wire, order.task_id)

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> TaskReport:
        """Wait up to `wait_ms` for the end of a task on an owned worker."""
        wire = self._call(
            lambda client: client.await_answer(task_id, worker, wait_ms),
            wait_ms + RESPONSE_MARGIN_MS,
        )
        return report_from_wire(wire, task_id)

    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Stop a task on an owned worker and report how it ended."""
        wire = self._call(
            lambda client: client.cancel(task_id, worker), RESPONSE_MARGIN_MS
        )
        return report_from_wire(wire, task_id)

    def cancel_local(self, request_keys: tuple[str, ...]) -> tuple[str, ...]:
        """Cancel unrecorded requests; returns the keys that were in flight."""
        found = self._call(
            lambda client: client.cancel_local(list(request_keys)),
            RESPONSE_MARGIN_MS,
        )
        return tuple(found)

    def heartbeat(self, status: PeerStatus) -> PeerStatus:
        """Send the heartbeat `status` and return the heartbeat of the peer."""
        wire = self._call(
            lambda client: client.heartbeat(status_to_wire(status)),
            CALL_TIMEOUT_MS,
        )
        return status_from_wire(wire)

    def fetch_document(self, kind: DocumentKind) -> Document | None:
        """Return the document of `kind` that is active on the peer."""
        wire = self._call(
            lambda client: client.fetch_document(kind.value),
            CALL_TIMEOUT_MS,
        )
        try:
            return document_from_wire(wire, kind)
        except msgspec.DecodeError as exc:
            raise PeerSilentError(peer_silent(str(self.address), exc)) from exc

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = self._idle
            self._idle = []
        for conn in idle:
            conn.transport.close()

    def _call(
        self, method: Callable[[Any], _Answer], timeout_ms: int
    ) -> _Answer:
        conn = self._acquire()
        conn.socket.setTimeout(timeout_ms)
        try:
            resp = method(conn.client)
        except (TException, OSError) as exc:
            conn.transport.close()
            self.close()
            raise PeerSilentError(peer_silent(str(self.address), exc)) from exc
        self._release(conn)
        return resp

    def _acquire(self) -> _Conn:
        with self._lock:
            while self._idle:
                conn = self._idle.pop()
                if not has_passed(conn.idle_until_ms):
                    return conn
                conn.transport.close()
        return self._open()

    def _open(self) -> _Conn:
        socket = TSocket(self.address.host, self.address.port)
        socket.setTimeout(CONNECT_TIMEOUT_MS)
        transport = TBufferedTransport(socket, BUFFER_BYTES)
        protocol = TBinaryProtocolAccelerated(
            transport,
            string_length_limit=MAX_MESSAGE_BYTES,
            container_length_limit=MAX_MESSAGE_BYTES,
        )
        try:
            transport.open()
        except (TTransportException, OSError) as exc:
            raise PeerUnreachableError(
                peer_unreachable(str(self.address), exc)
            ) from exc
        return _Conn(Client(protocol), socket, transport, 0)

    def _release(self, conn: _Conn) -> None:
        idle_conn = _Conn(
            conn.client,
            conn.socket,
            conn.transport,
            deadline_in(IDLE_TIMEOUT_MS),
        )
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNS:
                self._idle.append(idle_conn)
                return
        conn.transport.close()
