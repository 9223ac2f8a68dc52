"""A gang is stopped completely if one of its members cannot start.

Its members work only once all of them run: the others would hold their
capacity, wait in vain and end alone.
"""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.scheduler_service import (
    SchedulerService,
    OrderSink,
    Leadership,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.logs import EventLog
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

AFTER_MS = 5000
MEMBERS = 9
WORKERS = ('w1', 'w2')


class _Sink(OrderSink):
    """Records the orders sent to one worker."""

    def __init__(self) -> None:
        """Start empty."""
        self.orders: list[Order] = []

    def send(self, order: Order) -> None:
        """Record an order."""
        self.orders.append(order)

    def poll_soon(self) -> None:
        """Do nothing."""

    def backlog(self) -> tuple[int, int]:
        """Return an empty backlog."""
        return 0, 0

    def close(self) -> None:
        """Do nothing."""


def _create_sent_starts() -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return the starts of a gang on two workers, all sent."""
    harness = create_harness(*WORKERS)
    harness.scheduler.add_job(job(step(MEMBERS, is_gang=True)))
    orders = harness.plan()
    assert len(orders) == MEMBERS
    for order in orders:
        assert harness.scheduler.claim_start_send(order, harness.at_ms)
    return harness, orders


def _stop_incomplete(harness: SchedulerHarness) -> set[RunKey]:
    return {order.key for order in harness.scheduler.stop_incomplete_gangs()}


@pytest.mark.parametrize(
    'verdict',
    [
        StartVerdict.NO_ROOM,
        StartVerdict.NO_TICKET,
        StartVerdict.NOT_SENT,
        StartVerdict.UNHEALTHY,
        StartVerdict.INVALID,
        StartVerdict.OUTDATED,
        StartVerdict.TOO_LATE,
        StartVerdict.GONE,
    ],
)
@pytest.mark.parametrize('refused_first', [True, False])
def test_the_others_are_stopped_when_a_start_is_refused(
    verdict: StartVerdict, *, refused_first: bool
) -> None:
    harness, orders = _create_sent_starts()
    refused = orders[0 if refused_first else -1]
    others = [order for order in orders if order is not refused]
    if not refused_first:
        _accept(harness, others)
    harness.answer(refused, verdict)
    if refused_first:
        _accept(harness, others)
    remaining = {
        key
        for worker in harness.scheduler.workers.values()
        for key in worker.reservations
    }
    assert remaining
    assert _stop_incomplete(harness) == remaining
    assert not _stop_incomplete(harness)


def _accept(harness: SchedulerHarness, orders: list[StartOrder]) -> None:
    for order in orders:
        harness.answer(order, StartVerdict.ACCEPTED)


def test_the_others_are_stopped_when_a_start_may_have_been_lost() -> None:
    """A stop is sent for it, so that the gang cannot become complete."""
    harness, orders = _create_sent_starts()
    harness.answer(orders[0], StartVerdict.LOST)
    assert not _stop_incomplete(harness)
    harness.answer(orders[0], StartVerdict.NO_ROOM)
    others = {order.key for order in orders[1:]}
    assert _stop_incomplete(harness) == others


def test_the_others_are_stopped_when_a_start_was_never_answered() -> None:
    harness, orders = _create_sent_starts()
    lost, *others = orders
    _accept(harness, others)
    harness.at_ms += AFTER_MS
    stops = harness.report_listing(lost.worker_id)
    assert StopOrder(lost.worker_id, lost.key) in stops
    assert _stop_incomplete(harness) == {
        order.key for order in others if order.worker_id != lost.worker_id
    }


def test_members_that_were_never_sent_wait_at_once() -> None:
    """No worker has to report their outcome."""
    harness = create_harness(*WORKERS)
    added = job(step(MEMBERS, is_gang=True))
    harness.scheduler.add_job(added)
    refused, *others = harness.plan()
    assert harness.scheduler.claim_start_send(refused, harness.at_ms)
    harness.answer(refused, StartVerdict.NO_ROOM)
    assert not _stop_incomplete(harness)
    assert len(added.steps[(0, 0)].waiting) == MEMBERS
    assert not any(
        harness.scheduler.claim_start_send(order, harness.at_ms)
        for order in others
    )


def test_the_gang_starts_again_under_a_new_number() -> None:
    harness, orders = _create_sent_starts()
    refused, *others = orders
    _accept(harness, others)
    harness.answer(refused, StartVerdict.NO_ROOM)
    _stop_incomplete(harness)
    assert not harness.plan()
    for order in others:
        harness.end(order.worker_id, order.key, EndCause.STOPPED)
    harness.at_ms += AFTER_MS
    restarted = harness.plan()
    assert {order.key.run for order in restarted} == {refused.key.run + 1}
    assert len(restarted) == MEMBERS


def test_an_end_of_a_member_at_work_stops_nothing() -> None:
    """The workers end the others themselves."""
    harness, orders = _create_sent_starts()
    _accept(harness, orders)
    harness.end(orders[0].worker_id, orders[0].key, EndCause.FAILED)
    assert not _stop_incomplete(harness)


def test_a_refused_start_of_no_gang_stops_nothing() -> None:
    harness = create_harness(*WORKERS)
    harness.scheduler.add_job(job(step(MEMBERS)))
    refused, *others = harness.plan()
    _accept(harness, others)
    harness.answer(refused, StartVerdict.NO_ROOM)
    assert not _stop_incomplete(harness)


def test_the_next_plan_sends_the_stops() -> None:
    harness = create_harness()
    harness.at_ms = now_ms()
    harness.add_worker('w1')
    leadership = Leadership(now_ms() + AFTER_MS, now_ms() + AFTER_MS)
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    sink = _Sink()
    service.attach('w1', sink)
    harness.scheduler.add_job(job(step(2, is_gang=True)))
    refused, other = harness.plan()
    for order in (refused, other):
        assert service.claim_start_send(order)
    service.on_start_reply(other, StartReply(StartVerdict.ACCEPTED))
    service.on_start_reply(refused, StartReply(StartVerdict.NO_ROOM))
    service.plan()
    assert sink.orders == [StopOrder('w1', other.key)]
