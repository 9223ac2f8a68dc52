"""Bad input at the HTTP front gets a numbered code, with no loss or leak."""

import json
import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from gentianpulley.control_keys import CONTROL_PREFIX
from gentianpulley.store import ABSENT, ConditionalWrite, Put
from standins.ports import HOST
from standins.site import Site, wait_for
from tests.cluster_helpers import (
    RequestSpec,
    start_site,
    connect_to_store,
    submit,
)

MAX_BODY_BYTES = 200_000
ENTRY = 'e-leith-0'


@pytest.fixture(scope='module')
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1)
    with ExitStack() as undo:
        undo.callback(running.stop)
        running.start_entry('e-small', 'leith', max_body_bytes=MAX_BODY_BYTES)
        running.wait_until_serving(2)
        yield running


GOOD = RequestSpec('good', 'fit-preview', {'run_ms': 1})

# name: (request, expected code name)
REQUESTS: dict[str, tuple[RequestSpec, str]] = {
    'unknown class': (replace(GOOD, work_class='nope'), 'UNKNOWN_CLASS'),
    'unknown team': (replace(GOOD, team='nope'), 'UNKNOWN_TEAM'),
    'empty key': (replace(GOOD, key=''), 'BAD_REQUEST'),
    'key with a slash': (replace(GOOD, key='a/b'), 'BAD_REQUEST'),
    'key too long': (replace(GOOD, key='k' * 129), 'BAD_REQUEST'),
    'no processors': (replace(GOOD, processors_milli=0), 'BAD_REQUEST'),
    'negative memory': (replace(GOOD, memory_mib=-1), 'BAD_REQUEST'),
    'more than any worker': (
        replace(GOOD, processors_milli=1_000_000),
        'IMPOSSIBLE_SIZE',
    ),
    'devices that no worker has': (
        replace(GOOD, accelerators=1),
        'IMPOSSIBLE_SIZE',
    ),
    'deadline in the past': (replace(GOOD, deadline_ms=-1), 'DEADLINE_PASSED'),
    'too many data tags': (
        replace(GOOD, data_tags=('t',) * 33),
        'BAD_REQUEST',
    ),
    'recorded payload too large': (
        RequestSpec('big', 'last-build', {'echo': 'x' * 800_000}),
        'BODY_TOO_LARGE',
    ),
}

BODIES: dict[str, bytes] = {
    'empty': b'',
    'not json': b'<xml/>',
    'wrong shape': b'[1, 2]',
    'wrong type': b'{"request_key": 7}',
    'bad base64': json.dumps({**GOOD.body(), 'payload': '%'}).encode(),
    'deeply nested': b'[' * 50_000,
    'huge number': json.dumps({**GOOD.body(), 'deadline_ms': 1e300}).encode(),
}


@pytest.mark.parametrize('name', REQUESTS)
def test_request_is_refused_and_not_run(site: Site, name: str) -> None:
    spec, code = REQUESTS[name]
    response = submit(site, ENTRY, spec)
    assert response['name'] == code
    assert response['outcome'] == 'not-run'
    assert response['text']


@pytest.mark.parametrize('name', BODIES)
def test_body_is_refused(site: Site, name: str) -> None:
    for path in ('/v1/requests', '/v1/cancellations', '/v1/documents'):
        response = raw_call(site, ENTRY, 'POST', path, BODIES[name])
        assert response['name'] == 'BAD_REQUEST'


def test_body_over_the_limit_is_refused(site: Site) -> None:
    response = raw_call(
        site, 'e-small', 'POST', '/v1/requests', b'x' * MAX_BODY_BYTES * 2
    )
    assert response['name'] == 'BODY_TOO_LARGE'


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    (
        ('GET', '/nope', 404),
        ('PUT', '/v1/requests', 405),
        ('GET', '/v1/requests', 404),
        ('GET', '/v1/requests/none', 404),
        ('GET', '/v1/requests/none?wait_ms=soon', 400),
        ('POST', '/v1/requests?what=1', 404),
        ('DELETE', '/v1/requests/none', 404),
    ),
)
def test_wrong_path_has_a_code(
    site: Site, method: str, path: str, status: int
) -> None:
    address = f'{HOST}:{port(site)}'
    resp = site.http.request(method, f'http://{address}{path}')
    assert resp.status == status
    assert json.loads(resp.data)['code'] >= 200


def test_broken_connections_leak_nothing(site: Site) -> None:
    """Clients that disconnect in mid-request leave no thread running."""
    before = thread_count(site)
    for tail in (b'', b'\r\n', b'Content-Length: 100\r\n\r\n{"a'):
        for _ in range(5):
            with socket.create_connection((HOST, port(site))) as conn:
                conn.sendall(b'POST /v1/requests HTTP/1.1\r\nHost: x\r\n')
                conn.sendall(tail)
    response = submit(site, ENTRY, replace(GOOD, key='after'))
    assert response['outcome'] == 'done'
    wait_for(lambda: thread_count(site) <= before + 1, 10)


def test_platform_nonsense_is_left_out(site: Site) -> None:
    """Corrupt records under the control keys stop no instance."""
    keys = [
        f'{CONTROL_PREFIX}{tail}'
        for tail in ('members/x', 'owners/x', 'documents/x', 'else')
    ]
    connect_to_store(site).write(
        [ConditionalWrite(key, ABSENT, (Put(key, b'\xff{'),)) for key in keys]
    )
    time.sleep(0.5)
    response = submit(site, ENTRY, replace(GOOD, key='nonsense'))
    assert response['outcome'] == 'done'
    assert site.answers(ENTRY, '/readyz')


def test_impossible_size_is_told_once_its_peers_are_heard(site: Site) -> None:
    """Guards against a retryable response at the request's deadline."""
    peer = site.processes['e-gorgie-0']
    peer.signal(signal.SIGSTOP)
    wait_for(lambda: not hears_peer(site, peer.name))
    spec = replace(GOOD, key='late', processors_milli=1_000_000)
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(submit, site, ENTRY, spec)
        time.sleep(0.5)
        peer.signal(signal.SIGCONT)
        response = fut.result()
    assert response['name'] == 'IMPOSSIBLE_SIZE'


def hears_peer(site: Site, name: str) -> bool:
    """Return whether the entry instance receives heartbeats of a peer."""
    peers = site.call(ENTRY, 'GET', '/v1/status')['peers']
    return any(each['instance'] == name and each['is_heard'] for each in peers)


def port(site: Site) -> int:
    """Return the HTTP port of the entry instance."""
    return site.processes[ENTRY].port


def thread_count(site: Site) -> int:
    """Return the number of threads of the entry instance."""
    pid = site.processes[ENTRY].popen.pid
    return len(list(Path(f'/proc/{pid}/task').iterdir()))


def raw_call(site: Site, name: str, method: str, path: str, body: bytes) -> Any:
    """Send a raw body and return the decoded JSON response."""
    target_port = site.processes[name].port
    address = f'{HOST}:{target_port}'
    resp = site.http.request(method, f'http://{address}{path}', body=body)
    return json.loads(resp.data)
