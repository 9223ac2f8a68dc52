"""When a job has begun, and which ends of its runs count."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunningRow,
    StartVerdict,
)
from gentianpulley.jobs.job import JobState
from tests.scheduling.harness import JOB_ID, create_harness, job, step


@pytest.mark.parametrize(
    ('verdict', 'waiting'),
    [
        (StartVerdict.ACCEPTED, 0),
        (StartVerdict.LOST, 1),
        (StartVerdict.NOT_SENT, 1),
        (StartVerdict.NO_ROOM, 1),
        (StartVerdict.TOO_LATE, 1),
    ],
)
def test_a_job_waits_until_a_worker_has_begun_one_of_its_tasks(
    verdict: StartVerdict, waiting: int
) -> None:
    """Orders without an answer may take seconds: a day broke MIXED by them."""
    site = create_harness('w1')
    site.scheduler.add_job(job(step()))
    (order,) = site.plan()
    assert site.scheduler.count_unstarted_jobs() == 1
    site.answer(order, verdict)
    assert site.scheduler.count_unstarted_jobs() == waiting
    known = site.scheduler.jobs[JOB_ID]
    assert (known.state is JobState.QUEUED) is bool(waiting)


@pytest.mark.parametrize('is_ended', [True, False])
def test_a_job_has_begun_once_a_worker_lists_it(*, is_ended: bool) -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(2)))
    order, _ = site.plan()
    site.answer(order, StartVerdict.LOST)
    if is_ended:
        site.end('w1', order.key, EndCause.FAILED)
    else:
        site.report_listing('w1', (RunningRow(order.key, '', 10, 0),))
    assert site.scheduler.count_unstarted_jobs() == 0


def test_an_end_of_an_older_run_counts_while_its_task_waits() -> None:
    """It is acknowledged, so a start after it would run the task again."""
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(job(step()))
    (older,) = site.start_all()
    run = site.task(older.key.task_id)
    known = site.scheduler.jobs[JOB_ID]
    # A later run was ordered elsewhere and has been given back.
    run.run = older.key.run + 1
    known.steps[(0, 0)].requeue(run)
    site.end(older.worker_id, older.key)
    assert known.state is JobState.COMPLETED
    assert not site.plan()
