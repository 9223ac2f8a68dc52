"""The thrift server of the peer service: one thread for each connection."""

import threading
from typing import Any, Final

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import (
    TBufferedTransport,
    TTransportException,
)

from gentianpulley.document import DocumentKind, encode_document
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.peer import Peer
from gentianpulley.peer_client import BUFFER_BYTES, MAX_MESSAGE_BYTES
from gentianpulley.peer_codec import (
    document_to_wire,
    order_from_wire,
    report_to_wire,
    status_from_wire,
    status_to_wire,
)
from gentianpulley.peer_gen import ttypes
from gentianpulley.peer_gen.Peer import Processor

IDLE_TIMEOUT_MS: Final = 60_000
MAX_WAIT_MS: Final = 2000


class PeerHandler:
    """Serves thrift calls by calling a peer."""

    def __init__(self, peer: Peer) -> None:
        """Forward calls to `peer`."""
        self._peer = peer

    def run(self, order: ttypes.TaskOrder, wait_ms: int) -> ttypes.TaskReport:
        """Place and start a task, waiting at most `MAX_WAIT_MS`."""
        return report_to_wire(
            self._peer.run(order_from_wire(order), min(wait_ms, MAX_WAIT_MS))
        )

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> ttypes.TaskReport:
        """Wait at most `MAX_WAIT_MS` for the end of a task."""
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        return report_to_wire(self._peer.await_answer(task_id, worker, wait_ms))

    def cancel(self, task_id: str, worker: str) -> ttypes.TaskReport:
        """Stop a task."""
        return report_to_wire(self._peer.cancel(task_id, worker))

    def cancel_local(self, request_keys: list[str]) -> list[str]:
        """Cancel unrecorded requests; returns the keys that were in flight."""
        return list(self._peer.cancel_local(tuple(request_keys)))

    def heartbeat(self, mine: ttypes.Heartbeat) -> ttypes.Heartbeat:
        """Record the heartbeat `mine` and return the heartbeat of the peer."""
        return status_to_wire(self._peer.heartbeat(status_from_wire(mine)))

    def fetch_document(self, kind: str) -> ttypes.Document:
        """Return the active document of `kind`."""
        document = self._peer.fetch_document(DocumentKind(kind))
        body = encode_document(document) if document else b''
        return document_to_wire(kind, document, body)


class PeerServer:
    """Accepts connections and serves each on its own thread."""

    def __init__(self, address: HttpAddress, peer: Peer, log: EventLog) -> None:
        """Start listening; raises `OSError` if the address is in use."""
        self.address = address
        self._log = log
        self._processor = Processor(PeerHandler(peer))
        self._listener = TServerSocket(address.host, address.port)
        self._listener.listen()
        self._closing = False
        self._lock = threading.Lock()
        self._open_conns: set[Any] = set()

    def start(self) -> None:
        """Accept connections on a background thread."""
        threading.Thread(
            target=self._accept_all, name='peer-accept', daemon=True
        ).start()

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self._closing = True
        self._listener.close()
        with self._lock:
            conns = tuple(self._open_conns)
        for conn in conns:
            conn.close()

    def open_conns(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._open_conns)

    def _accept_all(self) -> None:
        while not self._closing:
            try:
                conn = self._listener.accept()
            except (OSError, TTransportException):
                continue
            if conn is not None:
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()

    def _serve(self, conn: Any) -> None:
        conn.setTimeout(IDLE_TIMEOUT_MS)
        with self._lock:
            self._open_conns.add(conn)
        transport = TBufferedTransport(conn, BUFFER_BYTES)
        protocol = TBinaryProtocolAccelerated(
            transport,
            string_length_limit=MAX_MESSAGE_BYTES,
            container_length_limit=MAX_MESSAGE_BYTES,
        )
        is_usable = True
        while is_usable and not self._closing:
            is_usable = self._serve_call(protocol)
        transport.close()
        self._discard_conn(conn)

    def _serve_call(self, protocol: TBinaryProtocolAccelerated) -> bool:
        """Serve one call; returns False if the connection is unusable."""
        try:
            self._processor.process(protocol, protocol)
        except (TTransportException, OSError):
            return False
        except Exception as exc:
            self._log.peer_trouble('malformed message', repr(exc))
            return False
        return True

    def _discard_conn(self, conn: Any) -> None:
        with self._lock:
            self._open_conns.discard(conn)
