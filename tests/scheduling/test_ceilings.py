"""No way of placing a task exceeds the ceiling of its customer."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

import pytest

from gentianpulley.cluster.customer_report import (
    create_customer_reports,
    customer_metrics,
)
from gentianpulley.cluster.customer_usage import CustomerUsage, remember_former
from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    RunningRow,
    StartOrder,
    StartVerdict,
)
from gentianpulley.counters import create_counters
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    TIMING,
    SchedulerHarness,
    create_harness,
    customer_job,
    job,
    step,
)

NAME: Final = 'c'
HELD_MILLI: Final = 16_000
HIGH_MILLI: Final = 200_000
LATER_MS: Final = 7000
HELD_ID: Final = '1' * 16
WAITING_ID: Final = '2' * 16
OTHER_ID: Final = '3' * 16
ENDLESS: Final = step(is_endless=True, estimated_ms=0)
FILLING: Final = step(fills_spare=True, checkpoints=True, estimated_ms=9000)
NARROW_LINK: Final = 10


def _limit(harness: SchedulerHarness, milli: int, mib: int = 0) -> None:
    ceiling = Resources(milli, mib)
    customer = Customer(NAME, ceiling=ceiling)
    harness.scheduler.replace_customers(Customers(1, {NAME: customer}))


def _add(harness: SchedulerHarness, spec: StepSpec, job_id: str) -> None:
    harness.scheduler.add_job(customer_job(NAME, spec, job_id=job_id))


def _harness(*worker_ids: str) -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return a harness on which the customer holds two tasks."""
    harness = create_harness(*worker_ids)
    _limit(harness, HIGH_MILLI)
    _add(harness, step(2), HELD_ID)
    return harness, harness.start_all()


def _reasons(harness: SchedulerHarness) -> dict[str, int]:
    return dict(harness.scheduler.create_report(harness.at_ms).waiting)


def _batch(harness: SchedulerHarness) -> None:
    _add(harness, step(), WAITING_ID)


def _best_effort(harness: SchedulerHarness) -> None:
    _add(harness, FILLING, WAITING_ID)


def _new_serving(harness: SchedulerHarness) -> None:
    _add(harness, ENDLESS, WAITING_ID)


def _overdue_first_start(harness: SchedulerHarness) -> None:
    _limit(harness, 1)
    _add(harness, ENDLESS, WAITING_ID)
    assert not harness.plan()
    harness.at_ms += LATER_MS


def _overdue_restart(harness: SchedulerHarness) -> None:
    _add(harness, ENDLESS, WAITING_ID)
    (order,) = harness.start_all()
    harness.end(order.worker_id, order.key, EndCause.FAILED)
    _limit(harness, 1)
    assert not harness.plan()
    harness.at_ms += LATER_MS


def _trial(harness: SchedulerHarness) -> None:
    """Let a task be suspected of the crash of its worker."""
    harness.add_worker('w2')
    spec = step(required_label='w2')
    other = replace(
        harness.scheduler.workers['w2'].registration,
        labels=frozenset(('w2',)),
    )
    harness.apply(other)
    _add(harness, spec, WAITING_ID)
    (order,) = harness.start_all()
    assert order.worker_id == 'w2'
    worker = harness.scheduler.workers['w2']
    harness.scheduler.mark_unresponsive(worker, harness.at_ms)
    harness.apply(replace(other, incarnation_ms=2))
    harness.at_ms += 10
    harness.report_listing('w2')
    assert harness.task(order.key.task_id).crashes


def _gang(harness: SchedulerHarness) -> None:
    _add(harness, step(2, is_gang=True), WAITING_ID)


@pytest.mark.proof('ceilings')
@pytest.mark.parametrize(
    ('prepare', 'room_milli', 'starts'),
    [
        (_batch, 0, 1),
        (_best_effort, 0, 1),
        (_new_serving, 0, 1),
        (_overdue_first_start, 0, 1),
        (_overdue_restart, 0, 1),
        (_trial, 0, 1),
        (_gang, 8000, 2),
    ],
)
def test_a_way_of_placing_exceeds_the_ceiling(
    prepare: Callable[[SchedulerHarness], None], room_milli: int, starts: int
) -> None:
    """Guards against starts above the ceiling, holds and blocked shapes."""
    harness, _ = _harness('w1')
    prepare(harness)
    _limit(harness, HELD_MILLI + room_milli)
    assert not harness.plan()
    assert _reasons(harness)[WaitReason.CEILING] == starts
    assert not harness.scheduler.create_report(harness.at_ms).held_count
    _limit(harness, HELD_MILLI + 8000 * starts)
    assert len(harness.plan()) == starts


