"""Waves that operators withdraw: what they ordered before still counts."""

import pytest

from gentianpulley.cluster import maintenance_loop
from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.wave_records import WAVE_PREFIX
from gentianpulley.cluster.worker_lifecycle import MAX_ORDER_DELAY_MS
from tests.scheduling.harness import START_MS, create_harness
from tests.scheduling.upkeep_site import (
    FIRST_ORDER_MS,
    LATE_MS,
    MAINTENANCE_MS,
    PASS_MS,
    Platform,
    UpkeepLeader,
    UpkeepSite,
)

WITHIN_MS = 60_000
LONG_MS = 30_000
SETTLED_MS = MAX_ORDER_DELAY_MS + MAINTENANCE_MS
RECORD_KEY = f'{WAVE_PREFIX}1'
SECOND = WaveRequest(2, ('m1', 'm2'), START_MS + WITHIN_MS, 1)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> UpkeepSite:
    """Return a site with a wave of one machine of two."""
    platform = Platform(('m1', 'm2'))
    monkeypatch.setattr(maintenance_loop, 'now_ms', lambda: platform.at_ms)
    first = WaveRequest(1, ('m1',), START_MS + WITHIN_MS, 1)
    return UpkeepSite(platform, (first,))


def _withdraw_unanswered(site: UpkeepSite) -> UpkeepLeader:
    """Withdraw the wave after its order for m1 got no answer."""
    site.platform.unanswered = 1
    leader = site.elect(create_harness('m1-1'))
    site.run(FIRST_ORDER_MS, leader)
    assert not site.platform.unanswered
    site.requests = ()
    leader.loop.wave_requests = ()
    return leader


def _most_down(site: UpkeepSite) -> int:
    return max(len(begun.others_down) + 1 for begun in site.platform.begun)


@pytest.mark.parametrize('has_successor', [False, True])
@pytest.mark.parametrize(
    'before_arrival_ms',
    [
        *range(200, 1400, 400),
        pytest.param(1400, marks=pytest.mark.proof('wave-withdrawn')),
        *range(1800, 3000, 400),
    ],
)
def test_a_wave_counts_what_a_withdrawn_one_ordered(
    site: UpkeepSite, before_arrival_ms: int, *, has_successor: bool
) -> None:
    """Two machines of a wave for one at a time were down: the late order of the
    withdrawn wave arrived meanwhile."""
    leader = _withdraw_unanswered(site)
    site.run(LATE_MS - PASS_MS - before_arrival_ms, leader)
    site.requests = (SECOND,)
    if has_successor:
        leader = site.elect(create_harness())
    leader.loop.wave_requests = site.requests
    site.run(LONG_MS, leader)
    assert _most_down(site) == 1
    begun = sorted(begun.machine_id for begun in site.platform.begun)
    assert begun == ['m1', 'm1', 'm2']


@pytest.mark.proof('wave-withdrawn')
def test_a_machine_gets_no_tasks_while_a_withdrawn_order_may_arrive(
    site: UpkeepSite,
) -> None:
    """The late order ended what was placed there after the withdrawal."""
    leader = _withdraw_unanswered(site)
    scheduler = leader.loop._service.scheduler
    site.platform.forget_late_orders()
    site.run(LATE_MS, leader)
    assert scheduler.workers['m1-1'].is_leaving
    site.run(SETTLED_MS - LATE_MS + 2 * PASS_MS, leader)
    assert not scheduler.workers['m1-1'].is_leaving


def test_a_wave_that_is_requested_again_repeats_its_order(
    site: UpkeepSite,
) -> None:
    requests = site.requests
    leader = _withdraw_unanswered(site)
    site.run(PASS_MS, leader)
    leader.loop.wave_requests = requests
    site.run(PASS_MS, leader)
    assert [begun.machine_id for begun in site.platform.begun] == ['m1']


def test_a_successor_repeats_no_order_of_a_withdrawn_wave(
    site: UpkeepSite,
) -> None:
    _withdraw_unanswered(site)
    site.run(LONG_MS, site.elect(create_harness('m1-1')))
    assert len(site.platform.ordered_ms) == 1


@pytest.mark.parametrize('has_left', [False, True])
def test_the_record_of_a_withdrawn_wave_goes_once_nothing_is_down(
    site: UpkeepSite, *, has_left: bool
) -> None:
    leader = _withdraw_unanswered(site)
    if has_left:
        site.platform.states.pop('m1')
        site.platform.forget_late_orders()
    site.run(SETTLED_MS, leader)
    assert RECORD_KEY in site.store.entries
    calls = site.platform.lists
    site.run(LONG_MS, leader)
    assert RECORD_KEY not in site.store.entries
    assert site.platform.lists - calls < 3
