"""A gang of which one member cannot start is stopped as a whole.

Its members work only once all are there: the others would hold their room,
wait in vain and end alone.
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
    """Keeps the orders of one worker."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self.orders: list[Order] = []

    def send(self, order: Order) -> None:
        """Keep an order."""
        self.orders.append(order)

    def on_ends_acknowledged(self) -> None:
        """Do nothing."""

    def backlog(self) -> tuple[int, int]:
        """Hold nothing back."""
        return 0, 0

    def close(self) -> None:
        """Do nothing."""


def _starts() -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return the starts of a gang on two workers, all sent."""
    site = create_harness(*WORKERS)
    site.scheduler.add_job(job(step(MEMBERS, is_gang=True)))
    orders = site.plan()
    assert len(orders) == MEMBERS
    for order in orders:
        assert site.scheduler.claim_start_send(order, site.at_ms)
    return site, orders


def _stopped(site: SchedulerHarness) -> set[RunKey]:
    return {order.key for order in site.scheduler.stop_incomplete_gangs()}


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
    site, orders = _starts()
    refused = orders[0 if refused_first else -1]
    others = [order for order in orders if order is not refused]
    if not refused_first:
        _accept(site, others)
    site.answer(refused, verdict)
    if refused_first:
        _accept(site, others)
    left = {
        key
        for worker in site.scheduler.workers.values()
        for key in worker.reservations
    }
    assert left
    assert _stopped(site) == left
    assert not _stopped(site)


def _accept(site: SchedulerHarness, orders: list[StartOrder]) -> None:
    for order in orders:
        site.answer(order, StartVerdict.ACCEPTED)


def test_the_others_are_stopped_when_a_start_may_have_been_lost() -> None:
    """It is barred, so that the gang cannot become whole."""
    site, orders = _starts()
    site.answer(orders[0], StartVerdict.LOST)
    assert not _stopped(site)
    site.answer(orders[0], StartVerdict.NO_ROOM)
    others = {order.key for order in orders[1:]}
    assert _stopped(site) == others


def test_the_others_are_stopped_when_a_start_was_never_answered() -> None:
    site, orders = _starts()
    lost, *others = orders
    _accept(site, others)
    site.at_ms += AFTER_MS
    barred = site.report_listing(lost.worker_id)
    assert StopOrder(lost.worker_id, lost.key) in barred
    assert _stopped(site) == {
        order.key for order in others if order.worker_id != lost.worker_id
    }


def test_members_that_were_never_sent_wait_at_once() -> None:
    """No worker has to tell what became of them."""
    site = create_harness(*WORKERS)
    known = job(step(MEMBERS, is_gang=True))
    site.scheduler.add_job(known)
    refused, *others = site.plan()
    assert site.scheduler.claim_start_send(refused, site.at_ms)
    site.answer(refused, StartVerdict.NO_ROOM)
    assert not _stopped(site)
    assert len(known.steps[(0, 0)].waiting) == MEMBERS
    assert not any(
        site.scheduler.claim_start_send(order, site.at_ms) for order in others
    )


def test_the_gang_starts_again_under_a_new_number() -> None:
    site, orders = _starts()
    refused, *others = orders
    _accept(site, others)
    site.answer(refused, StartVerdict.NO_ROOM)
    _stopped(site)
    assert not site.plan()
    for order in others:
        site.end(order.worker_id, order.key, EndCause.STOPPED)
    site.at_ms += AFTER_MS
    again = site.plan()
    assert {order.key.run for order in again} == {refused.key.run + 1}
    assert len(again) == MEMBERS


def test_an_end_of_a_member_at_work_stops_nothing() -> None:
    """The workers end the others themselves."""
    site, orders = _starts()
    _accept(site, orders)
    site.end(orders[0].worker_id, orders[0].key, EndCause.FAILED)
    assert not _stopped(site)


def test_a_refused_start_of_no_gang_stops_nothing() -> None:
    site = create_harness(*WORKERS)
    site.scheduler.add_job(job(step(MEMBERS)))
    refused, *others = site.plan()
    _accept(site, others)
    site.answer(refused, StartVerdict.NO_ROOM)
    assert not _stopped(site)


def test_the_next_plan_sends_the_stops() -> None:
    site = create_harness()
    site.at_ms = now_ms()
    site.add_worker('w1')
    tenure = Leadership(now_ms() + AFTER_MS, now_ms() + AFTER_MS)
    office = SchedulerService(
        site.scheduler, tenure, create_counters(), EventLog()
    )
    sink = _Sink()
    office.attach('w1', sink)
    site.scheduler.add_job(job(step(2, is_gang=True)))
    refused, other = site.plan()
    for order in (refused, other):
        assert office.claim_start_send(order)
    office.on_start_reply(other, StartReply(StartVerdict.ACCEPTED))
    office.on_start_reply(refused, StartReply(StartVerdict.NO_ROOM))
    office.plan()
    assert sink.orders == [StopOrder('w1', other.key)]
