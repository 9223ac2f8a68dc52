"""The thrift server of the peer service."""

from typing import Any, Final

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from gentianpulley.document import DocumentKind, encode_document
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.peer import Peer
from gentianpulley.peer_codec import (
    document_to_wire,
    order_from_wire,
    report_to_wire,
    status_from_wire,
    status_to_wire,
)
from gentianpulley.peer_gen import ttypes
from gentianpulley.peer_gen.Peer import Processor
from gentianpulley.thrift_server import (
    MAX_MESSAGE_BYTES,
    ThriftServer,
    ThriftService,
)

MAX_WAIT_MS: Final = 2000


class PeerHandler:
    """Answers thrift calls from the instance behind it."""

    def __init__(self, peer: Peer) -> None:
        """Serve `peer`."""
        self._peer = peer

    def run(self, order: ttypes.TaskOrder, wait_ms: int) -> ttypes.TaskReport:
        """Place and start a task."""
        return report_to_wire(
            self._peer.run(order_from_wire(order), min(wait_ms, MAX_WAIT_MS))
        )

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> ttypes.TaskReport:
        """Wait for the end of a task."""
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        return report_to_wire(self._peer.await_answer(task_id, worker, wait_ms))

    def cancel(self, task_id: str, worker: str) -> ttypes.TaskReport:
        """Stop a task."""
        return report_to_wire(self._peer.cancel(task_id, worker))

    def cancel_local(self, request_keys: list[str]) -> list[str]:
        """Cancel requests without records."""
        return list(self._peer.cancel_local(tuple(request_keys)))

    def heartbeat(self, mine: ttypes.Heartbeat) -> ttypes.Heartbeat:
        """Exchange heartbeats."""
        return status_to_wire(self._peer.heartbeat(status_from_wire(mine)))

    def fetch_document(self, kind: str) -> ttypes.Document:
        """Return a document in force."""
        document = self._peer.fetch_document(DocumentKind(kind))
        body = encode_document(document) if document else b''
        return document_to_wire(kind, document, body)


class PeerService(ThriftService):
    """Serves a connection of the peer service."""

    def __init__(self, peer: Peer) -> None:
        """Serve `peer`."""
        self._processor = Processor(PeerHandler(peer))

    @property
    def processor(self) -> Any:
        """Return the generated processor around the handler."""
        return self._processor

    def close(self) -> None:
        """Do nothing: a connection holds nothing."""


class PeerServer(ThriftServer):
    """Serves a peer to other entry instances."""

    def __init__(self, address: HttpAddress, peer: Peer, log: EventLog) -> None:
        """Listen at once; raises `OSError` if the address is taken."""
        service = PeerService(peer)
        super().__init__(address, lambda: service, _create_protocol, log)


def _create_protocol(transport: Any) -> TBinaryProtocolAccelerated:
    return TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_MESSAGE_BYTES,
        container_length_limit=MAX_MESSAGE_BYTES,
    )
