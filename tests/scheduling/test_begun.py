"""When a job counts as started, and which ends of its runs count."""

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
    """Guards against a job that counts as started when its start is sent.

    An order may get no response for seconds. This violated MIXED in a
    scenario.
    """
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step()))
    (order,) = harness.plan()
    assert harness.scheduler.count_unstarted_jobs() == 1
    harness.answer(order, verdict)
    assert harness.scheduler.count_unstarted_jobs() == waiting
    added = harness.scheduler.jobs[JOB_ID]
    assert (added.state is JobState.QUEUED) is bool(waiting)


@pytest.mark.parametrize('is_ended', [True, False])
def test_a_job_has_begun_once_a_worker_lists_it(*, is_ended: bool) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(2)))
    order, _ = harness.plan()
    harness.answer(order, StartVerdict.LOST)
    if is_ended:
        harness.end('w1', order.key, EndCause.FAILED)
    else:
        harness.report_listing('w1', (RunningRow(order.key, '', 10, 0),))
    assert harness.scheduler.count_unstarted_jobs() == 0


def test_an_end_of_an_older_run_counts_while_its_task_waits() -> None:
    """The end is acknowledged, so a later start would run the task again."""
    harness = create_harness('w1', 'w2')
    harness.scheduler.add_job(job(step()))
    (older,) = harness.start_all()
    run = harness.task(older.key.task_id)
    added = harness.scheduler.jobs[JOB_ID]
    # A later run was ordered on another worker and has been requeued.
    run.run = older.key.run + 1
    added.steps[(0, 0)].requeue(run)
    harness.end(older.worker_id, older.key)
    assert added.state is JobState.COMPLETED
    assert not harness.plan()
