"""Start of a simulated cluster: ports, sources and error reports."""

import socket
import subprocess
import sys
import threading
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
THREAD_END_S: Final = 2
PRINT_FREE_PORT: Final = (
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
    """Guards against parallel test runs that pick the same port.

    A daemon found its port in use and exited, or used the store of the other
    run.
    """
    with ExitStack() as stack:
        running = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, '-c', PRINT_FREE_PORT],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    env={**own_env(), 'PYTEST_XDIST_WORKER': lane},
                )
            )
            for lane in ('gw0', 'gw16')
        ]
        ports = [popen.stdout and popen.stdout.readline() for popen in running]
    assert all(ports)
    assert ports[0] != ports[1]


def test_processes_run_the_sources_of_this_tree(site: Site) -> None:
    """Guards against processes that run the installed package.

    Tests in a clone were then inconclusive about the code of the clone.
    """
    site.daemon_module = 'tests.source_reporter'
    reporter = site.start_entry('e', 'leith')
    wait_for(reporter.lines)
    assert reporter.lines()[0]['sources'] == str(SOURCES / 'gentianpulley')


def test_a_process_that_ends_at_its_start_is_told_of(site: Site) -> None:
    """Guards against a wait of fifteen seconds that hides the output."""
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
    """Guards against "Expecting value" without the response received."""
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
    """Guards against a worker that accepts any path and so leaves."""
    site.start_worker('w', 'leith')
    assert not site.answers('w', '/readyz')
    assert not site.answers('w', '/v1/status')
    renewed = site.call('w', 'POST', '/v1/renewals', dict(RENEWAL))
    assert not renewed['leaving']


def test_a_site_that_does_not_start_leaves_nothing_running(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against processes that keep running in all later tests."""
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
    """Guards against threads that keep running in later tests."""
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


def test_a_closed_worker_runs_no_thread_any_more() -> None:
    """Hundreds of them woke a hundred times a second beside later tests."""
    running = GridSite(GridStore())
    running.store.run_in_background()
    before = set(threading.enumerate())
    running.add_worker('w1')
    started = set(threading.enumerate()) - before
    running.close()
    for thread in started:
        thread.join(THREAD_END_S)
    assert not any(thread.is_alive() for thread in started)
