"""Latency-critical images get workers of their own where there are many."""

from collections.abc import Mapping
from unittest.mock import patch

import pytest

from bench import placing_replay
from gentianpulley.cluster.image_separation import (
    PACKED_IMAGE_COST,
    Separation,
    SeparationLoad,
    decide_separation,
)
from gentianpulley.cluster.plan_metrics import PlanMetrics
from gentianpulley.cluster.worker_protocol import RunningRow
from gentianpulley.counters import create_counters
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

SMALL_WORKER = Resources(16_000, 64_000)
DECIDE = 'gentianpulley.cluster.image_separation.decide_separation'
SEPARATE = Separation(1, 1)
LARGEST_STEP = 0.02


def _serving(image: str, count: int, **changes: object) -> StepSpec:
    fields: dict[str, object] = {
        'image': image,
        'is_endless': True,
        'tail_target_ms': 50,
        'estimated_ms': 0,
        'resources': Resources(3200, 1000),
    }
    return step(count, **{**fields, **changes})


def _harness(workers: int) -> SchedulerHarness:
    harness = create_harness()
    for number in range(workers):
        harness.add_worker(f'w{number}', capacity=SMALL_WORKER)
    return harness


def _start(harness: SchedulerHarness, *steps: StepSpec) -> list[str]:
    """Start a job of each step in one plan; returns the workers used."""
    for number, spec in enumerate(steps):
        name = f'{len(harness.scheduler.jobs) + number:016x}'
        harness.scheduler.add_job(job(spec, job_id=name))
    return [order.worker_id for order in harness.start_all()]


@pytest.mark.parametrize('workers', [2, 24, 34, 40])
@pytest.mark.parametrize('images', [1, 2, 10, 30])
def test_small_deployments_are_placed_as_before(
    workers: int, images: int
) -> None:
    """Guards against separation on 24 to 34 workers.

    There it lost a tenth of the worth (docs/decisions/sharing.md).
    """
    load = SeparationLoad(workers, workers, images)
    decided = decide_separation(load)
    assert decided.other_image_cost == PACKED_IMAGE_COST
    assert not decided.violation_cost


def test_separation_is_continuous_and_complete_on_a_large_deployment() -> None:
    """Guards against placements that alternate at a threshold."""
    costs = [
        decide_separation(SeparationLoad(count, count // 2, 10))
        for count in range(1, 247)
    ]
    assert costs[-1] == SEPARATE
    steps = [
        later.other_image_cost - earlier.other_image_cost
        for earlier, later in zip(costs, costs[1:], strict=False)
    ]
    assert steps == list(map(abs, steps))
    assert max(steps) < LARGEST_STEP


@pytest.mark.parametrize(
    ('free_workers', 'idle_ms'), [(0, 0), (12, 0), (200, 300_000)]
)
def test_images_are_packed_without_free_workers_or_best_effort_work(
    free_workers: int, idle_ms: int
) -> None:
    """Guards against using the last free workers, or any for nothing."""
    load = SeparationLoad(246, free_workers, 10, idle_ms)
    decided = decide_separation(load)
    assert decided.other_image_cost == PACKED_IMAGE_COST


@pytest.mark.proof('image-separation')
def test_images_share_no_worker_on_a_large_deployment() -> None:
    """Guards against workers closed to images that harm any of several.

    On 246 workers a fifth of the best-effort runs had to be moved.
    """
    harness = _harness(200)
    used = _start(harness, _serving('a', 2), _serving('b', 2))
    assert used == [used[0], used[0], used[2], used[2]]
    assert used[0] != used[2]


def test_separation_keeps_nobody_waiting_when_workers_are_lost() -> None:
    """Guards against a restart that waits for a worker of its own image.

    Of three workers for as many images, two are left.
    """
    harness = _harness(3)
    with patch(DECIDE, return_value=SEPARATE):
        used = _start(harness, *(_serving(image, 3) for image in 'abc'))
        assert len(set(used)) == 3
        lost = harness.scheduler.workers[used[0]]
        rows = tuple(RunningRow(key, '', 0, 0) for key in lost.reservations)
        # Tasks that had just begun would be suspected of the loss.
        harness.at_ms += 1000
        harness.report_listing(used[0], rows)
        harness.scheduler.end_incarnation(used[0], harness.at_ms)
        restarted = harness.start_all()
    assert len(restarted) == 3
    assert {order.worker_id for order in restarted} == set(used[3:])


def test_a_lost_worker_costs_a_limited_step_one_task() -> None:
    """Guards against several tasks of a step with a limit on one worker.

    A task as large as a worker must still find one without any other task.
    """
    harness = _harness(60)
    with patch(DECIDE, return_value=SEPARATE):
        limited = _serving('a', 14, max_per_worker=1)
        used = _start(harness, limited, limited, _serving('b', 50))
        assert len(set(used[:14])) == 14
        assert len(set(used[:28])) == 14
        assert len(set(used)) == 24
        whole = step(36, resources=SMALL_WORKER)
        assert len(_start(harness, whole)) == 36


@pytest.mark.parametrize(('ranking', 'worker_id'), [(0, 'w0'), (1, 'w1')])
def test_best_effort_goes_where_it_adds_fewest_violations(
    ranking: float, worker_id: str
) -> None:
    """Guards against ranking by load alone on a large deployment.

    `w1` has the higher load, but no latency-critical task.
    """
    harness = _harness(1)
    with patch(DECIDE, return_value=Separation(ranking=ranking)):
        serving = _serving('a', 1)
        harness.scheduler.add_job(job(serving, job_id='1' * 16))
        (order,) = harness.start_all()
        row = RunningRow(order.key, '', 100, 30)
        harness.at_ms += 500
        harness.report_listing('w0', (row,))
        harness.add_worker('w1', capacity=SMALL_WORKER)
        busy = step(resources=Resources(4800, 1000), required_label='w1')
        harness.scheduler.workers['w1'].reserve(
            order.key._replace(run=99), busy, harness.at_ms
        )
        fill = step(
            fills_spare=True, image='f', resources=Resources(1800, 1000)
        )
        assert _start(harness, fill) == [worker_id]


class _Lines(EventLog):
    """Keeps the decisions that are logged."""

    def __init__(self) -> None:
        super().__init__()
        self.costs: list[int] = []

    def images_separated(self, metric_values: Mapping[str, int]) -> None:
        self.costs.append(metric_values['separation_cost_milli'])


def test_an_operator_sees_the_decision_once() -> None:
    """Guards against a decision that no metric or log line shows."""
    lines = _Lines()
    counters = create_counters()
    metrics = PlanMetrics(counters, lines)
    harness = _harness(200)
    _start(harness, _serving('a', 2))
    for _ in range(3):
        report = harness.scheduler.create_report(harness.at_ms)
        metrics.publish(report, [])
    assert lines.costs == [1000]
    page = counters.render()
    assert 'leader_separation_workers 200' in page


def test_a_replay_on_a_small_deployment_is_the_same_as_before() -> None:
    """Guards against any effect of either cost on 24 workers."""
    former, new = (
        placing_replay.play(24, 1, 1, decision)
        for _, decision in placing_replay.PLACEMENTS
    )
    assert (former.stops, former.over_ms, former.on_time) == (
        new.stops,
        new.over_ms,
        new.on_time,
    )
    assert former.critical_ms
