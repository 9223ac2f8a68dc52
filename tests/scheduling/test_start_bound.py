"""A leader has no more starts in flight than its link can carry."""

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
from gentianpulley.cluster.task_placement import STARVATION_MS
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

START_BYTES = START_OVERHEAD_BYTES + len('payload')
WORKER_IDS = tuple(f'w{number}' for number in range(10))
TOTAL_SLOTS = 80
"""Number of tasks that fit on the workers."""

MAX_IN_FLIGHT = 10
NARROW_BYTES_S = MAX_IN_FLIGHT * START_BYTES * 1000 // MAX_LINK_BUSY_MS
URGENT_ID = 'b' * 16
LARGE_LINK_BYTES_S = 12_500_000


def _limited_harness(link_bytes_s: int = NARROW_BYTES_S) -> SchedulerHarness:
    return create_harness(*WORKER_IDS, link_bytes_s=link_bytes_s)


def _harness_with_full_link(
    count: int = TOTAL_SLOTS,
) -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return a harness whose link is saturated, and the starts in flight."""
    harness = _limited_harness()
    harness.scheduler.add_job(job(step(count), priority=2))
    return harness, harness.plan()


@pytest.mark.parametrize(
    ('link_bytes_s', 'placed'),
    [
        (1, 1),
        (NARROW_BYTES_S // 2, MAX_IN_FLIGHT // 2),
        (NARROW_BYTES_S, MAX_IN_FLIGHT),
        (NARROW_BYTES_S + 10, MAX_IN_FLIGHT + 1),
        (LARGE_LINK_BYTES_S, TOTAL_SLOTS),
        (DEFAULT_LINK_BYTES_S, TOTAL_SLOTS),
    ],
)
def test_a_plan_places_what_the_link_carries(
    link_bytes_s: int, placed: int
) -> None:
    harness = _limited_harness(link_bytes_s)
    harness.scheduler.add_job(job(step(TOTAL_SLOTS)))
    assert len(harness.plan()) == placed
    assert not harness.plan()


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
    harness, orders = _harness_with_full_link(40)
    for order in orders[:answered]:
        harness.answer(order, verdict)
    assert len(harness.plan()) == answered


def test_a_start_that_is_never_answered_makes_room_in_time() -> None:
    harness, _ = _harness_with_full_link(40)
    harness.at_ms += IN_FLIGHT_TIMEOUT_MS - 1
    assert not harness.plan()
    harness.at_ms += 1
    assert len(harness.plan()) == MAX_IN_FLIGHT


def test_a_worker_that_is_gone_takes_no_room() -> None:
    harness, orders = _harness_with_full_link(40)
    gone = orders[0].worker_id
    on_gone = sum(order.worker_id == gone for order in orders)
    harness.scheduler.end_incarnation(gone, harness.at_ms)
    assert len(harness.plan()) == on_gone


def test_urgent_work_goes_before_what_the_link_held_back() -> None:
    """Starts queued for seconds used to go first, to workers chosen earlier."""
    harness, orders = _harness_with_full_link(40)
    assert len(orders) == MAX_IN_FLIGHT
    harness.scheduler.add_job(job(step(2), job_id=URGENT_ID, priority=0))
    for order in orders[:2]:
        harness.answer(order, StartVerdict.ACCEPTED)
    following = {order.key.task_id.job_id for order in harness.plan()}
    assert following == {URGENT_ID}


LATE_ID = 'd' * 16
URGENT_TASKS = 60


def _harness_with_late_job(waited_ms: int) -> SchedulerHarness:
    """Return a harness in which urgent work takes all of the link.

    A less urgent job has waited `waited_ms` for the link, with nothing running.
    """
    harness = _limited_harness()
    late = job(step(3), job_id=LATE_ID, priority=2)
    harness.scheduler.add_job(job(step(URGENT_TASKS), priority=0))
    harness.scheduler.add_job(late)
    for order in harness.plan():
        harness.answer(order, StartVerdict.ACCEPTED)
    harness.at_ms += waited_ms
    return harness


@pytest.mark.parametrize(
    ('waited_ms', 'late_starts'), [(STARVATION_MS + 1, 1), (100, 0)]
)
def test_a_job_with_nothing_running_gets_a_task_through_a_full_link(
    waited_ms: int, late_starts: int
) -> None:
    """Late jobs had nothing running for as long as other work arrived."""
    harness = _harness_with_late_job(waited_ms)
    orders = harness.plan()
    assert len(orders) == MAX_IN_FLIGHT
    ids = [order.key.task_id.job_id for order in orders]
    assert ids.count(LATE_ID) == late_starts


def test_a_late_gang_gets_its_turn() -> None:
    """Gangs had no turn: others went first for as long as they arrived."""
    harness = _limited_harness()
    harness.scheduler.add_job(job(step(URGENT_TASKS), priority=0))
    gang = step(3, is_gang=True)
    harness.scheduler.add_job(job(gang, job_id=LATE_ID, priority=2))
    for order in harness.plan():
        harness.answer(order, StartVerdict.ACCEPTED)
    harness.at_ms += STARVATION_MS + 1
    ids = [order.key.task_id.job_id for order in harness.plan()]
    assert ids.count(LATE_ID) == 3


def test_a_full_cluster_gives_the_link_to_urgent_work() -> None:
    harness = _harness_with_late_job(STARVATION_MS + 1)
    for worker in harness.scheduler.workers.values():
        full = worker.registration.capacity.processors_milli
        worker.reserved_processors_milli = full - 1000
    ids = {order.key.task_id.job_id for order in harness.plan()}
    assert LATE_ID not in ids


def test_what_waits_for_the_link_is_told() -> None:
    harness, orders = _harness_with_full_link(40)
    harness.scheduler.add_job(job(step(3), job_id=URGENT_ID, priority=3))
    harness.plan()
    waiting = harness.scheduler.create_report(harness.at_ms).waiting
    assert waiting == {'link': 40 - len(orders) + 3}


def test_stops_never_wait_for_the_link() -> None:
    harness, orders = _harness_with_full_link(40)
    stops = harness.scheduler.cancel(orders[0].key.task_id.job_id)
    assert all(isinstance(stop, StopOrder) for stop in stops)
    assert len(stops) == len(orders)


@pytest.mark.parametrize(
    ('width', 'placed', 'later'), [(20, 20, 0), (TOTAL_SLOTS + 1, 0, 3)]
)
def test_a_gang_is_placed_as_a_whole_or_takes_no_room(
    width: int, placed: int, later: int
) -> None:
    harness = _limited_harness()
    harness.scheduler.add_job(job(step(width, is_gang=True)))
    assert len(harness.plan()) == placed
    harness.scheduler.add_job(job(step(3), job_id=URGENT_ID, priority=3))
    assert len(harness.plan()) == later
