"""Customers' keys at the entry instances of a cluster."""

import json
import time
from collections.abc import Iterator, Mapping
from contextlib import closing
from http.client import HTTPConnection
from types import MappingProxyType
from typing import Final

import pytest

from gentianpulley.cluster.entry_job_store import EntryJobStore
from gentianpulley.cluster.job_storage import job_key, record_key
from gentianpulley.jobs.job import JobState
from gentianpulley.jobs.record import JobRecord, encode_record
from gentianpulley.jobs.spec import decode_job
from gentianpulley.platform.daemon import PlatformDaemon
from standins.grid_site import (
    Route,
    Site,
    call,
    cfg_document,
    job_body,
    key_header,
    wait_until,
)
from standins.grid_store import GridStore

OWN_ID: Final = '00000000000000a1'
OWN: Final = f'/batch/{OWN_ID}'
OPEN_ID: Final = '00000000000000a2'
OPEN: Final = f'/open/{OPEN_ID}'
UNUSED: Final = '/batch/00000000000000ff'
HOST_NAME: Final = 'fit.example'
KEY: Final = 'key-a1'
APPLY_S: Final = 3.0
BODY: Final = job_body(ms=60_000)
ROUTES: Final[tuple[Route, ...]] = (
    ('r-batch', HOST_NAME, '/batch/', 2, 3, MappingProxyType({})),
    (
        'r-open',
        HOST_NAME,
        '/open/',
        2,
        3,
        MappingProxyType({'public': True}),
    ),
)
KEYS: Final = MappingProxyType({'ada': ('key-a1', 'key-a2'), 'bo': ('key-b',)})


def _write_cfg(
    site: Site, version: int, keys: Mapping[str, tuple[str, ...]] = KEYS
) -> None:
    site.store.put('op/config', cfg_document(version, ROUTES, keys))


@pytest.fixture
def site() -> Iterator[Site]:
    """Return an instance whose cfg has two customers and a public queue."""
    store = GridStore()
    store.run_in_background()
    running = Site(store)
    _write_cfg(running, 1)
    running.add_node()
    yield running
    running.close()


def _status(node: PlatformDaemon, method: str, path: str, key: str) -> int:
    body = BODY if method == 'POST' else None
    return call(node, method, path, body, key=key)[0]


CALLS: Final = (
    ('POST', OWN),
    ('GET', OWN),
    ('DELETE', OWN),
    ('GET', '/batch/'),
)


@pytest.mark.proof('caller-check')
@pytest.mark.parametrize('key', ['', 'unknown', 'key-a', 'key-a1 key-a2'])
def test_a_call_without_a_known_key_reads_and_stores_nothing(
    site: Site, monkeypatch: pytest.MonkeyPatch, key: str
) -> None:
    """A call with an unknown key was accepted."""
    node = site.nodes[0]
    for name in ('create', 'status', 'cancel', 'count_waiting'):
        monkeypatch.delattr(EntryJobStore, name)
    assert {_status(node, *each, key) for each in CALLS} == {401}
    assert not site.store.keys('gp/job/')
    assert _status(node, 'POST', '/unknown/00000000000000a1', key) == 404


@pytest.mark.proof('job-owner')
def test_a_job_belongs_to_the_customer_that_submitted_it(site: Site) -> None:
    node = site.nodes[0]
    assert _status(node, 'POST', OWN, 'key-a1') == 200
    assert _status(node, 'POST', OWN, 'key-a2') == 200
    for method in ('POST', 'GET', 'DELETE'):
        assert _status(node, method, OWN, 'key-b') == 403, method
        assert _status(node, method, OWN.replace('batch', 'open'), '') == 403
    assert not site.store.keys('gp/job/cancelled/')
    assert _status(node, 'GET', '/batch/', 'key-b') == 200
    assert _status(node, 'GET', OWN, 'key-a2') == 200
    assert _status(node, 'DELETE', OWN, 'key-a2') == 200
    assert site.store.keys('gp/job/cancelled/')
    assert _status(node, 'DELETE', UNUSED, 'key-b') == 410


def test_status_is_checked_by_the_record_alone(site: Site) -> None:
    """A record outlives neither its job nor its customer's keys."""
    node = site.nodes[0]
    record = JobRecord(JobState.COMPLETED, 'r-batch', 1, customer='ada')
    site.store.put(record_key(OWN_ID), encode_record(record))
    assert _status(node, 'GET', OWN, 'key-a1') == 200
    for method in ('GET', 'DELETE'):
        assert _status(node, method, OWN, 'key-b') == 403


