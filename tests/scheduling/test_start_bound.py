"""A leader has no more starts under way than its link carries."""

import pytest

from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.worker_protocol import (
    StartOrder,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.start_limiter import (
    START_OVERHEAD_BYTES,
    IN_FLIGHT_TIMEOUT_MS,
    MAX_LINK_BUSY_MS,
)
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

START_BYTES = START_OVERHEAD_BYTES + len('payload')
WORKER_IDS = tuple(f'w{number}' for number in range(10))
ROOM = 80
"""Tasks that the workers have room for."""

AT_ONCE = 10
NARROW_BYTES_S = AT_ONCE * START_BYTES * 1000 // MAX_LINK_BUSY_MS
URGENT_ID = 'b' * 16
LARGE_LINK_BYTES_S = 12_500_000


def _site(link_bytes_s: int = NARROW_BYTES_S) -> SchedulerHarness:
    return create_harness(*WORKER_IDS, link_bytes_s=link_bytes_s)


def _full_link(count: int = ROOM) -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return a site whose link is taken, and the starts under way."""
    site = _site()
    site.scheduler.add_job(job(step(count), priority=2))
    return site, site.plan()


@pytest.mark.parametrize(
    ('link_bytes_s', 'placed'),
    [
        (1, 1),
        (NARROW_BYTES_S // 2, AT_ONCE // 2),
        (NARROW_BYTES_S, AT_ONCE),
        (NARROW_BYTES_S + 10, AT_ONCE + 1),
        (LARGE_LINK_BYTES_S, ROOM),
        (DEFAULT_LINK_BYTES_S, ROOM),
    ],
)
def test_a_plan_places_what_the_link_carries(
    link_bytes_s: int, placed: int
) -> None:
    site = _site(link_bytes_s)
    site.scheduler.add_job(job(step(ROOM)))
    assert len(site.plan()) == placed
    assert not site.plan()


@pytest.mark.parametrize('answered', [1, 4])
@pytest.mark.parametrize(
    'verdict',
    [
        StartVerdict.ACCEPTED,
        StartVerdict.TOO_LATE,
        StartVerdict.NOT_SENT,
        StartVerdict.LOST,
        StartVerdict.OUTDATED,
    ],
)
def test_each_answer_and_each_loss_makes_room(
    verdict: StartVerdict, answered: int
) -> None:
    site, orders = _full_link(40)
    for order in orders[:answered]:
        site.answer(order, verdict)
    assert len(site.plan()) == answered


def test_a_start_that_is_never_answered_makes_room_in_time() -> None:
    site, _ = _full_link(40)
    site.at_ms += IN_FLIGHT_TIMEOUT_MS - 1
    assert not site.plan()
    site.at_ms += 1
    assert len(site.plan()) == AT_ONCE


def test_a_worker_that_is_gone_takes_no_room() -> None:
    site, orders = _full_link(40)
    gone = orders[0].worker_id
    on_gone = sum(order.worker_id == gone for order in orders)
    site.scheduler.end_incarnation(gone, site.at_ms)
    assert len(site.plan()) == on_gone


def test_urgent_work_goes_before_what_the_link_held_back() -> None:
    """Starts queued for seconds went before it, to workers chosen before."""
    site, orders = _full_link(40)
    assert len(orders) == AT_ONCE
    site.scheduler.add_job(job(step(2), job_id=URGENT_ID, priority=0))
    for order in orders[:2]:
        site.answer(order, StartVerdict.ACCEPTED)
    following = {order.key.task_id.job_id for order in site.plan()}
    assert following == {URGENT_ID}


def test_what_waits_for_the_link_is_told() -> None:
    site, orders = _full_link(40)
    site.scheduler.add_job(job(step(3), job_id=URGENT_ID, priority=3))
    site.plan()
    waiting = site.scheduler.create_report(site.at_ms).waiting
    assert waiting == {'link': 40 - len(orders) + 3}


def test_stops_never_wait_for_the_link() -> None:
    site, orders = _full_link(40)
    stops = site.scheduler.cancel(orders[0].key.task_id.job_id)
    assert all(isinstance(stop, StopOrder) for stop in stops)
    assert len(stops) == len(orders)


@pytest.mark.parametrize(
    ('width', 'placed', 'later'), [(20, 20, 0), (ROOM + 1, 0, 3)]
)
def test_a_gang_is_placed_as_a_whole_or_takes_no_room(
    width: int, placed: int, later: int
) -> None:
    site = _site()
    site.scheduler.add_job(job(step(width, is_gang=True)))
    assert len(site.plan()) == placed
    site.scheduler.add_job(job(step(3), job_id=URGENT_ID, priority=3))
    assert len(site.plan()) == later
