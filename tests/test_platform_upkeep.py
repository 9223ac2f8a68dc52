"""Maintenance waves across entry instances, store, workers and machines."""

import json
from base64 import b64decode
from collections.abc import Iterator

import pytest

from standins.grid_machines import GridMachines
from standins.grid_site import (
    Site,
    call,
    cfg_document,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import GridStore

JOB = '/batch/00000000000000a1'
STATUS = 'status/wave/1'


@pytest.fixture
def site() -> Iterator[Site]:
    """Return a cluster of three workers, their machines and two instances."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    running = Site(store)
    for worker_id in ('w1', 'w2', 'w3'):
        running.add_worker(worker_id)
    running.machines = GridMachines(running.workers)
    running.machines.run_in_background()
    for _ in range(2):
        running.add_node()
    yield running
    running.close()


def _wave_status(site: Site) -> str:
    item = site.store.item(STATUS)
    if item is None:
        return ''
    return str(json.loads(b64decode(item['value']))['state'])


def _request_wave(site: Site, *machines: str) -> None:
    wave = {
        'wave': 1,
        'machines': machines,
        'within_s': 8,
        'at_most': 1,
    }
    site.store.put('op/wave/1', wave)


@pytest.mark.parametrize(
    'faults',
    [
        {},
        {'lose_orders': 1},
        {'late_orders': 1},
        pytest.param(
            {'drop_orders': 1}, marks=pytest.mark.proof('unanswered-upkeep')
        ),
        {'busy': 2},
    ],
)
def test_a_wave_takes_machines_down_one_by_one(
    site: Site, faults: dict[str, int]
) -> None:
    assert site.machines is not None
    site.machines.faults = faults
    body = job_body({'count': 12}, ms=600)
    assert call(site.nodes[0], 'POST', JOB, body)[0] == 200
    _request_wave(site, 'm-w1', 'm-w2', 'm-never')
    wait_until(lambda: _wave_status(site) == 'completed', 20)
    assert sorted(site.machines.begun) == ['w1', 'w2']
    assert site.machines.most_down == 1
    wait_until(lambda: state_of(site.nodes[1], JOB) == 'completed', 20)


def test_a_successor_completes_the_wave(site: Site) -> None:
    assert site.machines is not None
    _request_wave(site, 'm-w1', 'm-w2', 'm-w3')
    wait_until(lambda: site.machines and site.machines.begun)
    assert _wave_status(site) == 'running'
    site.take_leader().shut_down()
    wait_until(lambda: _wave_status(site) == 'completed', 20)
    assert sorted(site.machines.begun) == ['w1', 'w2', 'w3']
    assert site.machines.most_down == 1
