"""Failure domains out of service, in service and partitioned.

Partitions separate them from the platform and from each other.
"""

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from gentianpulley.document import DocumentKind
from gentianpulley.document_push import take_domain_out_of_service
from gentianpulley.start_gate import PROPAGATION_BOUND_MS
from standins.network import PLATFORM
from standins.promises import (
    Period,
    false_reports,
    incarnations_twice,
    overlapping,
    started_in_period,
    started_twice,
)
from standins.site import Site, wait_for
from standins.tcp_proxy import LinkState
from tests.background_load import BackgroundLoad
from tests.cluster_helpers import (
    CFG_FOLDER,
    RequestSpec,
    put_cfg,
    start_site,
    list_starts,
    status,
    connect_to_store,
    submit,
)

NEVER_MS = 1 << 60
BOUND_S = PROPAGATION_BOUND_MS / 1000


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1, partitioned=True)
    yield running
    running.stop()


def now_ms() -> int:
    """Return the time as workers record it."""
    return time.time_ns() // 1_000_000


def check_runs(site: Site, load: BackgroundLoad) -> None:
    """Check that the record has no forbidden run and no false report."""
    record = site.record()
    assert not list(started_twice(record, ['last-build']))
    assert not list(overlapping(record, ['last-build', 'scaling-run']))
    assert not list(incarnations_twice(record))
    assert not list(false_reports(record, load.outcomes()))


@pytest.mark.proof('gate-domain')
def test_nothing_starts_in_a_domain_that_is_out(site: Site) -> None:
    with BackgroundLoad(site, ('e-leith-0', 'e-gorgie-0')) as load:
        time.sleep(1)
        out_ms = now_ms()
        take_domain_out_of_service(connect_to_store(site), 'leith')
        time.sleep(BOUND_S + 3)
    late = Period(out_ms + PROPAGATION_BOUND_MS, NEVER_MS)
    assert not list(started_in_period(site.record(), 'leith', late))
    assert load.count('done') > 20
    check_runs(site, load)


@pytest.mark.proof('gossip')
def test_domain_cut_from_the_platform_hears_from_peers(site: Site) -> None:
    assert site.network is not None
    site.network.set_link('leith', PLATFORM, LinkState.SILENT)
    with BackgroundLoad(site, ('e-leith-0',), ('fit-preview',)) as load:
        time.sleep(1)
        out_ms = now_ms()
        take_domain_out_of_service(connect_to_store(site), 'leith')
        time.sleep(BOUND_S + 3)
    late = Period(out_ms + PROPAGATION_BOUND_MS, NEVER_MS)
    assert not list(started_in_period(site.record(), 'leith', late))
    check_runs(site, load)


def test_domain_cut_from_the_platform_goes_on_serving(site: Site) -> None:
    assert site.network is not None
    site.network.set_link('leith', PLATFORM, LinkState.CUT)
    time.sleep(8)
    for number in range(5):
        spec = RequestSpec(f'p-{number}', task={'run_ms': 1}, deadline_ms=5000)
        assert submit(site, 'e-leith-0', spec)['outcome'] == 'done'
    build = RequestSpec('b', 'last-build', {'run_ms': 1}, deadline_ms=5000)
    answer = submit(site, 'e-leith-0', build)
    # A connection that breaks after it was accepted may have delivered the
    # write, so either of two outcomes is correct; the record decides below.
    assert answer['outcome'] in {'not-run', 'unknown'}
    assert not list_starts(site, 'b')
    site.network.set_link('leith', PLATFORM, LinkState.UP)
    again = RequestSpec('b2', 'last-build', {'run_ms': 1}, deadline_ms=20_000)
    wait_for(lambda: submit(site, 'e-leith-0', again)['outcome'] == 'done')


