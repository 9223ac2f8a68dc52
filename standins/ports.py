"""Ports on loopback that no other process of tests or demos takes.

A port is free between the moment that it is handed out and the moment that
some process listens on it, a second later. So each process that hands out
ports has a range to itself, for which it holds the lock of a file.
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
    """The ports of this process; `lock` is held until it ends."""

    lock: TextIO
    ports: Iterator[int]


def free_port() -> int:
    """Return a port that is free at the moment.

    Ports come in turn from a range of the process's own, below those that
    the system gives to outgoing connections.
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
    raise OSError('all ranges of ports are taken by other processes')
