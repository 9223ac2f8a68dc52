"""Customers get starts by their weights when there is too little capacity."""

from typing import Final

import pytest

from gentianpulley.cluster.customer_shares import ArrivalRates
from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    START_MS,
    SchedulerHarness,
    create_harness,
    customer_job,
    job,
    step,
)
from tests.scheduling.share_replay import Demand, ShareReplay

SEEDS: Final = range(6)
DURATION_MS: Final = 12_000
RETURN_MS: Final = 6000
FLOOD: Final = Demand('flood', 1, 12)
MEMORY_ONLY: Final = Resources(0, 64_000)


def _harness(**weights: int) -> SchedulerHarness:
    """Return a harness with one worker, which has room for eight tasks."""
    harness = create_harness('w1')
    known = {name: Customer(name, each) for name, each in weights.items()}
    harness.scheduler.replace_customers(Customers(1, known))
    return harness


def _add(
    harness: SchedulerHarness,
    name: str,
    spec: StepSpec,
    at_ms: int = 0,
) -> None:
    job_id = f'{len(harness.scheduler.jobs):016x}'
    added = customer_job(
        name, spec, job_id=job_id, submitted_ms=START_MS + at_ms
    )
    harness.scheduler.add_job(added)


def _started(harness: SchedulerHarness) -> str:
    """Return the customers of the starts of one plan, in their order.

    A dash stands for a job without a customer.
    """
    names = []
    for order in harness.plan():
        started = harness.scheduler.jobs[order.key.task_id.job_id]
        names.append(started.spec.customer or '-')
    return ''.join(names)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_customer_waits_behind_the_flood_of_another(seed: int) -> None:
    """Either shares or the mark of excess is enough against this."""
    demands = (FLOOD, Demand('steady', 3, 2))
    before = ShareReplay(seed, demands).play(DURATION_MS, has_shares=False)
    after = ShareReplay(seed, demands).play(DURATION_MS, has_shares=True)
    assert before.mean_wait_ms('steady') > 2000
    assert after.mean_wait_ms('steady') < 500


@pytest.mark.proof('shares')
@pytest.mark.parametrize('seed', SEEDS)
def test_floods_are_not_served_by_weight(seed: int) -> None:
    demands = (FLOOD, Demand('heavy', 3, 12))
    before = ShareReplay(seed, demands, 2000).play(
        DURATION_MS, has_shares=False
    )
    after = ShareReplay(seed, demands, 2000).play(DURATION_MS, has_shares=True)
    assert before.share_of('heavy') < after.share_of('heavy')
    assert after.share_of('heavy') == pytest.approx(0.75, abs=0.03)


@pytest.mark.proof('shares')
@pytest.mark.parametrize('seed', SEEDS)
def test_one_that_returns_has_saved_up_or_waits_behind_a_flood(
    seed: int,
) -> None:
    """Guards against shares by past use, and against arrival order."""
    few = (FLOOD, Demand('back', 2, 1.5, RETURN_MS))
    many = (FLOOD, Demand('back', 1, 12, RETURN_MS))
    before = ShareReplay(seed, few).play(DURATION_MS, has_shares=False)
    after = ShareReplay(seed, few).play(DURATION_MS, has_shares=True)
    assert before.mean_wait_ms('back') > 1500
    assert after.mean_wait_ms('back') < 500
    flood = ShareReplay(seed, many, RETURN_MS + 1000).play(
        DURATION_MS, has_shares=True
    )
    assert flood.share_of('back') == pytest.approx(0.5, abs=0.03)


@pytest.mark.proof('shares')
def test_a_wide_step_takes_all_at_once() -> None:
    """Guards against shares that count only what ran before the plan."""
    harness = _harness(a=1, b=3)
    _add(harness, 'a', step(20))
    _add(harness, 'b', step(20), at_ms=1)
    started = _started(harness)
    assert (started.count('a'), started.count('b')) == (2, 6)
    assert started.startswith('abbb')


def test_what_one_does_not_use_is_left_free() -> None:
    harness = _harness(a=1, b=3)
    _add(harness, 'a', step(20))
    _add(harness, 'b', step(1), at_ms=1)
    started = _started(harness)
    assert (started.count('a'), started.count('b')) == (7, 1)


