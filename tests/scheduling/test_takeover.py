"""Lists that come while a new leader loads are held, and read afterwards."""

import pytest

from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    RunKey,
    RunningRow,
    StopOrder,
)
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.site import HandSite, facts, hand_site, job, step

KNOWN_ID = 'a' * 16
UNKNOWN_ID = 'b' * 16


def _row(job_id: str) -> RunningRow:
    return RunningRow(RunKey(TaskId(job_id, 0, 0, 0), 1), '', 50, 0)


def _loading_site() -> HandSite:
    """Return a site of one worker whose leader loads."""
    site = hand_site(roster=frozenset(('w1',)))
    site.scheduler.hold_lists()
    site.scheduler.update_worker(facts('w1'), site.at_ms)
    return site


def _load(site: HandSite) -> list[object]:
    site.scheduler.add_job(job(step(), job_id=KNOWN_ID, inherited=True))
    return list(site.scheduler.read_held_lists())


@pytest.mark.parametrize(
    ('job_id', 'is_stopped', 'phase'),
    [
        (KNOWN_ID, False, TaskPhase.PLACED),
        (UNKNOWN_ID, True, TaskPhase.WAITING),
    ],
)
def test_nothing_is_stopped_as_unknown_before_jobs_are_loaded(
    job_id: str, is_stopped: bool, phase: TaskPhase
) -> None:
    site = _loading_site()
    row = _row(job_id)
    assert site.list_runs('w1', (row,)) == []
    assert not site.scheduler.workers['w1'].is_fenced
    stops = [StopOrder('w1', row.key)] if is_stopped else []
    assert _load(site) == stops
    assert site.task(TaskId(KNOWN_ID, 0, 0, 0)).phase is phase
    assert site.scheduler.is_handover_over(site.at_ms)


def test_no_end_is_acknowledged_before_jobs_are_loaded() -> None:
    site = _loading_site()
    end = EndedRow(1, _row(KNOWN_ID).key, EndCause.DONE, '')
    site.list_runs('w1', ended=(end,))
    scheduler = site.scheduler
    worker = scheduler.workers['w1']
    assert scheduler.note_saved(scheduler.change_number) == []
    assert scheduler.look_order(worker, 0).acked_number == 0
    _load(site)
    assert scheduler.jobs[KNOWN_ID].state.is_final
    scheduler.note_saved(scheduler.change_number)
    assert scheduler.look_order(worker, 0).acked_number == 1


def test_a_lease_is_renewed_before_jobs_are_loaded() -> None:
    site = _loading_site()
    worker = site.scheduler.workers['w1']
    site.list_runs('w1')
    first_ms = site.scheduler.look_order(worker, 0).lease_worker_ms
    site.at_ms += 1000
    site.list_runs('w1')
    next_ms = site.scheduler.look_order(worker, 0).lease_worker_ms
    assert next_ms == first_ms + 1000


@pytest.mark.parametrize('is_reborn', [True, False])
def test_the_list_of_a_worker_that_went_since_is_not_read(
    is_reborn: bool,
) -> None:
    site = _loading_site()
    site.list_runs('w1', (_row(KNOWN_ID),))
    worker = site.scheduler.workers['w1']
    if is_reborn:
        site.scheduler.update_worker(facts('w1', born_ms=2), site.at_ms)
    else:
        site.scheduler.note_unreached(worker, site.at_ms)
    assert _load(site) == []
    assert not site.scheduler.workers['w1'].is_fenced
    assert not site.scheduler.is_handover_over(site.at_ms)
