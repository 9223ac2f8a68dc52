"""A process of a fake cluster, with its output in files."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

TOLD_BYTES: Final = 2000
"""Length in bytes of the output tail of a process in failure reports."""

ROOT: Final = Path(__file__).resolve().parent.parent


@dataclass
class Process:
    """One process of the cluster, with its output in files."""

    name: str
    popen: subprocess.Popen[bytes]
    output: Path
    port: int
    peer_port: int = 0

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def signal(self, signum: int) -> None:
        """Send a signal if the process is still running."""
        if self.is_running():
            self.popen.send_signal(signum)

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.popen.poll() is None

    def has_failed(self) -> bool:
        """Return whether the process exited by itself with an error status."""
        status = self.popen.poll()
        return status is not None and status > 0

    def lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has written so far."""
        return read_lines(self.output)

    def account(self) -> str:
        """Return a readable process state and the tail of its output."""
        status = self.popen.poll()
        state = 'runs' if status is None else f'ended with {status}'
        tail = _tail(self.output) + _tail(self.output.with_suffix('.err'))
        return f'{self.name} on port {self.port} {state}\n{tail}'


def start_process(
    folder: Path, name: str, words: list[str], port: int
) -> Process:
    """Start Python with these arguments; write its output to a folder."""
    output = folder / f'{name}.{time.time_ns()}.out'
    errors = output.with_suffix('.err')
    with output.open('wb') as out, errors.open('wb') as err:
        popen = subprocess.Popen(
            [sys.executable, *words],
            stdout=out,
            stderr=err,
            stdin=subprocess.DEVNULL,
            env=own_env(),
        )
    return Process(name, popen, output, port)


def own_env() -> dict[str, str]:
    """Return an environment in which Python imports the sources of this tree.

    The installed package may come from another tree.
    """
    folders = (str(ROOT / 'src'), str(ROOT))
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(folders)}


def read_lines(output: Path) -> list[dict[str, Any]]:
    """Return the complete JSON lines of a file that may still grow."""
    text = output.read_text()
    complete = text[: text.rfind('\n') + 1]
    return [
        json.loads(line)
        for line in complete.splitlines()
        if line.startswith('{')
    ]


def _tail(path: Path) -> str:
    return path.read_bytes()[-TOLD_BYTES:].decode(errors='replace')
