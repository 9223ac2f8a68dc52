"""A worker whose capacity shrinks amid starts is not overfilled."""

from dataclasses import replace
from typing import Final

import pytest

from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.timing import FOREVER
from gentianpulley.cluster.worker_protocol import StartOrder, StartVerdict
from gentianpulley.counters import create_counters
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    step,
)

WIDE: Final = Resources(64_000, 256_000, 0)
NARROW: Final = Resources(8000, 256_000, 0)
OTHER_ID: Final = 'b' * 16


def resize(
    harness: SchedulerHarness, capacity: Resources, worker_id: str = 'w1'
) -> None:
    """Let a worker declare another capacity."""
    known = harness.scheduler.workers[worker_id].registration
    entry = replace(known, capacity=capacity)
    harness.scheduler.update_worker(entry, harness.at_ms)


def send(harness: SchedulerHarness, order: StartOrder) -> bool:
    """Send a start unless it is withheld; return whether it was sent."""
    if harness.scheduler.claim_start_send(order, harness.at_ms):
        harness.answer(order, StartVerdict.ACCEPTED)
        return True
    harness.scheduler.withdraw_start(order)
    return False


@pytest.mark.proof('shrunk-queued')
@pytest.mark.parametrize(
    'capacity',
    [NARROW, Resources(64_000, 1500, 0), Resources(64_000, 1000, 0)],
    ids=['processors', 'memory', 'least memory'],
)
def test_a_start_that_waits_for_the_link_overfills_a_worker_that_has_shrunk(
    capacity: Resources,
) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(4)))
    orders = harness.plan()
    assert len(orders) == 4
    resize(harness, capacity)
    sent = [send(harness, order) for order in orders]
    assert sent == [False, False, False, True]
    assert not harness.plan()


@pytest.mark.proof('shrunk-queued')
def test_a_start_without_a_reply_is_repeated_after_its_worker_shrank() -> None:
    """It may not be there, and would then be one more."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(2)))
    first, second = harness.plan()
    assert send(harness, first)
    assert harness.scheduler.claim_start_send(second, harness.at_ms)
    harness.answer(second, StartVerdict.LOST)
    resize(harness, NARROW)
    assert not harness.scheduler.claim_start_send(second, harness.at_ms)
    assert not harness.scheduler.withdraw_start(second)


def test_what_runs_on_a_worker_that_has_shrunk_goes_on() -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(4, is_endless=True)))
    orders = harness.start_all()
    while len(orders) < 4:
        harness.at_ms += 10_000
        orders.extend(harness.start_all())
    resize(harness, NARROW)
    harness.scheduler.add_job(job(step(), job_id=OTHER_ID))
    assert not harness.plan()
    assert not harness.scheduler.plan_migrations(harness.at_ms)
    worker = harness.scheduler.workers['w1']
    assert not any(each.is_stopping for each in worker.reservations.values())


def test_a_worker_that_has_grown_again_is_not_used() -> None:
    harness = create_harness('w1')
    resize(harness, Resources(1000, 1000, 0))
    harness.scheduler.add_job(job(step(8)))
    assert not harness.plan()
    resize(harness, WIDE)
    assert len(harness.plan()) == 8


@pytest.mark.proof('shrunk-limits')
def test_best_effort_work_is_placed_by_the_capacity_before() -> None:
    """What a task of an image disturbs depends on its share of the worker."""
    harness = create_harness('w1')
    worker = harness.scheduler.workers['w1']
    worker.interference_limits_milli['image'] = 1000
    resize(harness, NARROW)
    assert not worker.interference_limits_milli


def test_a_gang_starts_in_part_where_a_worker_has_shrunk() -> None:
    """A member that cannot start any more makes the others stop."""
    harness = create_harness('w1', 'w2')
    resize(harness, Resources(8000, 256_000, 0))
    resize(harness, Resources(8000, 256_000, 0), 'w2')
    harness.scheduler.add_job(job(step(2, is_gang=True)))
    first, second = harness.plan()
    assert send(harness, first)
    resize(harness, Resources(4000, 256_000, 0), second.worker_id)
    assert not send(harness, second)
    (stop,) = harness.scheduler.stop_incomplete_gangs()
    assert stop.key == first.key


def test_a_later_sending_expires_before_an_earlier_one() -> None:
    """A refusal as too late proves that no sending is carried out any more.

    The task would run twice if an earlier one could be.
    """
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step()))
    (order,) = harness.plan()
    worker = harness.scheduler.workers['w1']
    at_ms = worker.clock.seen_at_ms
    service = SchedulerService(
        harness.scheduler,
        Leadership(at_ms + 10_000, at_ms + 10_000),
        create_counters(),
        EventLog(),
    )
    deadlines = [
        service.start_context(order, worker, until_ms).lease_deadline_worker_ms
        for until_ms in (FOREVER, at_ms + 2000, at_ms + 1000, at_ms + 4000)
    ]
    assert deadlines == sorted(deadlines)
    assert deadlines[-1] == worker.clock.seen_worker_ms + TIMING.lease_ms
