"""Documented service while the store is down, slow or loses responses.

Watches that stop responding are covered too.
"""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from gentianpulley.cfg_folder import load_cfg_folder
from gentianpulley.document import Document, DocumentKind
from gentianpulley.document_push import (
    push_cfg,
    read_document,
    take_domain_out_of_service,
)
from gentianpulley.errors import CfgConflictError
from gentianpulley.etcd_store import connect_store
from gentianpulley.http_conn import HttpAddress
from gentianpulley.store import Store
from standins.platform import HOST, Platform
from standins.promises import (
    false_reports,
    incarnations_twice,
    overlapping,
    started_twice,
)
from standins.site import Site, wait_for
from tests.background_load import BackgroundLoad
from tests.cluster_helpers import (
    CFG_FOLDER,
    RequestSpec,
    start_site,
    list_starts,
    status,
    connect_to_store,
    submit,
)

CALLS_PER_S_AND_INSTANCE = 20
"""Several hundred writes and 2,000 reads, divided among 30 instances."""


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1)
    yield running
    running.stop()


# name: (faults, outcomes allowed for a build submitted meanwhile)
Case = tuple[dict[str, Any], set[str]]

FAULTS: dict[str, Case] = {
    'down': ({'down': True}, {'not-run'}),
    'slow': ({'delay_ms': 400}, {'done'}),
    'very slow': ({'delay_ms': 2500}, {'unknown', 'not-run'}),
    'one answer lost': ({'lose_answers': 1}, {'done', 'unknown'}),
    'one request lost': ({'drop_requests': 1}, {'done', 'unknown'}),
    'many answers lost': ({'lose_answers': 3}, {'done', 'unknown'}),
}


@pytest.mark.parametrize('name', FAULTS)
def test_served_as_documented(site: Site, name: str) -> None:
    faults, allowed = FAULTS[name]
    site.set_faults(**faults)
    preview = RequestSpec('p', task={'run_ms': 1}, deadline_ms=5000)
    assert submit(site, 'e-leith-0', preview)['outcome'] == 'done'
    build = RequestSpec('b', 'last-build', {'run_ms': 10}, deadline_ms=15_000)
    first = submit(site, 'e-leith-0', build)
    assert first['outcome'] in allowed
    site.set_faults()
    time.sleep(1)
    if first['outcome'] == 'not-run':
        assert not list_starts(site, 'b')
    again = RequestSpec('b', 'last-build', {'run_ms': 10}, deadline_ms=30_000)
    wait_for(lambda: _is_resolved(site, again), 20)
    assert len(list_starts(site, 'b')) <= 1


def _is_resolved(site: Site, spec: RequestSpec) -> bool:
    answer = submit(site, 'e-gorgie-0', spec)
    return answer['outcome'] == 'done' or answer['code'] == 204


def test_running_work_survives_a_long_outage(site: Site) -> None:
    """An outage outlasts every store lease; no work is lost or rerun."""
    with BackgroundLoad(site, ('e-leith-0', 'e-gorgie-0')) as load:
        time.sleep(2)
        site.set_faults(down=True)
        time.sleep(10)
        site.set_faults()
        time.sleep(2)
    record = site.record()
    assert not list(started_twice(record, ['last-build']))
    assert not list(overlapping(record, ['last-build', 'scaling-run']))
    assert not list(incarnations_twice(record))
    assert not list(false_reports(record, load.outcomes()))
    assert load.count('done', 'fit-preview') > 100
    assert load.count('not-run', 'fit-preview') == 0
    for work_class in ('last-build', 'scaling-run'):
        assert load.count('pending', work_class) == 0
        assert load.count('unknown', work_class) == 0


def test_calls_stay_in_the_budget_when_the_store_returns(site: Site) -> None:
    site.set_faults(down=True)
    time.sleep(6)
    site.set_faults()
    before = site.call('platform', 'GET', '/standin/calls')['calls']
    time.sleep(4)
    after = site.call('platform', 'GET', '/standin/calls')['calls']
    assert (after - before) / 4 < 2 * CALLS_PER_S_AND_INSTANCE


def base_store(platform: Platform) -> Store:
    """Return a store that holds an initial cfg."""
    store = connect_store(HttpAddress(HOST, platform.port))
    push_cfg(store, load_cfg_folder(CFG_FOLDER), None)
    return store


@pytest.mark.proof('compare')
def test_racing_operators_get_one_winner(platform: Platform) -> None:
    store = base_store(platform)
    cfg = load_cfg_folder(CFG_FOLDER)
    platform.faults = {'delay_ms': 50}

    def push(_: int) -> Document | None:
        try:
            return push_cfg(store, cfg, 1)
        except CfgConflictError:
            return None

    with ThreadPoolExecutor(4) as pool:
        pushed = [done for done in pool.map(push, range(4)) if done]
    stored = read_document(store, DocumentKind.CFG).document
    assert pushed == [stored]


@pytest.mark.parametrize('fault', ('lose_answers', 'drop_requests'))
def test_lost_answer_of_a_push_is_settled(
    platform: Platform, fault: str
) -> None:
    store = base_store(platform)
    platform.faults = {fault: 1}
    pushed = push_cfg(store, load_cfg_folder(CFG_FOLDER), 1)
    assert read_document(store, DocumentKind.CFG).document == pushed
    assert pushed.revision == 2


def test_racing_domain_changes_are_both_kept(platform: Platform) -> None:
    store = base_store(platform)
    with ThreadPoolExecutor(2) as pool:
        list(
            pool.map(
                lambda name: take_domain_out_of_service(store, name), ('a', 'b')
            )
        )
    body = read_document(store, DocumentKind.DOMAINS).body
    assert '"a"' in body
    assert '"b"' in body


def test_cfg_pushed_during_an_outage_of_watches(site: Site) -> None:
    """Watches stop responding permanently; a change arrives in seconds."""
    site.set_faults(silent_watches=True)
    pushed_s = time.monotonic()
    push_cfg(connect_to_store(site), load_cfg_folder(CFG_FOLDER), None)
    site.set_faults(silent_watches=True)
    time.sleep(1)
    site.set_faults()
    wait_for(
        lambda: (
            site.call('e-leith-0', 'GET', '/v1/status')['peer']['cfg_revision']
            == 2
        ),
        10,
    )
    assert time.monotonic() - pushed_s < 20
    answer = status(site, 'e-leith-0', 'none')
    assert answer['name'] == 'UNKNOWN_KEY'
