"""Lists that come while a new leader loads are held, and read afterwards."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    RunKey,
    RunningRow,
    StopOrder,
)
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import (
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

KNOWN_ID = 'a' * 16
UNKNOWN_ID = 'b' * 16


def _row(job_id: str) -> RunningRow:
    return RunningRow(RunKey(TaskId(job_id, 0, 0, 0), 1), '', 50, 0)


def _loading_site() -> SchedulerHarness:
    """Return a site of one worker whose leader loads."""
    site = create_harness(roster=frozenset(('w1',)))
    site.scheduler.buffer_listings()
    site.scheduler.update_worker(registration('w1'), site.at_ms)
    return site


def _load(site: SchedulerHarness) -> list[object]:
    site.scheduler.add_job(job(step(), job_id=KNOWN_ID, inherited=True))
    return list(site.scheduler.process_buffered_listings())


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
    assert site.report_listing('w1', (row,)) == []
    assert not site.scheduler.workers['w1'].is_fenced
    stops = [StopOrder('w1', row.key)] if is_stopped else []
    assert _load(site) == stops
    assert site.task(TaskId(KNOWN_ID, 0, 0, 0)).phase is phase
    assert site.scheduler.is_handover_complete(site.at_ms)


def test_no_end_is_acknowledged_before_jobs_are_loaded() -> None:
    site = _loading_site()
    end = EndedRow(1, _row(KNOWN_ID).key, EndCause.DONE, '')
    site.report_listing('w1', ended=(end,))
    scheduler = site.scheduler
    worker = scheduler.workers['w1']
    assert scheduler.acknowledge_saved_ends(scheduler.change_number) == []
    assert scheduler.poll_order(worker, 0).acked_end_number == 0
    _load(site)
    assert scheduler.jobs[KNOWN_ID].state.is_final
    scheduler.acknowledge_saved_ends(scheduler.change_number)
    assert scheduler.poll_order(worker, 0).acked_end_number == 1


def test_a_lease_is_renewed_before_jobs_are_loaded() -> None:
    site = _loading_site()
    worker = site.scheduler.workers['w1']
    site.report_listing('w1')
    first_ms = site.scheduler.poll_order(worker, 0).lease_deadline_worker_ms
    site.at_ms += 1000
    site.report_listing('w1')
    next_ms = site.scheduler.poll_order(worker, 0).lease_deadline_worker_ms
    assert next_ms == first_ms + 1000


@pytest.mark.parametrize('is_reborn', [True, False])
def test_the_list_of_a_worker_that_went_since_is_not_read(
    is_reborn: bool,
) -> None:
    site = _loading_site()
    site.report_listing('w1', (_row(KNOWN_ID),))
    worker = site.scheduler.workers['w1']
    if is_reborn:
        site.scheduler.update_worker(
            registration('w1', incarnation_ms=2), site.at_ms
        )
    else:
        site.scheduler.mark_unresponsive(worker, site.at_ms)
    assert _load(site) == []
    assert not site.scheduler.workers['w1'].is_fenced
    assert not site.scheduler.is_handover_complete(site.at_ms)
