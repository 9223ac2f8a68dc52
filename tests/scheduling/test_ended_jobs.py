"""A leader keeps no job for its whole reign.

Each job that had ended stayed in memory, with all its tasks.
"""

import pytest

from gentianpulley.cluster.ended_jobs import EndedJobs
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    RunKey,
    RunningRow,
    StartOrder,
    StopOrder,
)
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import (
    JOB_ID,
    SchedulerHarness,
    create_harness,
    job,
    step,
)

LATE_MS = 20_000
LONG_MS = 3_600_000
LATE_KEY = RunKey(TaskId(JOB_ID, 0, 0, 0), 99)


def _ended_site() -> tuple[SchedulerHarness, StartOrder]:
    """Return a site whose only job has ended, with its record written."""
    site = create_harness('w1')
    site.scheduler.add_job(job(step()))
    (order,) = site.start_all()
    site.end('w1', order.key)
    assert site.scheduler.changed_jobs()
    site.scheduler.acknowledge_saved_ends(site.scheduler.change_number)
    return site, order


def _pass(site: SchedulerHarness, late_ms: int = LATE_MS) -> None:
    """Let time pass, with a plan before and after."""
    site.plan()
    site.at_ms += late_ms
    site.plan()


def test_a_job_is_forgotten_once_nothing_of_it_can_arrive() -> None:
    site, _ = _ended_site()
    _pass(site, 10_000)
    assert JOB_ID in site.scheduler.jobs
    _pass(site)
    assert not site.scheduler.jobs


def test_a_job_whose_record_is_not_written_is_kept() -> None:
    site = create_harness('w1')
    known = job(step())
    site.scheduler.add_job(known)
    (order,) = site.start_all()
    site.end('w1', order.key)
    site.scheduler.mark_unsaved(site.scheduler.changed_jobs())
    _pass(site)
    assert JOB_ID in site.scheduler.jobs
    assert site.scheduler.changed_jobs() == [known]
    _pass(site)
    _pass(site)
    assert not site.scheduler.jobs


def test_a_job_that_still_runs_somewhere_is_kept() -> None:
    """A cancelled task is listed until its worker has stopped it."""
    site = create_harness('w1')
    site.scheduler.add_job(job(step()))
    (order,) = site.start_all()
    assert site.scheduler.cancel(JOB_ID)
    assert site.scheduler.changed_jobs()
    _pass(site)
    assert JOB_ID in site.scheduler.jobs
    site.end('w1', order.key, EndCause.STOPPED)
    assert site.scheduler.changed_jobs() == []
    _pass(site)
    _pass(site)
    assert not site.scheduler.jobs


def test_a_failed_job_is_forgotten_after_late_failures() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(2), max_attempts=1))
    first, second = site.start_all()
    site.end('w1', first.key, EndCause.FAILED)
    assert site.scheduler.changed_jobs()
    site.end('w1', second.key, EndCause.FAILED)
    _pass(site)
    assert not site.scheduler.jobs


def test_a_job_that_goes_on_is_kept() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step()))
    site.start_all()
    site.scheduler.changed_jobs()
    _pass(site)
    assert JOB_ID in site.scheduler.jobs


def test_a_forgotten_job_does_not_come_back() -> None:
    """The watch of the jobs may tell of it again after a loss."""
    site, _ = _ended_site()
    _pass(site)
    site.scheduler.add_job(job(step()))
    assert not site.scheduler.jobs
    assert not site.scheduler.live_jobs
    assert not site.plan()
    assert not site.scheduler.cancel(JOB_ID)


def test_a_late_run_of_a_forgotten_job_is_stopped() -> None:
    site, _ = _ended_site()
    _pass(site)
    late = RunningRow(LATE_KEY, '', 0, 0)
    assert site.report_listing('w1', (late,)) == [StopOrder('w1', LATE_KEY)]
    assert site.scheduler.should_send_stop(StopOrder('w1', LATE_KEY))


@pytest.mark.parametrize('cause', list(EndCause))
def test_a_late_end_of_a_forgotten_job_is_acknowledged(
    cause: EndCause,
) -> None:
    site, _ = _ended_site()
    _pass(site)
    row = EndedRow(site.ends['w1'] + 1, LATE_KEY, cause, '')
    assert not site.report_listing('w1', (), (row,))
    site.scheduler.acknowledge_saved_ends(site.scheduler.change_number)
    worker = site.scheduler.workers['w1']
    assert worker.acked_end_number == row.number


def test_a_long_reign_remembers_only_the_latest_jobs() -> None:
    ended = EndedJobs()
    at_ms = 0
    for number in range(3):
        ended.add(job(step(), job_id=f'{number:016x}'))
        ended.evict_expired((), at_ms)
        at_ms += LATE_MS
        assert ended.evict_expired((), at_ms)
        assert ended.is_evicted(f'{number:016x}')
        at_ms += LONG_MS
    assert not ended.is_evicted(f'{0:016x}')
