"""What ends by time alone is certain only while no other instance leads.

A leader that is cut off acts for seconds after it may have lost its key. Its
successor renews the leases of what runs, so they do not lapse.
"""

import pytest

from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from tests.scheduling.harness import (
    JOB_ID,
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    step,
)

TASK = TaskId(JOB_ID, 0, 0, 0)
LAPSE_MS = 2 * TIMING.lease_ms
ACTING_MS = 60_000


def _harness_with_lapsed_lease() -> SchedulerHarness:
    """Return a harness whose clock is past the lease of the worker's run."""
    harness = create_harness('w1')
    harness.at_ms = now_ms() - LAPSE_MS
    harness.add_worker('w1')
    harness.scheduler.add_job(job(step()))
    harness.start_all()
    harness.scheduler.poll_order(harness.scheduler.workers['w1'], 0)
    harness.at_ms += LAPSE_MS
    return harness


@pytest.mark.parametrize(
    ('exclusive_for_ms', 'phase'),
    [
        (ACTING_MS, TaskPhase.WAITING),
        (-LAPSE_MS + TIMING.lease_ms + 500, TaskPhase.WAITING),
        pytest.param(
            -LAPSE_MS + TIMING.lease_ms // 2,
            TaskPhase.PLACED,
            marks=pytest.mark.proof('lapse-certainty'),
        ),
    ],
)
def test_a_leader_that_may_have_a_successor_takes_no_lease_for_lapsed(
    exclusive_for_ms: int, phase: TaskPhase
) -> None:
    """A hundred tasks ran twice after a failure domain was cut off.

    The leader was in that domain, and its successor had adopted their runs.
    """
    harness = _harness_with_lapsed_lease()
    leadership = Leadership(
        harness.at_ms + ACTING_MS, harness.at_ms + exclusive_for_ms
    )
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    worker = harness.scheduler.workers['w1']
    worker.unresponsive_since_ms = harness.at_ms - LAPSE_MS
    service.plan()
    assert harness.task(TASK).phase is phase


@pytest.mark.parametrize(
    ('certain_for_ms', 'is_complete'), [(1000, True), (-1000, False)]
)
def test_a_wait_for_earlier_leaders_ends_only_while_this_one_is_certain(
    certain_for_ms: int, is_complete: bool
) -> None:
    harness = create_harness(roster=frozenset(('gone',)))
    scheduler = harness.scheduler
    over_ms = scheduler.term.handover_until_ms
    scheduler.mark_certain_until(over_ms + certain_for_ms)
    assert scheduler.is_handover_complete(over_ms + LAPSE_MS) is is_complete


def test_what_was_certain_stays_certain() -> None:
    harness = _harness_with_lapsed_lease()
    harness.scheduler.mark_certain_until(harness.at_ms)
    harness.at_ms += ACTING_MS
    harness.scheduler.expire_leases(harness.at_ms)
    assert harness.task(TASK).phase is TaskPhase.WAITING