def test_a_job_of_the_previous_release_belongs_to_no_customer(
    site: Site,
) -> None:
    site.store.put(job_key(OWN_ID), {'job_id': OWN_ID})
    site.store.put(record_key(OWN_ID), {'state': 'running', 'queue': 'q'})
    assert _status(site.nodes[0], 'GET', OWN, 'key-b') == 200
    assert _status(site.nodes[0], 'POST', OWN, 'key-b') == 200


def test_a_public_queue_ignores_keys(site: Site) -> None:
    assert _status(site.nodes[0], 'POST', OPEN, 'key-a1') == 200
    spec = decode_job(site.store.text(job_key(OPEN_ID)).encode())
    assert not spec.customer
    for key in ('', 'unknown', 'key-b'):
        assert _status(site.nodes[0], 'GET', OPEN, key) == 200


def _send(conn: HTTPConnection, key: str) -> int:
    conn.request('GET', UNUSED, headers={'Host': HOST_NAME, **key_header(key)})
    resp = conn.getresponse()
    resp.read()
    return resp.status


def test_a_withdrawn_key_is_refused_on_an_open_connection(site: Site) -> None:
    """Each call is checked, not each connection."""
    address = site.nodes[0].front_address
    conn = HTTPConnection(address.host, address.port, timeout=5)
    with closing(conn):
        assert _send(conn, 'key-b') == 410
        sock = conn.sock
        site.store.forget_history()
        _write_cfg(site, 2, {'ada': ('key-a1',), 'bo': ('key-b2',)})
        acknowledged_s = time.monotonic()
        wait_until(lambda: _send(conn, 'key-b') == 401, APPLY_S)
        assert time.monotonic() < acknowledged_s + APPLY_S
        _write_cfg(site, 1)
        statuses = {_send(conn, 'key-b2') for _ in range(3)}
        assert (statuses, _send(conn, 'key-b')) == ({410}, 401)
        assert conn.sock is sock


def test_a_key_that_is_withdrawn_before_the_body_arrives_is_refused(
    site: Site,
) -> None:
    """The headers alone kept a submission open past the withdrawal."""
    node = site.nodes[0]
    address = node.front_address
    body = json.dumps(BODY).encode()
    conn = HTTPConnection(address.host, address.port, timeout=5)
    with closing(conn):
        conn.putrequest('POST', OWN, skip_host=True)
        headers = {'Host': HOST_NAME, 'X-Credential': 'key-b'}
        for name, text in {**headers, 'Content-Length': len(body)}.items():
            conn.putheader(name, f'{text}')
        conn.endheaders()
        # A later connection is served, so the headers have been read.
        for _ in range(2):
            assert _status(node, 'GET', UNUSED, 'key-b') == 410
        _write_cfg(site, 2, {'ada': ('key-a1',)})
        wait_until(lambda: _status(node, 'GET', OWN, 'key-b') == 401, APPLY_S)
        conn.send(body)
        assert conn.getresponse().status == 401
    assert not site.store.keys('gp/job/')


def test_a_key_that_was_withdrawn_during_a_restart_is_refused(
    site: Site,
) -> None:
    site.nodes.pop().shut_down()
    _write_cfg(site, 2, {'bo': ('key-b2',)})
    node = site.add_node()
    keys = ('key-a1', 'key-b', 'key-b2')
    assert [_status(node, 'GET', OWN, key) for key in keys] == [401, 401, 410]


@pytest.mark.proof('cfg-freshness')
def test_a_cfg_that_may_be_outdated_is_not_used(site: Site) -> None:
    """The instance knows neither new nor withdrawn keys."""
    node = site.nodes[0]
    site.store.faults['down'] = 1
    wait_until(lambda: _status(node, 'GET', UNUSED, 'unknown') == 503, 6)
    answers = [_status(node, *each, key) for each in CALLS for key in ('', KEY)]
    assert set(answers) == {503}
    site.store.faults.clear()
    wait_until(lambda: _status(node, 'GET', UNUSED, KEY) == 410, APPLY_S)
    assert _status(node, 'GET', UNUSED, 'unknown') == 401


@pytest.mark.parametrize(
    ('contracts', 'status'), [('a,tenants', 401), ('', 410)]
)
def test_keys_are_needed_without_customers_in_the_cfg(
    contracts: str, status: int
) -> None:
    """Where the settings do not name them either, keys are ignored."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(1))
    site = Site(store)
    with closing(site):
        node = site.add_node(contracts=contracts)
        answers = {_status(node, 'GET', UNUSED, key) for key in ('', KEY)}
    assert answers == {status}
