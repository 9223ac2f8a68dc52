"""Which jobs' records are written, and how often."""

from gentianpulley.jobs.job import Job, JobState
from gentianpulley.jobs.record import JobRecord, restore
from tests.scheduling.site import JOB_ID, hand_site, job, step


def _fail_late(ended: Job) -> None:
    first = ended.steps[0, 0]
    ended.note_failure(first, first.tasks[0], 1, 'w')


def test_the_record_of_an_ended_job_is_written_once() -> None:
    """All jobs that had ever ended were looked at for each write."""
    scheduler = hand_site().scheduler
    scheduler.add_job(job(step(1)))
    scheduler.cancel(JOB_ID)
    (ended,) = scheduler.changed_jobs()
    _fail_late(ended)
    assert not scheduler.changed_jobs()


def test_an_end_whose_write_failed_is_written_again() -> None:
    scheduler = hand_site().scheduler
    scheduler.add_job(job(step(1)))
    scheduler.cancel(JOB_ID)
    ended = scheduler.changed_jobs()
    scheduler.note_unsaved(ended)
    assert scheduler.changed_jobs() == ended
    assert not scheduler.changed_jobs()


def test_a_job_that_was_cancelled_before_it_was_loaded_is_written() -> None:
    scheduler = hand_site().scheduler
    inherited = job(step(1))
    restore(inherited, JobRecord(JobState.RUNNING, 'batch'))
    inherited.cancel()
    scheduler.add_job(inherited)
    assert scheduler.changed_jobs() == [inherited]
