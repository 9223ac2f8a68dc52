"""Counts the bytes of calls to a worker by part."""

import asyncio
from contextlib import closing
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.worker_protocol import (
    OrderContext,
    PollOrder,
    RunKey,
    StartOrder,
    WorkerRegistration,
)
from gentianpulley.jobs.spec import TaskId
from gentianpulley.platform.worker_client import HttpWorkerClientFactory
from tests.scripted_server import ScriptedServer, build_response

WORKER_ID: Final = 'i-0123456789'
JOB_ID: Final = '5c0e7a21d94b36f8'
TOKEN: Final = 123_456
LEASE_MS: Final = 486_000
RUN: Final = (TOKEN << 16) + 1
IP_TCP_BYTES: Final = 40
SEGMENT_BYTES: Final = 1460
HANDSHAKE_BYTES: Final = 2 * IP_TCP_BYTES + 8
"""What a client sends to open a connection: a SYN with options and an ACK."""

_HEADER_END: Final = b'\r\n\r\n'
_ANSWER: Final = build_response(
    b'{"clock_ms":482113,"born":1796415446768,"running":[],"ended":[]}'
)


@dataclass(frozen=True)
class CallBytes:
    """The bytes of one request by part.

    `fields_bytes` are the message without the payload. `packet_bytes` are the
    IP and TCP headers of the request and of the acknowledgement of its
    response.
    """

    payload_bytes: int
    fields_bytes: int
    head_bytes: int
    packet_bytes: int

    @property
    def total_bytes(self) -> int:
        """Return the size of the request on the link."""
        return sum(
            (
                self.payload_bytes,
                self.fields_bytes,
                self.head_bytes,
                self.packet_bytes,
            )
        )


def start_bytes(payload_bytes: int) -> CallBytes:
    """Return the size of a start with a payload of this many characters."""
    order = StartOrder(
        WORKER_ID,
        RunKey(TaskId(JOB_ID, 0, 1, 17), RUN),
        'x' * payload_bytes,
        '',
        '',
    )
    return _measure(order, payload_bytes)


def poll_bytes() -> CallBytes:
    """Return the size of a poll."""
    return _measure(PollOrder(TOKEN, 17, LEASE_MS, 1000), 0)


def _measure(order: StartOrder | PollOrder, payload_bytes: int) -> CallBytes:
    server = ScriptedServer(lambda _: (_ANSWER,))
    with closing(server):
        asyncio.run(_call(server, order))
    head, end, body = server.requests[0].partition(_HEADER_END)
    size = len(server.requests[0])
    segments = -(-size // SEGMENT_BYTES)
    return CallBytes(
        payload_bytes,
        len(body) - payload_bytes,
        len(head) + len(end),
        (segments + 1) * IP_TCP_BYTES,
    )


async def _call(server: ScriptedServer, order: StartOrder | PollOrder) -> None:
    registration = WorkerRegistration(WORKER_ID, 'fitting', server.address, 'a')
    client = HttpWorkerClientFactory().connect(registration)
    with closing(client):
        if isinstance(order, StartOrder):
            await client.start(order, OrderContext(TOKEN, LEASE_MS))
        else:
            await client.poll(order)
