"""A TCP proxy that simulates network failures."""

import enum
import select
import socket
import threading
import time
from contextlib import suppress
from typing import Final

HOST: Final = '127.0.0.1'
CHUNK: Final = 65536
POLL_S: Final = 0.1
NARROW_CHUNK: Final = 4096


class LinkState(enum.Enum):
    """How the link treats connections.

    `CUT` rejects new connections and resets open ones; `SILENT` accepts
    connections but forwards nothing; `ONE_WAY` forwards requests but no
    responses.
    """

    UP = 'up'
    CUT = 'cut'
    SILENT = 'silent'
    ONE_WAY = 'one-way'


class _Lane:
    """One direction of a link; all connections share its bandwidth."""

    def __init__(self, bytes_per_s: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._free_s: float = 0

    def pass_through(self, count: int) -> None:
        """Block for as long as the lane takes to transmit that many bytes."""
        with self._lock:
            start_s = max(self._free_s, time.monotonic())
            self._free_s = start_s + count / self._bytes_per_s
            ends_s = self._free_s
        time.sleep(max(0, ends_s - time.monotonic()))


class TcpProxy:
    """Forwards connections to a loopback port, with simulated failures.

    `sent_bytes` counts what clients have sent, dropped bytes included.
    """

    def __init__(self, port: int) -> None:
        """Listen on a free port and forward to `port` on loopback."""
        self._target = port
        self._state = LinkState.UP
        self._generation = 0
        self._silenced_below = 0
        self._lanes: dict[bool, _Lane] = {}
        self._queued_s: float = 0
        self.sent_bytes = 0
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self.port = int(self._listener.getsockname()[1])
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept_loop, daemon=True).start()

    @property
    def opened(self) -> int:
        """Return the number of connections accepted so far."""
        return self._generation

    def switch(self, state: LinkState) -> None:
        """Set the state of the link; `CUT` also resets open connections."""
        self._state = state
        if state is LinkState.CUT:
            for conn in tuple(self._open):
                _reset(conn)

    def narrow(self, bytes_per_s: int) -> None:
        """Limit the bandwidth of each direction from now on."""
        self._lanes = {
            is_request: _Lane(bytes_per_s) for is_request in (True, False)
        }

    def widen(self) -> None:
        """Remove the bandwidth limit from now on."""
        self._lanes = {}

    def share(self, other: 'TcpProxy') -> None:
        """Share the bandwidth limits of another link from now on."""
        self._lanes = other._lanes

    def queue(self, seconds: float) -> None:
        """Delay every chunk, in each direction, from now on.

        This simulates a queue behind other traffic.
        """
        self._queued_s = seconds

    def retarget(self, port: int) -> None:
        """Forward new connections to another port."""
        self._target = port

    def silence_open(self) -> None:
        """Permanently stop forwarding on open connections; new ones work."""
        self._silenced_below = self._generation + 1

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        for conn in tuple(self._open):
            _reset(conn)

    def _accept_loop(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                self._generation += 1
                threading.Thread(
                    target=self._forward,
                    args=(client, self._generation),
                    daemon=True,
                ).start()

    def _forward(self, client: socket.socket, generation: int) -> None:
        if self._state is LinkState.CUT:
            _reset(client)
            return
        try:
            server = socket.create_connection((HOST, self._target))
        except OSError:
            _reset(client)
            return
        for conn in (client, server):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open.add(conn)
        with suppress(OSError, ValueError):
            self._relay(client, server, generation)
        for ended in (client, server):
            self._open.discard(ended)
            ended.close()

    def _relay(
        self, client: socket.socket, server: socket.socket, generation: int
    ) -> None:
        other = {client: server, server: client}
        while True:
            readable, _, _ = select.select([client, server], [], [], POLL_S)
            for conn in readable:
                body = conn.recv(NARROW_CHUNK if self._lanes else CHUNK)
                if not body:
                    return
                if self._should_forward(conn is client, generation, len(body)):
                    other[conn].sendall(body)

    def _should_forward(
        self, is_request: bool, generation: int, size: int
    ) -> bool:
        self.sent_bytes += size if is_request else 0
        time.sleep(self._queued_s)
        lane = self._lanes.get(is_request)
        if lane is not None:
            lane.pass_through(size)
        if generation < self._silenced_below:
            return False
        if self._state is LinkState.ONE_WAY:
            return is_request
        return self._state is LinkState.UP


def _reset(conn: socket.socket) -> None:
    """Close a connection with a reset, so the peer notices immediately."""
    with suppress(OSError):
        conn.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\x01\0\0\0\0\0\0\0'
        )
        conn.shutdown(socket.SHUT_RDWR)
    conn.close()
