"""Records are created while the scheduler changes their jobs."""

import sys
import threading
from collections.abc import Iterator

import pytest

from gentianpulley.jobs.job import Job, JobState
from gentianpulley.jobs.record import create_record
from gentianpulley.jobs.spec import Schedule
from tests.scheduling.harness import START_MS, job, step

OCCURRENCES = 100
JOBS = 50
SWITCH_S = 1e-6


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
