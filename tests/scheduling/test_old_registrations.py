"""A registration that was replaced is not in use again once it is read late.

A leader reads the directory in pages and then the changes since the first
page, so it may read an older state of a worker after a newer one.
"""

import pytest

from gentianpulley.cluster.worker_protocol import EndCause
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import (
    JOB_ID,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

TASK = TaskId(JOB_ID, 0, 0, 0)
CURRENT = 20
OLDER = 10
NEWER = 30


def _harness_with_run() -> SchedulerHarness:
    """Return a harness with a run on a worker registered at `CURRENT`."""
    harness = create_harness()
    harness.add_worker('w1', incarnation_ms=200, revision=CURRENT)
    harness.scheduler.add_job(job(step()))
    harness.start_all()
    return harness


@pytest.mark.parametrize(
    ('revision', 'incarnation_ms'),
    [
        pytest.param(OLDER, 200, marks=pytest.mark.proof('old-registrations')),
        (NEWER, 100),
    ],
)
def test_an_earlier_incarnation_does_not_end_the_current_one(
    revision: int, incarnation_ms: int
) -> None:
    """What ran on the worker was started elsewhere as well."""
    harness = _harness_with_run()
    harness.scheduler.update_worker(
        registration('w1', incarnation_ms=100, revision=revision),
        harness.at_ms,
    )
    worker = harness.scheduler.workers['w1']
    assert worker.registration.incarnation_ms == incarnation_ms


@pytest.mark.proof('old-registrations')
def test_an_old_entry_does_not_end_a_worker_adopted_without_one() -> None:
    """It listed its runs to a new leader, whose directory lagged behind."""
    harness = create_harness()
    harness.scheduler.add_job(job(step()))
    harness.add_worker('w1', incarnation_ms=200)
    harness.start_all()
    harness.scheduler.update_worker(
        registration('w1', incarnation_ms=100, revision=OLDER), harness.at_ms
    )
    adopted = harness.scheduler.workers['w1']
    assert adopted.registration.incarnation_ms == 200
    harness.scheduler.update_worker(
        registration('w1', incarnation_ms=200, revision=CURRENT), harness.at_ms
    )
    assert harness.scheduler.workers['w1'] is adopted
    assert adopted.registration.revision == CURRENT


@pytest.mark.proof('old-registrations')
def test_a_drain_that_has_begun_is_not_undone() -> None:
    harness = create_harness()
    harness.add_worker('w1', is_draining=True, revision=CURRENT)
    harness.scheduler.update_worker(
        registration('w1', revision=OLDER), harness.at_ms
    )
    harness.scheduler.add_job(job(step()))
    assert not harness.plan()


@pytest.mark.parametrize(
    ('revision', 'is_registered'),
    [
        pytest.param(
            OLDER, True, marks=pytest.mark.proof('departure-revision')
        ),
        (NEWER, False),
    ],
)
def test_a_worker_that_is_back_has_not_left(
    revision: int, is_registered: bool
) -> None:
    harness = _harness_with_run()
    scheduler = harness.scheduler
    scheduler.mark_deregistered('w1', harness.at_ms, revision)
    assert scheduler.workers['w1'].is_registered is is_registered
    key = next(iter(scheduler.workers['w1'].reservations))
    harness.end('w1', key, EndCause.DONE)
    assert harness.task(TASK).phase is TaskPhase.DONE
