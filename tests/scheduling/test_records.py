"""Records are taken while the scheduler goes on with its jobs."""

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
def _eager_switches() -> Iterator[None]:
    """Let threads take turns as often as can be."""
    usual_s = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_S)
    yield
    sys.setswitchinterval(usual_s)


def _open_all(known: Job) -> None:
    for occurrence in range(OCCURRENCES):
        known.create_occurrences_through(occurrence)


def test_a_record_is_taken_while_occurrences_open() -> None:
    """Steps that came meanwhile were a fault, and nothing was written."""
    for _ in range(JOBS):
        known = job(step(4), schedule=Schedule(START_MS, 1000, OCCURRENCES))
        opening = threading.Thread(target=_open_all, args=(known,))
        opening.start()
        while opening.is_alive():
            assert create_record(known, START_MS).state is JobState.QUEUED