@pytest.mark.proof('ceilings')
def test_a_task_that_the_link_has_held_up_exceeds_the_ceiling() -> None:
    harness = create_harness('w1', link_bytes_s=NARROW_LINK)
    _add(harness, step(), HELD_ID)
    harness.start_all()
    harness.scheduler.add_job(job(step(), job_id=OTHER_ID))
    _batch(harness)
    (other,) = harness.plan()
    assert other.key.task_id.job_id == OTHER_ID
    assert _reasons(harness) == {WaitReason.LINK_SATURATED: 1}
    harness.answer(other, StartVerdict.ACCEPTED)
    harness.at_ms += 1100
    _limit(harness, 8000)
    assert not harness.plan()
    _limit(harness, HELD_MILLI)
    assert len(harness.plan()) == 1


@pytest.mark.proof('ceilings')
def test_a_wide_step_exceeds_the_ceiling() -> None:
    harness = create_harness('w1')
    _limit(harness, 30_000)
    _add(harness, step(5), WAITING_ID)
    assert len(harness.plan()) == 3
    assert _reasons(harness) == {WaitReason.CEILING: 2}


@pytest.mark.parametrize(
    ('spec', 'starts'),
    [
        pytest.param(step(resources=Resources(9000, 1)), 1, id='too large'),
        pytest.param(step(2), 1, id='one after the other'),
        pytest.param(step(2, is_gang=True), 2, id='gang, one too many'),
        pytest.param(step(3, is_gang=True), 0, id='gang, two too many'),
    ],
)
def test_a_customer_without_runs_gets_one_task(
    spec: StepSpec, *, starts: int
) -> None:
    harness = create_harness('w1')
    _limit(harness, 8000)
    _add(harness, spec, WAITING_ID)
    assert len(harness.plan()) == starts


def test_the_ceiling_of_memory_counts_as_well() -> None:
    harness, _ = _harness('w1')
    _limit(harness, 0, mib=2500)
    _batch(harness)
    assert not harness.plan()


def test_a_blocked_customer_blocks_tasks_of_others() -> None:
    """Guards against recording a step at the ceiling as unplaceable."""
    harness, _ = _harness('w1')
    _limit(harness, HELD_MILLI)
    _batch(harness)
    harness.scheduler.add_job(job(step(), job_id=OTHER_ID))
    (order,) = harness.plan()
    assert order.key.task_id.job_id == OTHER_ID


def test_a_wait_for_the_ceiling_makes_a_step_accept_interference() -> None:
    """Guards against counting that wait as starvation."""
    harness, _ = _harness('w1')
    _limit(harness, HELD_MILLI)
    _batch(harness)
    for _ in range(3):
        assert not harness.plan()
        harness.at_ms += 1000
    waiting = harness.scheduler.jobs[WAITING_ID]
    assert waiting.idle_ms(harness.at_ms) <= 1000


def test_a_lowered_ceiling_stops_a_run() -> None:
    harness, orders = _harness('w1')
    _batch(harness)
    _limit(harness, 8000)
    assert not harness.plan()
    assert not harness.scheduler.workers['w1'].foreign_runs
    harness.end('w1', orders[0].key)
    assert not harness.plan()
    harness.end('w1', orders[1].key)
    assert len(harness.plan()) == 1


@pytest.mark.parametrize(('milli', 'moves'), [(HIGH_MILLI, 1), (4000, 0)])
def test_a_run_above_a_lowered_ceiling_migrates(
    milli: int, *, moves: int
) -> None:
    """Guards against a migration that ends a run which cannot start again."""
    harness = create_harness('w1')
    _limit(harness, HIGH_MILLI)
    _add(harness, FILLING, HELD_ID)
    (order,) = harness.start_all()
    worker = harness.scheduler.workers['w1']
    run = worker.reservations[order.key]
    run.throttled_since_ms = harness.at_ms
    harness.at_ms += LATER_MS
    harness.add_worker('w2')
    _limit(harness, milli)
    assert len(harness.scheduler.plan_migrations(harness.at_ms)) == moves


def _lose_start(harness: SchedulerHarness, order: StartOrder) -> None:
    harness.scheduler.claim_start_send(order, harness.at_ms)
    harness.answer(order, StartVerdict.LOST)


def _lose_worker(harness: SchedulerHarness, order: StartOrder) -> None:
    worker = harness.scheduler.workers[order.worker_id]
    harness.scheduler.mark_unresponsive(worker, harness.at_ms)


def _replace_incarnation(harness: SchedulerHarness, order: StartOrder) -> None:
    harness.scheduler.end_incarnation(order.worker_id, harness.at_ms)


def _replace_and_return(harness: SchedulerHarness, order: StartOrder) -> None:
    _replace_incarnation(harness, order)
    harness.register(order.worker_id, incarnation_ms=2)


