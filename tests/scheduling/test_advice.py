"""What the advice service is asked, and how long its answers hold."""

import pytest

from gentianpulley.cluster.advice import MAX_WORKERS_PER_QUERY, Permit
from gentianpulley.cluster.worker_protocol import StartVerdict
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.spec import AdvicePolicy
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    JOB_ID,
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

POLICY = AdvicePolicy(decide_ms=20, each_ms=1, valid_ms=2000)
WHOLE = Resources(64_000, 1000)


def _advised(count: int, job_id: str = JOB_ID, priority: int = 2) -> Job:
    """Return a job of one step whose tasks fill a worker each."""
    spec = job(
        step(count, resources=WHOLE), job_id=job_id, priority=priority
    ).spec
    policy = spec.policy
    advised = type(policy)(
        policy.queue,
        policy.service,
        priority,
        policy.max_attempts,
        policy.stretch,
        policy.target_latency_ms,
        POLICY,
    )
    return create_job(spec.with_policy(advised), is_inherited=False)


def _answer(site: SchedulerHarness, *allowed: str) -> tuple[str, ...]:
    """Ask what there is to ask; returns the workers that were named."""
    question = site.scheduler.next_advice_query(site.at_ms)
    if question is None:
        return ()
    permits = [
        Permit(worker_id, f'ticket-{worker_id}')
        for worker_id in allowed
        if worker_id in question.worker_ids
    ]
    site.scheduler.store_advice(question, permits, site.at_ms)
    return question.worker_ids


def test_nothing_starts_without_a_ticket() -> None:
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(_advised(1))
    assert not site.plan()
    assert sorted(_answer(site, 'w2')) == ['w1', 'w2']
    (order,) = site.plan()
    assert (order.worker_id, order.ticket) == ('w2', 'ticket-w2')


def test_a_step_that_no_worker_may_run_is_asked_about_once() -> None:
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(_advised(1))
    assert _answer(site)
    site.at_ms += 10_000
    assert not _answer(site)
    assert not site.plan()


def test_only_workers_with_room_are_asked_about() -> None:
    site = create_harness('w1', 'w2')
    site.scheduler.add_job(job(step(resources=WHOLE), job_id='b' * 16))
    (other,) = site.start_all()
    site.scheduler.add_job(_advised(2))
    assert other.worker_id not in _answer(site, 'w1', 'w2')
    assert not _answer(site)


def test_a_question_names_no_more_workers_than_are_reckoned_with() -> None:
    site = create_harness(*(f'w{number}' for number in range(40)))
    site.scheduler.add_job(_advised(40))
    assert len(_answer(site)) == MAX_WORKERS_PER_QUERY
    assert len(_answer(site)) == 40 - MAX_WORKERS_PER_QUERY
    assert not _answer(site)


def test_the_more_urgent_step_is_asked_about_first() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(_advised(1, priority=2))
    site.scheduler.add_job(_advised(1, 'b' * 16, priority=0))
    question = site.scheduler.next_advice_query(site.at_ms)
    assert question is not None
    assert question.step_id.job_id == 'b' * 16


@pytest.mark.parametrize(
    ('later_ms', 'is_used'), [(0, True), (1500, True), (1800, False)]
)
def test_a_ticket_ends(later_ms: int, *, is_used: bool) -> None:
    site = create_harness('w1')
    site.scheduler.add_job(_advised(1))
    _answer(site, 'w1')
    site.at_ms += later_ms
    assert bool(site.scheduler.next_advice_query(site.at_ms)) is not is_used
    assert bool(site.plan()) is is_used


def test_a_refused_ticket_is_asked_for_again() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(_advised(1))
    _answer(site, 'w1')
    (order,) = site.plan()
    site.answer(order, StartVerdict.NO_TICKET)
    assert not site.plan()
    assert _answer(site, 'w1') == ('w1',)
    assert site.plan()


def test_the_next_life_of_a_worker_needs_another_ticket() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(_advised(1))
    _answer(site, 'w1')
    site.scheduler.update_worker(
        registration('w1', incarnation_ms=2), site.at_ms
    )
    site.report_listing('w1')
    assert not site.plan()
    assert _answer(site, 'w1') == ('w1',)


def test_answers_are_forgotten_with_their_job() -> None:
    site = create_harness('w1')
    added = _advised(1)
    site.scheduler.add_job(added)
    _answer(site, 'w1')
    worker = site.scheduler.workers['w1']
    step_id = added.steps[(0, 0)].step_id
    assert site.scheduler.tickets.ticket(step_id, worker, site.at_ms)
    site.scheduler.cancel(step_id.job_id)
    site.scheduler.changed_jobs()
    assert not site.scheduler.tickets.ticket(step_id, worker, site.at_ms)
