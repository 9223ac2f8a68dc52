"""One connection through a relay to one life of a worker, for one thread.

The relay's clock is its own. The relay tells it at the start, so that a
deadline can be given which is never later for the relay than for the caller.
"""

from collections.abc import Callable
from typing import Any, Final, TypeVar

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TBufferedTransport

from gentianpulley.cluster.link import WorkerFacts
from gentianpulley.cluster.relay_codec import (
    create_relay_protocol,
    target_to_wire,
)
from gentianpulley.deadline import ms_left, now_ms
from gentianpulley.errors import PeerSilentError, PeerUnreachableError
from gentianpulley.http_conn import parse_address
from gentianpulley.messages import peer_silent, peer_unreachable
from gentianpulley.relay_gen.Relay import Client
from gentianpulley.thrift_server import BUFFER_BYTES

OPEN_TIMEOUT_MS: Final = 500
"""A relay is connected to, and told the worker, within a few round trips."""

SHORTEST_TIMEOUT_MS: Final = 1
_Answer = TypeVar('_Answer')


class RelayLine:
    """Calls a relay; a failure closes the connection for good."""

    def __init__(self, address: str, facts: WorkerFacts) -> None:
        """Connect and name the worker; raises `PeerUnreachableError`."""
        where = parse_address(address)
        self._address = address
        self._ahead_ms = 0
        self._socket = TSocket(where.host, where.port)
        self._socket.setTimeout(OPEN_TIMEOUT_MS)
        self._transport = TBufferedTransport(self._socket, BUFFER_BYTES)
        self._client = Client(create_relay_protocol(self._transport))
        try:
            self._attach(facts)
        except (TException, OSError) as exc:
            self.close()
            raise PeerUnreachableError(
                peer_unreachable(self._address, exc)
            ) from exc

    def on_relay_ms(self, at_ms: int) -> int:
        """Return a time of this instance on the relay's clock, or earlier."""
        return at_ms + self._ahead_ms

    def is_open(self) -> bool:
        """Tell whether the relay has left the connection open."""
        return bool(self._socket.isOpen())

    def call(self, method: Callable[[Any], _Answer], until_ms: int) -> _Answer:
        """Call once; raises `PeerSilentError` without an answer."""
        self._socket.setTimeout(max(ms_left(until_ms), SHORTEST_TIMEOUT_MS))
        try:
            return method(self._client)
        except (TException, OSError) as exc:
            self.close()
            raise PeerSilentError(peer_silent(self._address, exc)) from exc

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()

    def _attach(self, facts: WorkerFacts) -> None:
        self._transport.open()
        clock_ms = self._client.attach(target_to_wire(facts))
        self._ahead_ms = clock_ms - now_ms()
