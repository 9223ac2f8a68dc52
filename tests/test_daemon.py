"""One daemon: readiness, logs, metrics, graceful shutdown under load."""

import json
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.ports import HOST
from standins.site import STOP_TIMEOUT_S, Site, wait_for
from tests.cluster_helpers import (
    RequestSpec,
    put_cfg,
    start_site,
    list_starts,
    status,
    submit,
)


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=2)
    yield running
    running.stop()


@pytest.fixture
def bare_site() -> Iterator[Site]:
    running = Site()
    running.start_platform()
    yield running
    running.stop()


def test_instance_is_not_ready_before_it_has_a_cfg(bare_site: Site) -> None:
    bare_site.start_entry('e-1', 'leith')
    wait_for(lambda: bare_site.answers('e-1', '/healthz'))
    assert not bare_site.answers('e-1', '/readyz')
    response = submit(bare_site, 'e-1', RequestSpec('early'))
    assert (response['name'], response['outcome']) == ('NOT_READY', 'not-run')
    put_cfg(bare_site)
    wait_for(lambda: bare_site.answers('e-1', '/readyz'))


def _kinds_of(site: Site, key: str) -> set[str]:
    """Return the message types of all log lines with this request key."""
    return {
        line['message_type'].rpartition(':')[2]
        for name, process in site.processes.items()
        if name.startswith('e-')
        for line in process.lines()
        if key in json.dumps(line)
    }


def test_one_request_can_be_followed_through_all_logs(site: Site) -> None:
    submit(
        site, 'e-gorgie-0', RequestSpec('traced', 'last-build', {'run_ms': 1})
    )
    kinds = {
        'request_accepted',
        'task_sent',
        'task_routed',
        'task_ended',
        'request_answered',
    }
    # Each instance writes its log in a separate thread, shortly after the
    # event, so `request_answered` may be logged before the owner's
    # `task_ended`.
    wait_for(lambda: kinds <= _kinds_of(site, 'traced'))
    assert _kinds_of(site, 'traced') == kinds


def test_metrics_count_requests(site: Site) -> None:
    for number in range(3):
        submit(
            site, 'e-leith-0', RequestSpec(f'm-{number}', task={'run_ms': 1})
        )
    port = site.processes['e-leith-0'].port
    resp = site.http.request('GET', f'http://{HOST}:{port}/metrics')
    lines = resp.data.decode().splitlines()
    assert (
        'gentianpulley_requests_total{class="fit-preview",code="0"} 3' in lines
    )
    assert any('quantile="0.999"' in line for line in lines)
    assert any('store_calls_total' in line for line in lines)


@pytest.mark.proof('drain')
def test_planned_stop_cuts_off_no_request(site: Site) -> None:
    """SIGTERM under load: every earlier request gets a complete response.

    The tasks run longer than the HTTP server's own shutdown timeout.
    """
    work = [
        RequestSpec(f'{work_class}-{number}', work_class, {'run_ms': 7000})
        for number in range(3)
        for work_class in ('fit-preview', 'last-build')
    ]
    with ThreadPoolExecutor(len(work)) as pool:
        futs = [pool.submit(submit, site, 'e-leith-0', spec) for spec in work]
        time.sleep(0.4)
        site.processes['e-leith-0'].signal(signal.SIGTERM)
        responses: list[Any] = [fut.result() for fut in futs]
    outcomes = {
        response['request_key']: response['outcome'] for response in responses
    }
    for key, outcome in outcomes.items():
        if key.startswith('fit-preview'):
            assert outcome == 'done'
        else:
            assert outcome in {'done', 'pending'}
    popen = site.processes['e-leith-0'].popen
    assert popen.wait(STOP_TIMEOUT_S) == 0
    for spec in work:
        if spec.work_class == 'last-build':
            last = status(site, 'e-gorgie-0', spec.key, wait_ms=15_000)
            assert last['outcome'] == 'done', last
            assert len(list_starts(site, spec.key)) == 1


def test_draining_instance_refuses_new_work(site: Site) -> None:
    long_request = RequestSpec('long', 'fit-preview', {'run_ms': 3000})
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(submit, site, 'e-leith-0', long_request)
        time.sleep(0.5)
        site.processes['e-leith-0'].signal(signal.SIGTERM)
        wait_for(lambda: not site.answers('e-leith-0', '/readyz'))
        response = submit(site, 'e-leith-0', RequestSpec('late'))
        assert (response['name'], response['outcome']) == (
            'DRAINING',
            'not-run',
        )
        assert fut.result()['outcome'] == 'done'
