"""Filling tasks leave places where they would be slowed down."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunningRow,
    StartOrder,
    StopOrder,
)
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

SERVING = step(
    image='serves', is_endless=True, tail_target_ms=50, estimated_ms=0
)


def _filling(**changes: object) -> StepSpec:
    known: dict[str, object] = {
        'image': 'fill',
        'fills_spare': True,
        'checkpoints': True,
        'estimated_ms': 9000,
        'resources': Resources(9000, 1000),
    }
    return step(1, **{**known, **changes})


def _harmed_site(filling: StepSpec) -> tuple[SchedulerHarness, StartOrder]:
    """Return a site on which a filling task turns out to be harmful."""
    site = create_harness('w1')
    site.scheduler.add_job(job(filling, job_id='2' * 16))
    (fill,) = site.start_all()
    site.scheduler.add_job(job(SERVING, job_id='1' * 16))
    (serving,) = site.start_all()
    for _ in range(40):
        site.scheduler.interference.observe('serves', 10, {})
        site.scheduler.interference.observe('serves', 200, {'fill': 0.15})
    for percent in (10, 11, 12):
        site.at_ms += 600
        rows = (
            RunningRow(fill.key, '', percent, 9000),
            RunningRow(serving.key, '', 100, 400),
        )
        site.report_listing('w1', rows)
    return site, fill


def _moved(site: SchedulerHarness) -> list[StopOrder]:
    return site.scheduler.plan_migrations(site.at_ms)


def test_a_slowed_task_moves_to_a_harmless_place_with_its_progress() -> None:
    site, fill = _harmed_site(_filling())
    site.add_worker('w2')
    assert _moved(site) == [StopOrder('w1', fill.key)]
    site.end('w1', fill.key, EndCause.STOPPED, 'saved')
    (again,) = site.plan()
    assert (again.worker_id, again.checkpoint) == ('w2', 'saved')


def test_it_stays_while_there_is_no_better_place() -> None:
    site, _ = _harmed_site(_filling())
    assert not _moved(site)


def test_on_a_busy_site_it_gives_up_its_place() -> None:
    site, fill = _harmed_site(_filling())
    full = step(1, resources=Resources(40_000, 1000))
    site.scheduler.add_job(job(full, job_id='3' * 16))
    site.start_all()
    assert _moved(site) == [StopOrder('w1', fill.key)]


@pytest.mark.parametrize('checkpoints', [True, False])
def test_only_tasks_that_keep_their_progress_move(checkpoints: bool) -> None:
    site, _ = _harmed_site(_filling(checkpoints=checkpoints))
    site.add_worker('w2')
    assert bool(_moved(site)) is checkpoints


def test_one_free_place_moves_one_task() -> None:
    site, _ = _harmed_site(_filling())
    site.scheduler.add_job(job(_filling(), job_id='4' * 16))
    site.add_worker('w2')
    assert len(_moved(site)) == 1
    assert not _moved(site)
