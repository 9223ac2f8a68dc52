"""Handling of starts in flight to workers that no longer accept new runs."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    StartOrder,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.run_tracker import UNCONFIRMED_START_TIMEOUT_MS
from tests.scheduling.harness import (
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

MARGIN_MS = 100
CLOSED_DOMAINS = frozenset(('a',))


def _order_start(harness: SchedulerHarness) -> StartOrder:
    harness.scheduler.add_job(job(step()))
    (order,) = harness.plan()
    return order


def _close(harness: SchedulerHarness, *, drains: bool) -> None:
    """Drain the worker, or close its failure domain."""
    if drains:
        leaving = registration('w1', is_draining=True, drain_remaining_ms=2000)
        harness.scheduler.update_worker(leaving, harness.at_ms)
    else:
        harness.scheduler.closed_domains = CLOSED_DOMAINS


@pytest.mark.parametrize('drains', [True, False])
def test_a_start_without_an_answer_was_sent_again_to_a_worker_that_drained(
    *, drains: bool
) -> None:
    """The run used to start two seconds after the worker had announced that it
    drains."""
    harness = create_harness('w1')
    order = _order_start(harness)
    assert harness.scheduler.claim_start_send(order, harness.at_ms)
    (resent,) = harness.answer(order, StartVerdict.LOST)
    _close(harness, drains=drains)
    assert isinstance(resent, StartOrder)
    assert not harness.scheduler.claim_start_send(resent, harness.at_ms)
    assert not harness.scheduler.withdraw_start(resent)
    harness.at_ms += UNCONFIRMED_START_TIMEOUT_MS + MARGIN_MS
    (stop,) = harness.report_listing('w1')
    assert isinstance(stop, StopOrder)
    assert stop.key == order.key


@pytest.mark.parametrize('drains', [True, False])
def test_a_start_that_was_not_sent_before_its_worker_closed_goes_elsewhere(
    *, drains: bool
) -> None:
    harness = create_harness('w1')
    order = _order_start(harness)
    _close(harness, drains=drains)
    assert not harness.scheduler.claim_start_send(order, harness.at_ms)
    assert harness.scheduler.withdraw_start(order)
    harness.add_worker('w2', failure_domain='b')
    (elsewhere,) = harness.plan()
    assert elsewhere.worker_id == 'w2'
