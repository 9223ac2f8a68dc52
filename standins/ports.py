"""Loopback ports that no other process of tests or demos uses.

A port stays free from its allocation until a process listens on it, about a
second later. To prevent a second allocation in that time, each allocating
process owns a port range, which it reserves with a file lock.
"""

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from functools import cache
from itertools import cycle
from pathlib import Path
from typing import Final, TextIO

HOST: Final = '127.0.0.1'
FIRST_PORT: Final = 12_000
PORTS_EACH: Final = 400
PORT_RANGES: Final = 48


@dataclass(frozen=True)
class _Range:
    """The port range of this process; `lock` is held until it exits."""

    lock: TextIO
    ports: Iterator[int]


def free_port() -> int:
    """Return a port that is currently free.

    Ports are taken round-robin from the range of this process, which lies
    below the ephemeral ports that the system uses for outgoing connections.
    """
    while True:
        port = next(_own_range().ports)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            return port


@cache
def _own_range() -> _Range:
    folder = Path(tempfile.gettempdir()) / f'gentianpulley-ports-{os.getuid()}'
    folder.mkdir(exist_ok=True)
    for number in range(PORT_RANGES):
        lock = (folder / f'{number}').open('w')
        with suppress(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            first = FIRST_PORT + number * PORTS_EACH
            return _Range(lock, cycle(range(first, first + PORTS_EACH)))
        lock.close()
    raise OSError('all port ranges are locked by other processes')
