"""Records are created while the scheduler changes their jobs."""

import sys
import threading
from collections.abc import Callable, Iterator

import pytest

from gentianpulley.jobs.job import Job, JobState
from gentianpulley.jobs.record import create_record
from gentianpulley.jobs.spec import Schedule
from tests.garbage_collection import changing_at_collections
from tests.scheduling.harness import START_MS, job, step

OCCURRENCES = 100
JOBS = 50
SWITCH_S = 1e-6
MAX_ATTEMPTS = 1000

Change = Callable[[Job, int], None]


@pytest.fixture(autouse=True)
def _frequent_switches() -> Iterator[None]:
    """Let the interpreter switch threads as often as possible."""
    default_s = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_S)
    yield
    sys.setswitchinterval(default_s)


def _create_all_occurrences(shared_job: Job) -> None:
    for occurrence in range(OCCURRENCES):
        shared_job.create_occurrences_through(occurrence)


def test_a_record_is_taken_while_occurrences_open() -> None:
    """Guards against an error if steps are added while a record is created.

    The error prevented the write of the record.
    """
    for _ in range(JOBS):
        shared_job = job(
            step(4), schedule=Schedule(START_MS, 1000, OCCURRENCES)
        )
        creating = threading.Thread(
            target=_create_all_occurrences, args=(shared_job,)
        )
        creating.start()
        while creating.is_alive():
            assert create_record(shared_job, START_MS).state is JobState.QUEUED


def _create_occurrence(shared_job: Job, number: int) -> None:
    shared_job.create_occurrences_through(number)


def _record_failure(shared_job: Job, number: int) -> None:
    first = shared_job.steps[(0, 0)]
    shared_job.record_failure(first, first.tasks[0], number, 'w')


CHANGES: dict[str, Change] = {
    'occurrence': _create_occurrence,
    'failed_run': _record_failure,
}


@pytest.mark.parametrize('change', CHANGES.values(), ids=CHANGES)
def test_a_record_is_created_while_garbage_is_collected(change: Change) -> None:
    """A collection runs callbacks, in which other threads take their turn."""
    shared_job = job(
        step(4),
        schedule=Schedule(START_MS, 1000, OCCURRENCES),
        max_attempts=MAX_ATTEMPTS,
    )
    numbers = iter(range(1, OCCURRENCES))
    with changing_at_collections(lambda: change(shared_job, next(numbers, 1))):
        records = [
            create_record(shared_job, START_MS) for _ in range(OCCURRENCES)
        ]
    assert next(numbers, None) is None
    assert {record.state for record in records} == {JobState.QUEUED}


class _EndingJob(Job):
    """A job that ends right after its state is first read."""

    @property
    def state(self) -> JobState:
        """Return the state, then end."""
        state = super().state
        self._state = JobState.COMPLETED
        return state

    @state.setter
    def state(self, state: JobState) -> None:
        self._state = state


def test_a_job_that_ends_meanwhile_is_not_recorded_without_its_end() -> None:
    """A next leader deleted such a record at once, as if its end were old."""
    ending = _EndingJob(job(step()).spec)
    ending.state = JobState.RUNNING
    record = create_record(ending, START_MS)
    assert record.state.is_final == bool(record.ended_ms)
