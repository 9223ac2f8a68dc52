"""Requests of a caller through separate processes and their responses."""

from collections.abc import Iterator

import pytest

from standins.site import Site
from tests.cluster_helpers import (
    RequestSpec,
    answer_bytes,
    start_site,
    list_starts,
    status,
    submit,
)


@pytest.fixture(scope='module')
def site() -> Iterator[Site]:
    running = start_site()
    yield running
    running.stop()


CLASSES = ('fit-preview', 'last-build', 'scaling-run')


@pytest.mark.parametrize('work_class', CLASSES)
def test_submit_and_wait(site: Site, work_class: str) -> None:
    spec = RequestSpec(
        f'wait-{work_class}', work_class, {'run_ms': 50, 'echo': 'x'}
    )
    response = submit(site, 'e-leith-0', spec)
    assert response['outcome'] == 'done'
    assert answer_bytes(response).startswith(b'wait-')
    assert response['answer_length'] == len(answer_bytes(response))


@pytest.mark.parametrize('work_class', ('last-build', 'scaling-run'))
def test_submit_and_poll_elsewhere(site: Site, work_class: str) -> None:
    key = f'poll-{work_class}'
    accepted = submit(
        site,
        'e-leith-0',
        RequestSpec(key, work_class, {'run_ms': 400}),
        wait_ms=0,
    )
    assert accepted['outcome'] == 'pending'
    response = status(site, 'e-gorgie-1', key, wait_ms=10_000)
    assert response['outcome'] == 'done'
    assert len(list_starts(site, key)) == 1


def test_large_answer_arrives_whole(site: Site) -> None:
    size = 6_000_000
    task = {'run_ms': 10, 'answer_bytes': size}
    for work_class in CLASSES:
        response = submit(
            site,
            'e-gorgie-0',
            RequestSpec(f'large-{work_class}', work_class, task),
        )
        assert response['outcome'] == 'done'
        assert len(answer_bytes(response)) == size


def test_same_key_runs_once(site: Site) -> None:
    spec = RequestSpec('twice', 'last-build', {'run_ms': 200})
    first = submit(site, 'e-leith-0', spec)
    second = submit(site, 'e-gorgie-1', spec)
    assert first['answer'] == second['answer']
    assert len(list_starts(site, 'twice')) == 1


def test_same_key_for_another_request_is_refused(site: Site) -> None:
    submit(site, 'e-leith-0', RequestSpec('clash', 'last-build', {'run_ms': 1}))
    other = RequestSpec('clash', 'last-build', {'run_ms': 2})
    response = submit(site, 'e-gorgie-0', other)
    assert response['name'] == 'KEY_CONFLICT'
    assert response['outcome'] == 'not-run'
