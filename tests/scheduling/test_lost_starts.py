"""A start without a reply does not keep its task from running for long."""

import pytest

from gentianpulley.cluster.worker_lifecycle import MAX_ORDER_DELAY_MS
from gentianpulley.cluster.worker_protocol import (
    RunningRow,
    StartOrder,
    StartVerdict,
)
from tests.scheduling.harness import (
    START_MS,
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)


def _create_harness_with_lost_start() -> tuple[SchedulerHarness, StartOrder]:
    """Return a long-running task whose start got no reply at first."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(is_endless=True, estimated_ms=0)))
    (order,) = harness.plan()
    assert harness.scheduler.claim_start_send(order, harness.at_ms)
    harness.answer(order, StartVerdict.LOST)
    return harness, order


@pytest.mark.parametrize(
    ('polled_after_ms', 'is_placed'),
    [
        pytest.param(MAX_ORDER_DELAY_MS, False, id='may still arrive'),
        pytest.param(MAX_ORDER_DELAY_MS + 1, True, id='has arrived'),
    ],
)
def test_a_run_that_began_long_ago_is_not_withheld_when_its_worker_restarts(
    polled_after_ms: int, *, is_placed: bool
) -> None:
    """The task used to wait for the worker to return, however long ago the
    start without a reply was sent."""
    harness, order = _create_harness_with_lost_start()
    row = RunningRow(order.key, '', 100, 0)
    harness.report_listing('w1', (row,))
    harness.at_ms += polled_after_ms
    harness.report_listing('w1', (row,))
    harness.add_worker('w2')
    harness.scheduler.end_incarnation('w1', harness.at_ms)
    assert bool(harness.plan()) is is_placed


@pytest.mark.parametrize('restarts', [1, 3])
def test_a_worker_that_never_answers_again_does_not_keep_a_late_start(
    restarts: int,
) -> None:
    """Each restart used to withhold the task anew, and without an answer of
    the restarted worker it waited forever."""
    harness, order = _create_harness_with_lost_start()
    harness.add_worker('w2')
    for number in range(restarts):
        harness.scheduler.update_worker(
            registration('w1', incarnation_ms=number + 2), harness.at_ms
        )
        harness.at_ms += 4000
        harness.scheduler.expire_leases(harness.at_ms)
        assert not harness.plan()
    harness.at_ms = START_MS + MAX_ORDER_DELAY_MS + TIMING.max_run_ms
    harness.scheduler.expire_leases(harness.at_ms)
    assert not harness.plan()
    harness.at_ms += 1
    harness.scheduler.expire_leases(harness.at_ms)
    (restart,) = harness.plan()
    assert restart.key.task_id == order.key.task_id
