"""How a stand-in site starts: its ports, its sources, and what it tells."""

import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Final

import pytest

from standins import grid_site
from standins.grid_site import Site as GridSite
from standins.grid_store import GridStore
from standins.ports import HOST
from standins.process import Process, own_env
from standins.site import OddAnswerError, Site, SiteStartError, wait_for
from tests import cluster_helpers
from tests.cluster_helpers import start_site

RENEWAL: Final = MappingProxyType(
    {'epoch': 0, 'lease_deadline_ms': 0, 'forget': ()}
)
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
    site.daemon_module = 'tests.source_reporter'
    told = site.start_entry('e', 'leith')
    wait_for(told.lines)
    assert told.lines()[0]['sources'] == str(SOURCES / 'gentianpulley')


def test_a_process_that_ends_at_its_start_is_told_of(site: Site) -> None:
    """The test waited for fifteen seconds, and nobody saw the output."""
    site.daemon_module = 'tests.no_such_module'
    site.start_entry('e-lost', 'leith')
    with pytest.raises(SiteStartError, match='No module named') as failed:
        site.wait_until_serving(0)
    assert 'a process ended' in str(failed.value)
    assert 'e-lost on port' in str(failed.value)


def test_a_start_that_takes_too_long_is_told_of(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('standins.site.READY_TIMEOUT_S', 0.2)
    with pytest.raises(SiteStartError, match='platform on port') as failed:
        site.wait_until_serving(1)
    assert 'not met in time' in str(failed.value)


def test_an_answer_that_is_no_json_is_told_of(site: Site) -> None:
    """A set-up said "Expecting value", and nothing of what it had got."""
    with pytest.raises(OddAnswerError, match='GET /nope of platform: 404'):
        site.call('platform', 'GET', '/nope')


def test_a_start_that_gets_an_odd_answer_is_told_of(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        site, '_owned', lambda: site.call('platform', 'GET', '/')
    )
    with pytest.raises(SiteStartError, match='404') as failed:
        site.wait_until_serving(1)
    assert 'platform on port' in str(failed.value)


def test_a_worker_does_not_answer_for_an_entry_instance(site: Site) -> None:
    """It said yes to any path, and left its site at that."""
    site.start_worker('w', 'leith')
    assert not site.answers('w', '/readyz')
    assert not site.answers('w', '/v1/status')
    listed = site.call('w', 'POST', '/v1/renewals', dict(RENEWAL))
    assert not listed['leaving']


def test_a_site_that_does_not_start_leaves_nothing_running(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What had started ran on, beside all tests that followed."""
    started: list[Process] = []
    monkeypatch.setattr(cluster_helpers, 'DAEMON', 'tests.no_such_module')
    monkeypatch.setattr(
        cluster_helpers,
        'put_cfg',
        lambda site: started.extend(site.processes.values()),
    )
    with pytest.raises(SiteStartError):
        start_site(workers=1, entries=1)
    assert started
    assert not any(process.is_running() for process in started)


def test_a_node_that_does_not_start_leaves_nothing_running(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its threads went on beside the tests that followed."""
    monkeypatch.setattr(grid_site, 'READY_S', 0.2)
    store = GridStore()
    store.run_in_background()
    store.faults = {'down': 1}
    site = GridSite(store)
    with pytest.raises(AssertionError, match='not in time: n0 is ready'):
        site.add_node()
    assert not site.nodes
    with pytest.raises(OSError, match='refused'):
        socket.create_connection((HOST, store.port))
