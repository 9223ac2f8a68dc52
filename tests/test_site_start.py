"""How a stand-in site starts: its ports, its sources, and what it tells."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Final

import pytest

from standins.process import own_env
from standins.site import Site, wait_for

SOURCES: Final = Path(__file__).resolve().parent.parent / 'src'
FIRST_PORT: Final = (
    'from standins.ports import free_port;'
    'print(free_port(), flush=True); input()'
)


@pytest.fixture
def site() -> Iterator[Site]:
    running = Site()
    running.start_platform()
    yield running
    running.stop()


def test_two_runs_beside_each_other_share_no_port() -> None:
    """A daemon met a taken port and ended, or took its neighbour's store."""
    with ExitStack() as stack:
        asked = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, '-c', FIRST_PORT],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    env={**own_env(), 'PYTEST_XDIST_WORKER': lane},
                )
            )
            for lane in ('gw0', 'gw16')
        ]
        ports = [popen.stdout and popen.stdout.readline() for popen in asked]
    assert all(ports)
    assert ports[0] != ports[1]


def test_processes_run_the_sources_of_this_tree(site: Site) -> None:
    """They ran what was installed: tests in a clone proved nothing of it."""
    site.daemon_module = 'tests.source_teller'
    told = site.start_entry('e', 'leith')
    wait_for(told.lines)
    assert told.lines()[0]['sources'] == str(SOURCES / 'gentianpulley')
