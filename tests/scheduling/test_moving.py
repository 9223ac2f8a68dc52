"""Best-effort tasks migrate from workers where they are throttled."""

import pytest

from gentianpulley.cluster.task_placement import (
    PlacementContext,
    eligible_workers,
)
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    RunningRow,
    StartOrder,
    StopOrder,
)
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

SERVING = step(
    image='serves', is_endless=True, tail_target_ms=50, estimated_ms=0
)


def _best_effort(**changes: object) -> StepSpec:
    defaults: dict[str, object] = {
        'image': 'fill',
        'fills_spare': True,
        'checkpoints': True,
        'estimated_ms': 9000,
        'resources': Resources(9000, 1000),
    }
    return step(1, **{**defaults, **changes})


def _harness_with_interference(
    best_effort: StepSpec,
) -> tuple[SchedulerHarness, StartOrder]:
    """Return a harness on which a best-effort task causes interference."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(best_effort, job_id='2' * 16))
    (fill,) = harness.start_all()
    harness.scheduler.add_job(job(SERVING, job_id='1' * 16))
    (serving,) = harness.start_all()
    for _ in range(40):
        harness.scheduler.interference.observe('serves', 10, {})
        harness.scheduler.interference.observe('serves', 200, {'fill': 0.15})
    for percent in (10, 11, 12):
        harness.at_ms += 600
        rows = (
            RunningRow(fill.key, '', percent, 9000),
            RunningRow(serving.key, '', 100, 400),
        )
        harness.report_listing('w1', rows)
    return harness, fill


def _migrations(harness: SchedulerHarness) -> list[StopOrder]:
    return harness.scheduler.plan_migrations(harness.at_ms)


def test_a_slowed_task_moves_to_a_harmless_place_with_its_progress() -> None:
    harness, fill = _harness_with_interference(_best_effort())
    harness.add_worker('w2')
    assert _migrations(harness) == [StopOrder('w1', fill.key)]
    harness.end('w1', fill.key, EndCause.STOPPED, 'saved')
    (again,) = harness.plan()
    assert (again.worker_id, again.checkpoint) == ('w2', 'saved')


def test_it_stays_while_there_is_no_better_place() -> None:
    harness, _ = _harness_with_interference(_best_effort())
    assert not _migrations(harness)


def test_on_a_busy_site_it_gives_up_its_place() -> None:
    harness, fill = _harness_with_interference(_best_effort())
    full = step(1, resources=Resources(40_000, 1000))
    harness.scheduler.add_job(job(full, job_id='3' * 16))
    harness.start_all()
    assert _migrations(harness) == [StopOrder('w1', fill.key)]


@pytest.mark.parametrize('checkpoints', [True, False])
def test_only_tasks_that_keep_their_progress_move(checkpoints: bool) -> None:
    harness, _ = _harness_with_interference(
        _best_effort(checkpoints=checkpoints)
    )
    harness.add_worker('w2')
    assert bool(_migrations(harness)) is checkpoints


def test_one_free_place_moves_one_task() -> None:
    harness, _ = _harness_with_interference(_best_effort())
    harness.scheduler.add_job(job(_best_effort(), job_id='4' * 16))
    harness.add_worker('w2')
    assert len(_migrations(harness)) == 1
    assert not _migrations(harness)


def test_many_throttled_tasks_share_one_search(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of 800 tasks looked at all workers, in a plan of 0.5 s."""
    harness, _ = _harness_with_interference(_best_effort())
    worker = harness.scheduler.workers['w1']
    (throttled,) = (
        each for each in worker.reservations.values() if each.spec.fills_spare
    )
    others = [
        job(_best_effort(), job_id=f'{index:016x}') for index in range(20)
    ]
    for other in others:
        harness.scheduler.add_job(other)
        (waiting,) = other.steps.values()
        key = RunKey(waiting.tasks[0].task_id, 1)
        copied = worker.reserve(key, waiting.spec, harness.at_ms)
        copied.throttled_since_ms = throttled.throttled_since_ms
    looked_at: list[str] = []

    def count_search(step: StepRun, view: PlacementContext) -> list[Worker]:
        looked_at.append(step.job.spec.job_id)
        return eligible_workers(step, view)

    monkeypatch.setattr(
        'gentianpulley.cluster.migration.eligible_workers', count_search
    )
    assert not _migrations(harness)
    assert len(looked_at) == 1
