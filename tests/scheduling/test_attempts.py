"""Failed runs are counted once each, in whatever order workers list them."""

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
        # A worker behind a cut lists the older run after the newer one.
        ((2, 1), 2),
        # A worker lists an end again until it is acknowledged.
        ((1, 1), 1),
    ],
)
def test_each_failed_run_counts_once(
    listed: tuple[int, ...], failures: int
) -> None:
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(job(step(), inherited=True))
    for number, run in enumerate(listed):
        worker_id = f'w{number % 2 + 1}'
        site.end(worker_id, RunKey(TASK, run), EndCause.FAILED)
    assert site.task(TASK).failures == failures


def test_a_job_fails_after_its_last_attempt() -> None:
    site = create_harness('w1', 'w2', 'w3')
    site.scheduler.add_job(job(step(), max_attempts=2))
    for _ in range(2):
        (order,) = site.start_all()
        site.end(order.worker_id, order.key, EndCause.FAILED)
    assert site.scheduler.jobs['a' * 16].state is JobState.FAILED
    assert not site.plan()


def test_failures_survive_a_change_of_the_leader() -> None:
    former = create_harness('w1', 'w2')
    known = job(step(), max_attempts=3)
    former.scheduler.add_job(known)
    for _ in range(2):
        (order,) = former.start_all()
        former.end(order.worker_id, order.key, EndCause.FAILED)
    record = decode_record(encode_record(create_record(known, 0)))
    successor = job(step(), max_attempts=3, inherited=True)
    restore_job(successor, record)
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(successor)
    site.end('w1', order.key, EndCause.FAILED)
    assert site.task(TASK).failures == 2
    (last,) = site.start_all()
    site.end(last.worker_id, last.key, EndCause.FAILED)
    assert successor.state is JobState.FAILED


def test_endless_tasks_have_no_last_attempt() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(is_endless=True), max_attempts=1))
    for _ in range(4):
        site.at_ms += 10_000
        (order,) = site.start_all()
        site.end(order.worker_id, order.key, EndCause.FAILED)
    assert site.scheduler.jobs['a' * 16].state is JobState.RUNNING
