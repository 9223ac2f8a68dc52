"""Each failed run is counted once, in whatever order workers list the runs."""

import pytest

from gentianpulley.cluster.worker_protocol import EndCause, RunKey
from gentianpulley.jobs.job import JobState
from gentianpulley.jobs.record import (
    decode_record,
    encode_record,
    create_record,
    restore_job,
)
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import create_harness, job, step

TASK = TaskId('a' * 16, 0, 0, 0)


@pytest.mark.parametrize(
    ('listed', 'failures'),
    [
        ((1, 2), 2),
        # A partitioned worker lists the older run after the newer one.
        ((2, 1), 2),
        # A worker lists an end again until it is acknowledged.
        ((1, 1), 1),
    ],
)
def test_each_failed_run_counts_once(
    listed: tuple[int, ...], failures: int
) -> None:
    harness = create_harness('w1', 'w2')
    harness.scheduler.add_job(job(step(), inherited=True))
    for number, run in enumerate(listed):
        worker_id = f'w{number % 2 + 1}'
        harness.end(worker_id, RunKey(TASK, run), EndCause.FAILED)
    assert harness.task(TASK).failures == failures


def test_a_job_fails_after_its_last_attempt() -> None:
    harness = create_harness('w1', 'w2', 'w3')
    harness.scheduler.add_job(job(step(), max_attempts=2))
    for _ in range(2):
        (order,) = harness.start_all()
        harness.end(order.worker_id, order.key, EndCause.FAILED)
    assert harness.scheduler.jobs['a' * 16].state is JobState.FAILED
    assert not harness.plan()


def test_failures_survive_a_change_of_the_leader() -> None:
    previous = create_harness('w1', 'w2')
    added = job(step(), max_attempts=3)
    previous.scheduler.add_job(added)
    for _ in range(2):
        (order,) = previous.start_all()
        previous.end(order.worker_id, order.key, EndCause.FAILED)
    record = decode_record(encode_record(create_record(added, 0)))
    reloaded = job(step(), max_attempts=3, inherited=True)
    restore_job(reloaded, record)
    harness = create_harness('w1', 'w2')
    harness.scheduler.add_job(reloaded)
    harness.end('w1', order.key, EndCause.FAILED)
    assert harness.task(TASK).failures == 2
    (last,) = harness.start_all()
    harness.end(last.worker_id, last.key, EndCause.FAILED)
    assert reloaded.state is JobState.FAILED


def test_endless_tasks_have_no_last_attempt() -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(is_endless=True), max_attempts=1))
    for _ in range(4):
        harness.at_ms += 10_000
        (order,) = harness.start_all()
        harness.end(order.worker_id, order.key, EndCause.FAILED)
    assert harness.scheduler.jobs['a' * 16].state is JobState.RUNNING
