"""Customers' keys at the entry instances of a cluster."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

import pytest

from gentianpulley.platform.daemon import PlatformDaemon
from standins.grid_site import (
    Route,
    Site,
    call,
    cfg_document,
    job_body,
)
from standins.grid_store import GridStore

OWN_ID: Final = '00000000000000a1'
OWN: Final = f'/batch/{OWN_ID}'
OPEN: Final = '/open/00000000000000a2'
UNUSED: Final = '/batch/00000000000000ff'
BODY: Final = job_body(ms=60_000)
ROUTES: Final[tuple[Route, ...]] = (
    ('r-batch', 'fit.example', '/batch/', 2, 3, MappingProxyType({})),
    (
        'r-open',
        'fit.example',
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
    site: Site, key: str
) -> None:
    """A call with an unknown key was accepted."""
    node = site.nodes[0]
    assert {_status(node, *each, key) for each in CALLS} == {401}
    assert not site.store.keys('gp/job/')
    assert _status(node, 'POST', '/unknown/00000000000000a1', key) == 404


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
