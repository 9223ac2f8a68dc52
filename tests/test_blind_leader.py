"""When a leader that cannot read the store any more resigns."""

import threading
import time

import pytest

from gentianpulley.cluster.leader_watches import LeaderWatch
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.timing import Timing
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.errors import StoreAnswerLostError, StoreCompactedError
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until

TIMING = Timing(
    lease_ms=100,
    max_lease_ms=100,
    leadership_ms=100,
    stop_ms=50,
    poll_wait_ms=50,
)
LONG_MS = 60_000
WATCHED_S = 1.5


class CompactedWatch(LeaderWatch):
    """A watch that always ends, with reads that may work."""

    def __init__(
        self, scheduler_service: SchedulerService, can_read: bool
    ) -> None:
        """Read only if `can_read`."""
        super().__init__(scheduler_service, 'jobs')
        self._can_read = can_read

    def watch_changes(self, revision: int) -> None:
        """End at once."""
        raise StoreCompactedError('gone')

    def read_all(self) -> int:
        """Return a revision, or lose the response."""
        if self._can_read:
            return 1
        raise StoreAnswerLostError('lost')


class FaultyWatch(LeaderWatch):
    """A watch that raises an unexpected error on its first call."""

    def __init__(self, scheduler_service: SchedulerService) -> None:
        """Start with no calls."""
        super().__init__(scheduler_service, 'jobs')
        self.watch_calls = 0

    def watch_changes(self, revision: int) -> None:
        """Raise an unexpected error once, then lose the connection."""
        self.watch_calls += 1
        if self.watch_calls == 1:
            raise ValueError('internal error')
        raise StoreAnswerLostError('cut')

    def read_all(self) -> int:
        """Return a revision."""
        return 1


def _create_service(leadership: Leadership) -> SchedulerService:
    log = EventLog()
    term = LeaderTerm(1, now_ms(), frozenset(), TIMING)
    return SchedulerService(
        create_scheduler(term, log), leadership, create_counters(), log
    )


def test_a_watch_goes_on_after_a_fault() -> None:
    """An error used to end its thread; the leader led on and saw no change."""
    leadership = Leadership(deadline_in(LONG_MS), 0)
    watch = FaultyWatch(_create_service(leadership))
    threading.Thread(target=watch.run, args=(1,), daemon=True).start()
    wait_until(lambda: watch.watch_calls > 1, WATCHED_S)
    leadership.resign('the test is over')


@pytest.mark.parametrize(
    ('can_read', 'certain_ms', 'resigns'),
    [
        (False, LONG_MS, True),
        (False, 0, False),
        (True, LONG_MS, False),
    ],
    ids=['blind', 'the store is down for all', 'sees by reading'],
)
def test_a_leader_resigns_only_if_another_may_see_more(
    can_read: bool, certain_ms: int, resigns: bool
) -> None:
    leadership = Leadership(deadline_in(LONG_MS), deadline_in(certain_ms))
    watch = CompactedWatch(_create_service(leadership), can_read=can_read)
    threading.Thread(target=watch.run, args=(1,), daemon=True).start()
    time.sleep(WATCHED_S)
    assert leadership.is_over() is resigns
    assert leadership.is_backoff_required is resigns
    assert ('not seen' in leadership.reason) is resigns
    leadership.resign('the test is over')