def put_isolated_start_limit(site: Site, milliseconds: int) -> None:
    """Roll out a cfg that limits starts in an isolated failure domain."""
    folder = site.folder / 'cfg'
    folder.mkdir()
    for path in CFG_FOLDER.iterdir():
        (folder / path.name).write_text(path.read_text())
    text = json.dumps({'limits': {'isolated_start_ms': milliseconds}})
    Path(folder / '60-limits.json').write_text(text)
    revision = put_cfg(site, folder)
    wait_for(lambda: _has_cfg_everywhere(site, revision))


def _has_cfg_everywhere(site: Site, revision: int) -> bool:
    return all(
        site.call(name, 'GET', '/v1/status')['peer']['cfg_revision'] >= revision
        for name in ('e-leith-0', 'e-gorgie-0')
    )


@pytest.mark.proof('isolation')
def test_isolated_domain_serves_for_a_bounded_time(site: Site) -> None:
    """In full isolation urgent work continues, then no work starts."""
    assert site.network is not None
    put_isolated_start_limit(site, 8000)
    cut_ms = now_ms()
    site.network.isolate('leith', LinkState.SILENT)
    with BackgroundLoad(site, ('e-leith-0',)) as load:
        time.sleep(16)
        over_ms = now_ms()
        site.network.isolate('leith', LinkState.UP)
    served = Period(cut_ms + 4000, cut_ms + 8000)
    over = Period(cut_ms + 8000 + PROPAGATION_BOUND_MS, over_ms)
    record = site.record()
    assert len(list(started_in_period(record, 'leith', served))) > 5
    assert not list(started_in_period(record, 'leith', over))
    spec = RequestSpec('back', task={'run_ms': 1})
    wait_for(lambda: submit(site, 'e-leith-0', spec)['outcome'] == 'done')
    check_runs(site, load)


@pytest.mark.proof('caretakers')
def test_abandoned_domain_is_looked_after(site: Site) -> None:
    """The last instance of a domain dies; others finish its jobs."""
    spec = RequestSpec('b', 'last-build', {'run_ms': 1500}, deadline_ms=60_000)
    submit(site, 'e-leith-0', spec, 0)
    wait_for(site.record)
    domain = site.record()[0]['failure_domain']
    other = 'e-gorgie-0' if domain == 'leith' else 'e-leith-0'
    site.processes[f'e-{domain}-0'].kill()
    killed_ms = now_ms()
    answer = status(site, other, 'b', wait_ms=25_000)
    assert answer['outcome'] == 'done'
    after = Period(killed_ms + 1000, NEVER_MS)
    assert not list(started_in_period(site.record(), domain, after))


ONE_WAY_LINKS = (
    ('leith', 'gorgie', LinkState.ONE_WAY),
    ('gorgie', 'leith', LinkState.SILENT),
    ('leith', PLATFORM, LinkState.ONE_WAY),
)


@pytest.mark.parametrize(
    ('source', 'target', 'state'),
    ONE_WAY_LINKS,
    ids=('answers lost between domains', 'silent one way', 'store one way'),
)
def test_one_way_partition_breaks_no_promise(
    site: Site, source: str, target: str, state: LinkState
) -> None:
    assert site.network is not None
    with BackgroundLoad(site, ('e-leith-0', 'e-gorgie-0')) as load:
        time.sleep(1)
        site.network.set_link(source, target, state)
        time.sleep(5)
        site.network.set_link(source, target, LinkState.UP)
        time.sleep(2)
    check_runs(site, load)
    assert load.count('done', 'fit-preview') > 20


def test_document_kinds_travel_alone(site: Site) -> None:
    """A change of the domains does not change the cfg's revision."""
    take_domain_out_of_service(connect_to_store(site), 'gorgie')
    wait_for(
        lambda: (
            site.call('e-leith-0', 'GET', '/v1/status')['peer'][
                f'{DocumentKind.DOMAINS}_revision'
            ]
            == 1
        )
    )
    assert _has_cfg_everywhere(site, 1)
