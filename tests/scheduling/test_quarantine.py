"""Work for which only a quarantined worker has room."""

import pytest

from gentianpulley.cluster.worker import QUARANTINE_MS
from gentianpulley.cluster.run_tracker import UNREACHABLE_BACKOFF_MS
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    StartOrder,
    StartVerdict,
)
from gentianpulley.jobs.job import RESTART_DEADLINE_MS, TaskPhase
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    SchedulerHarness,
    create_harness,
    job,
    step,
)

TICK_MS = 100
LOST_BOUND_MS = 9000
"""Deployments count a long-running task as lost that has free capacity and
does not run nine seconds after its last run."""

IDLE_BOUND_MS = 3000
"""Deployments count a job as lost of which nothing runs for this time while
less than half of the capacity is in use."""

QUARTER = Resources(16_000, 1000)


def _full_harness() -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return two workers full of long-running tasks, and the runs on one."""
    harness = create_harness('w1', 'w2')
    endless = step(8, is_endless=True, resources=QUARTER)
    harness.scheduler.add_job(job(endless))
    started = harness.start_all()
    assert len(started) == 8
    return harness, [each for each in started if each.worker_id == 'w1']


def _fail(harness: SchedulerHarness, orders: list[StartOrder]) -> None:
    for order in orders:
        harness.end(order.worker_id, order.key, EndCause.FAILED)


def test_a_restart_takes_a_quarantined_worker_if_no_other_has_room() -> None:
    """Each later failure there used to prolong the quarantine."""
    harness, runs = _full_harness()
    _fail(harness, runs[:2])
    failed = harness.task(runs[0].key.task_id)
    later = {QUARANTINE_MS - TICK_MS: runs[2], 7000: runs[3]}
    for waited_ms in range(0, LOST_BOUND_MS, TICK_MS):
        if waited_ms in later:
            _fail(harness, [later[waited_ms]])
        harness.start_all()
        if failed.phase is TaskPhase.PLACED:
            return
        harness.at_ms += TICK_MS
    pytest.fail('the task does not run again')


@pytest.mark.parametrize(
    ('has_other_room', 'expected'), [(True, {'w3'}), (False, {'w1'})]
)
def test_a_quarantined_worker_is_the_last_choice(
    expected: set[str], *, has_other_room: bool
) -> None:
    harness, runs = _full_harness()
    _fail(harness, runs[:2])
    assert not harness.start_all()
    if has_other_room:
        harness.add_worker('w3')
    harness.at_ms += RESTART_DEADLINE_MS
    assert {order.worker_id for order in harness.start_all()} == expected


def test_a_job_runs_in_time_if_only_a_quarantined_worker_has_its_label() -> (
    None
):
    """The cluster is idle, so the job must not wait for the quarantine."""
    harness = create_harness('w1', 'w2')
    harness.add_worker('w3', labels=frozenset(('rare',)))
    failing = step(2, is_endless=True, required_label='rare')
    harness.scheduler.add_job(job(failing, job_id='b' * 16))
    _fail(harness, harness.start_all())
    harness.scheduler.cancel('b' * 16)
    harness.scheduler.add_job(job(step(1, required_label='rare')))
    delays_ms = range(0, IDLE_BOUND_MS, TICK_MS)
    started = []
    for _ in delays_ms:
        started.extend(harness.start_all())
        harness.at_ms += TICK_MS
    assert [order.worker_id for order in started] == ['w3']


def test_batch_work_stays_away_from_a_quarantined_worker() -> None:
    """The cluster is busy, and a failure there would use up an attempt."""
    harness, runs = _full_harness()
    _fail(harness, runs[:2])
    harness.scheduler.add_job(job(step(8), job_id='b' * 16))
    assert not harness.start_all()
    harness.at_ms += RESTART_DEADLINE_MS
    started = {order.key.task_id for order in harness.start_all()}
    assert started == {order.key.task_id for order in runs[:2]}
    harness.at_ms += RESTART_DEADLINE_MS - TICK_MS
    assert not harness.start_all()


@pytest.mark.parametrize(
    'verdict', [StartVerdict.UNHEALTHY, StartVerdict.NO_ROOM]
)
def test_a_refusal_in_quarantine_is_not_repeated_at_once(
    verdict: StartVerdict,
) -> None:
    harness, runs = _full_harness()
    _fail(harness, runs[:2])
    harness.start_all()
    harness.at_ms += RESTART_DEADLINE_MS
    refused = harness.plan()
    assert len(refused) == 2
    for order in refused:
        harness.answer(order, verdict)
    assert not harness.plan()
    harness.at_ms += UNREACHABLE_BACKOFF_MS
    assert harness.plan()