def _cancel(harness: SchedulerHarness, order: StartOrder) -> None:
    harness.scheduler.cancel(HELD_ID)


def _answer(harness: SchedulerHarness, order: StartOrder) -> None:
    harness.answer(order, StartVerdict.ACCEPTED)


@pytest.mark.proof('ceilings')
@pytest.mark.parametrize(
    ('events', 'over_ms'),
    [
        pytest.param((_lose_start,), 0, id='lost start'),
        pytest.param((_answer, _lose_worker), 0, id='worker lost'),
        pytest.param(
            (_lose_start, _replace_incarnation),
            MAX_ORDER_DELAY_MS + TIMING.max_run_ms,
            id='incarnation replaced',
            marks=pytest.mark.proof('kept-usage'),
        ),
        pytest.param(
            (_lose_start, _replace_and_return), 0, id='next incarnation'
        ),
        pytest.param((_answer, _cancel), 0, id='job gone'),
    ],
)
def test_a_run_whose_end_is_uncertain_counts_no_longer(
    events: tuple[Callable[[SchedulerHarness, StartOrder], None], ...],
    over_ms: int,
) -> None:
    harness = create_harness('w1', 'w2')
    _limit(harness, 8000)
    _add(harness, step(), HELD_ID)
    (order,) = harness.plan()
    for happen in events:
        happen(harness, order)
    _batch(harness)
    harness.at_ms += 100
    assert not harness.plan()
    if over_ms:
        harness.at_ms += over_ms
        harness.scheduler.expire_leases(harness.at_ms)
        harness.report_listing('w2')
        harness.scheduler.cancel(HELD_ID)
        assert len(harness.plan()) == 1


@pytest.mark.proof('ceilings', 'unseen-usage')
def test_a_new_leader_ignores_what_it_has_not_seen() -> None:
    """Guards against new starts while inherited tasks may run unseen."""
    harness = create_harness('w2', roster=frozenset(('w1',)))
    _limit(harness, HELD_MILLI)
    steps = (step(2), step(3, after=(0,)))
    inherited = customer_job(NAME, *steps, job_id=HELD_ID, inherited=True)
    harness.scheduler.add_job(inherited)
    _batch(harness)
    assert not harness.plan()
    reasons = {WaitReason.CEILING: 1, WaitReason.INHERITED: 2}
    assert _reasons(harness) == reasons
    _limit(harness, HELD_MILLI + 8000)
    (order,) = harness.plan()
    assert order.key.task_id.job_id == WAITING_ID


@pytest.mark.proof('ceilings')
def test_an_adopted_run_counts_twice_or_not_at_all() -> None:
    harness = create_harness(roster=frozenset(('w1',)))
    _limit(harness, HELD_MILLI)
    inherited = customer_job(NAME, step(), job_id=HELD_ID, inherited=True)
    harness.scheduler.add_job(inherited)
    harness.register('w1')
    assert not harness.plan()
    (task,) = inherited.steps[(0, 0)].tasks
    key = RunKey(task.task_id, 1)
    harness.report_listing('w1', (RunningRow(key, '', 50, 0),))
    _add(harness, step(2), WAITING_ID)
    assert len(harness.plan()) == 1
    assert _reasons(harness) == {WaitReason.CEILING: 1}


def test_a_customer_that_left_the_cfg_has_no_ceiling_any_more() -> None:
    former = Customers(1, {NAME: Customer(NAME, 3, Resources(5, 0))})
    known = remember_former(former, Customers(2, {'d': Customer('d')}))
    assert known.version == 2
    assert known.by_name[NAME].ceiling == Resources(5, 0)


def test_the_leader_keeps_keys() -> None:
    customer = Customer(NAME, keys=frozenset(('secret',)))
    known = remember_former(Customers(), Customers(1, {NAME: customer}))
    assert not known.by_name[NAME].keys


def test_the_metrics_of_a_customer_show_a_key_or_break_the_format() -> None:
    name = 'say "c"'
    customer = Customer(name, ceiling=Resources(5, 6), keys=frozenset(('k9',)))
    usage = CustomerUsage()
    usage.replace_customers(Customers(1, {name: customer}))
    usage.add_run(name, Resources(3, 4, 1))
    counters = create_counters()
    for metric, amount in customer_metrics(
        create_customer_reports(usage)
    ).items():
        counters.set(f'leader_{metric}', amount)
    lines = counters.render()
    label = r'{customer="say \"c\""}'
    assert f'leader_customer_held_processors_milli{label} 3\n' in lines
    assert f'leader_customer_ceiling_memory_mib{label} 6\n' in lines
    assert 'k9' not in lines
