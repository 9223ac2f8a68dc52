"""A worker and its leader are lost at the same moment, for good."""

from typing import Final

from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.timing import LEADER_TTL_S
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.logs import EventLog
from tests.scheduling.harness import (
    START_MS,
    TIMING,
    SchedulerHarness,
    job,
    step,
)

EXCUSED_MS: Final = 10_000
"""RULES.md, LOST: a long-running task may have nothing running for `contact_ms`
(3 s), 4 calm seconds and 3 s more after the last fault."""


def test_a_task_lost_with_its_worker_and_leader_runs_again_too_late() -> None:
    """LOST: the successor waits for what the dead leader may have granted.

    The key of a leader whose process does not return is free once its lease
    has expired.
    """
    since_ms = START_MS + LEADER_TTL_S * MS_PER_SECOND
    term = LeaderTerm(8, since_ms, frozenset(('w1',)), TIMING)
    successor = SchedulerHarness(create_scheduler(term, EventLog()), since_ms)
    successor.add_worker('w2')
    successor.scheduler.add_job(job(step(is_endless=True), inherited=True))
    assert successor.plan() == []
    successor.at_ms = START_MS + EXCUSED_MS
    assert len(successor.plan()) == 1