def test_tasks_without_processors_are_shared_by_processors() -> None:
    harness = _harness(a=1, b=1)
    _add(harness, 'a', step(1, resources=Resources(8000, 1)))
    assert _started(harness) == 'a'
    _add(harness, 'b', step(3, resources=MEMORY_ONLY), at_ms=1)
    _add(harness, 'a', step(3, resources=MEMORY_ONLY), at_ms=2)
    assert _started(harness) == 'bab'


@pytest.mark.parametrize('place', range(3))
def test_shares_move_a_job_without_a_customer(place: int) -> None:
    harness = _harness(a=1, b=9)
    for number in range(3):
        if number == place:
            harness.scheduler.add_job(
                job(step(2), job_id='f' * 16, submitted_ms=START_MS + number)
            )
        else:
            _add(harness, 'a', step(2), at_ms=number)
    _add(harness, 'b', step(2), at_ms=4)
    started = _started(harness)
    assert started.index('--') == 2 * place
    assert started.count('b') == 2


@pytest.mark.proof('excess')
def test_excess_goes_before_a_job_of_its_priority() -> None:
    harness = _harness(a=1)
    for number in range(4):
        _add(harness, 'a', step(2), at_ms=number)
    harness.scheduler.add_job(
        job(step(2), job_id='f' * 16, submitted_ms=START_MS + 900)
    )
    assert _started(harness) == 'aaaa--aa'


def test_excess_goes_after_a_lower_priority() -> None:
    harness = _harness(a=1)
    for number in range(4):
        _add(harness, 'a', step(2), at_ms=number)
    harness.scheduler.add_job(job(step(2), job_id='f' * 16, priority=1))
    assert _started(harness) == 'aaaaaaaa'


@pytest.mark.proof('excess')
@pytest.mark.parametrize(
    ('weight', 'submitted_ms', 'excess'),
    [
        (1, (0, 0, 0, 0), (False, False, True, True)),
        (2, (0, 0, 0, 0, 0), (False,) * 4 + (True,)),
        (1, (0, 0, 0, 1000), (False, False, True, False)),
        (1, (0, 0, 60_000, 60_000, 60_000), (False,) * 4 + (True,)),
        (0, (0, 0, 0), (False, False, True)),
    ],
)
def test_excess_is_more_or_less_than_weight_jobs_a_second(
    weight: int, submitted_ms: tuple[int, ...], excess: tuple[bool, ...]
) -> None:
    usage = CustomerUsage()
    usage.replace_customers(Customers(1, {'a': Customer('a', weight)}))
    rates = ArrivalRates()
    jobs = [customer_job('a', step(), submitted_ms=at) for at in submitted_ms]
    for each in jobs:
        rates.add_job(each)
    rates.mark_excess(usage, EventLog())
    assert tuple(each.is_excess for each in jobs) == excess


def test_excess_depends_on_the_order_in_which_a_new_leader_loads() -> None:
    usage = CustomerUsage()
    usage.replace_customers(Customers(1, {'a': Customer('a')}))
    rates = ArrivalRates()
    jobs = [customer_job('a', step(), submitted_ms=at) for at in range(4)]
    for each in reversed(jobs):
        rates.add_job(each)
    rates.mark_excess(usage, EventLog())
    assert [each.is_excess for each in jobs] == [False, False, True, True]


def test_a_job_of_an_unknown_customer_is_excess() -> None:
    harness = _harness()
    for _ in range(5):
        _add(harness, 'a', step(1))
    harness.plan()
    assert not any(each.is_excess for each in harness.scheduler.jobs.values())


def test_a_gang_is_divided_or_blocks_others() -> None:
    harness = _harness(a=1, b=1)
    _add(harness, 'a', step(9, is_gang=True))
    _add(harness, 'a', step(4, is_gang=True), at_ms=1)
    _add(harness, 'b', step(4), at_ms=2)
    assert ''.join(sorted(_started(harness))) == 'aaaabbbb'
