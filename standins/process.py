"""One process of a stand-in site, with its output in files."""

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
"""How much of the end of a process's output is told of a failure."""

ROOT: Final = Path(__file__).resolve().parent.parent


@dataclass
class Process:
    """One process of the site, with its output in files."""

    name: str
    popen: subprocess.Popen[bytes]
    output: Path
    port: int
    peer_port: int = 0

    def kill(self) -> None:
        """End the process without any warning."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def signal(self, signum: int) -> None:
        """Send a signal if the process still runs."""
        if self.is_running():
            self.popen.send_signal(signum)

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def has_failed(self) -> bool:
        """Tell whether the process ended by itself, and not well."""
        status = self.popen.poll()
        return status is not None and status > 0

    def lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has written."""
        return read_lines(self.output)

    def account(self) -> str:
        """Return how the process is and what it wrote last, for people."""
        status = self.popen.poll()
        state = 'runs' if status is None else f'ended with {status}'
        told = _tail(self.output) + _tail(self.output.with_suffix('.err'))
        return f'{self.name} on port {self.port} {state}\n{told}'


def start_process(
    folder: Path, name: str, words: list[str], port: int
) -> Process:
    """Start Python with such words; its output goes into a folder."""
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
    """Return the environment in which Python runs this tree's sources.

    What is installed may be the sources of another tree.
    """
    folders = (str(ROOT / 'src'), str(ROOT))
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(folders)}


def read_lines(output: Path) -> list[dict[str, Any]]:
    """Return the whole JSON lines of a file that may be growing."""
    text = output.read_text()
    whole = text[: text.rfind('\n') + 1]
    return [
        json.loads(line) for line in whole.splitlines() if line.startswith('{')
    ]


def _tail(path: Path) -> str:
    return path.read_bytes()[-TOLD_BYTES:].decode(errors='replace')
