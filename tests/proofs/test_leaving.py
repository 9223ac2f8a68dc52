"""Endpoints and instances that leave the cluster."""

import time
from collections.abc import Iterator

import pytest

from gentianpulley.start_gate import PROPAGATION_BOUND_MS
from standins.promises import starts_in
from standins.site import Site, wait_for
from tests.background_load import BackgroundLoad
from tests.cluster_helpers import (
    RequestSpec,
    start_site,
    list_starts,
    status,
    submit,
)


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=2, entries=1)
    yield running
    running.stop()


def leave_by_list(site: Site, name: str) -> None:
    """Let the platform list the worker as leaving."""
    site.list_instance(name, 'worker', leaving=True)


def leave_by_signal(site: Site, name: str) -> None:
    """Let the worker report that it leaves, before the list does."""
    site.call(name, 'GET', '/v1/leaving')


@pytest.mark.proof('leaving')
def test_listed_leaving_worker_gets_no_new_work(site: Site) -> None:
    run = RequestSpec(
        'run', 'scaling-run', {'run_ms': 9000}, deadline_ms=60_000
    )
    submit(site, 'e-leith-0', run, 0)
    wait_for(lambda: list_starts(site, 'run'))
    leaving = list_starts(site, 'run')[0]['worker']
    leave_by_list(site, leaving)
    left_ms = time.time_ns() // 1_000_000
    with BackgroundLoad(site, ('e-leith-0', 'e-gorgie-0'), ('fit-preview',)):
        time.sleep(PROPAGATION_BOUND_MS / 1000 + 2)
    late = [
        line
        for line in starts_in(site.record())
        if line['worker'] == leaving
        and line['at_ms'] > left_ms + PROPAGATION_BOUND_MS
    ]
    assert not late
    answer = status(site, 'e-gorgie-0', 'run', wait_ms=20_000)
    assert answer['outcome'] == 'done'
    assert [line['task_id'] for line in list_starts(site, 'run')] == [
        'run#1',
        'run#2',
    ]


def test_own_signal_of_a_worker_is_enough(site: Site) -> None:
    leave_by_signal(site, 'w-leith-0')
    time.sleep(2)
    keys = [f'p-{number}' for number in range(10)]
    for key in keys:
        spec = RequestSpec(key, task={'run_ms': 1})
        assert submit(site, 'e-leith-0', spec)['outcome'] == 'done'
    assert 'w-leith-0' not in {line['worker'] for line in site.record()}
