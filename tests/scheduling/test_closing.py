"""What becomes of starts on their way to workers that close to new runs."""

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

SOON_MS = 100
DOMAINS = frozenset(('a',))


def _ordered(site: SchedulerHarness) -> StartOrder:
    site.scheduler.add_job(job(step()))
    (order,) = site.plan()
    return order


def _close(site: SchedulerHarness, *, drains: bool) -> None:
    """Let the worker drain, or close its failure domain."""
    if drains:
        leaving = registration('w1', is_draining=True, drain_remaining_ms=2000)
        site.scheduler.update_worker(leaving, site.at_ms)
    else:
        site.scheduler.closed_domains = DOMAINS


@pytest.mark.parametrize('drains', [True, False])
def test_a_start_without_an_answer_was_sent_again_to_a_worker_that_drained(
    *, drains: bool
) -> None:
    """It began two seconds after the worker had said that it leaves."""
    site = create_harness('w1')
    order = _ordered(site)
    assert site.scheduler.claim_start_send(order, site.at_ms)
    (again,) = site.answer(order, StartVerdict.LOST)
    _close(site, drains=drains)
    assert isinstance(again, StartOrder)
    assert not site.scheduler.claim_start_send(again, site.at_ms)
    assert not site.scheduler.withdraw_start(again)
    site.at_ms += UNCONFIRMED_START_TIMEOUT_MS + SOON_MS
    (stop,) = site.report_listing('w1')
    assert isinstance(stop, StopOrder)
    assert stop.key == order.key


@pytest.mark.parametrize('drains', [True, False])
def test_a_start_that_was_not_sent_before_its_worker_closed_goes_elsewhere(
    *, drains: bool
) -> None:
    site = create_harness('w1')
    order = _ordered(site)
    _close(site, drains=drains)
    assert not site.scheduler.claim_start_send(order, site.at_ms)
    assert site.scheduler.withdraw_start(order)
    site.add_worker('w2', failure_domain='b')
    (elsewhere,) = site.plan()
    assert elsewhere.worker_id == 'w2'
