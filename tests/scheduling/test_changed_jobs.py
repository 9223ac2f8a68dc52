"""Which jobs' records are written, and how often."""

from gentianpulley.jobs.job import Job, JobState
from gentianpulley.jobs.record import JobRecord, restore_job
from tests.scheduling.harness import JOB_ID, create_harness, job, step


def _record_late_failure(ended_job: Job) -> None:
    first = ended_job.steps[0, 0]
    ended_job.record_failure(first, first.tasks[0], 1, 'w')


def test_the_record_of_an_ended_job_is_written_once() -> None:
    """Guards against checking all jobs that ever ended at each write."""
    scheduler = create_harness().scheduler
    scheduler.add_job(job(step(1)))
    scheduler.cancel(JOB_ID)
    (ended_job,) = scheduler.changed_jobs()
    _record_late_failure(ended_job)
    assert not scheduler.changed_jobs()


def test_an_end_whose_write_failed_is_written_again() -> None:
    scheduler = create_harness().scheduler
    scheduler.add_job(job(step(1)))
    scheduler.cancel(JOB_ID)
    ended_jobs = scheduler.changed_jobs()
    scheduler.mark_unsaved(ended_jobs)
    assert scheduler.changed_jobs() == ended_jobs
    assert not scheduler.changed_jobs()


def test_a_job_that_was_cancelled_before_it_was_loaded_is_written() -> None:
    scheduler = create_harness().scheduler
    inherited = job(step(1))
    restore_job(inherited, JobRecord(JobState.RUNNING, 'batch'))
    inherited.cancel()
    scheduler.add_job(inherited)
    assert scheduler.changed_jobs() == [inherited]
