"""When a leader that sees nothing of the store leaves the office."""

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


class GoneWatch(LeaderWatch):
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
        """Return a revision, or lose the answer."""
        if self._can_read:
            return 1
        raise StoreAnswerLostError('lost')


class FaultyWatch(LeaderWatch):
    """A watch whose first changes meet a fault of the program."""

    def __init__(self, scheduler_service: SchedulerService) -> None:
        """Follow nothing yet."""
        super().__init__(scheduler_service, 'jobs')
        self.followed = 0

    def watch_changes(self, revision: int) -> None:
        """Fail once."""
        self.followed += 1
        if self.followed == 1:
            raise ValueError('a fault of the program')
        raise StoreAnswerLostError('cut')

    def read_all(self) -> int:
        """Return a revision."""
        return 1


def _office(tenure: Leadership) -> SchedulerService:
    log = EventLog()
    reign = LeaderTerm(1, now_ms(), frozenset(), TIMING)
    return SchedulerService(
        create_scheduler(reign, log), tenure, create_counters(), log
    )


def test_a_watch_goes_on_after_a_fault() -> None:
    """Its thread ended, and the leader stayed in office and saw nothing."""
    tenure = Leadership(deadline_in(LONG_MS), 0)
    watch = FaultyWatch(_office(tenure))
    threading.Thread(target=watch.run, args=(1,), daemon=True).start()
    wait_until(lambda: watch.followed > 1, WATCHED_S)
    tenure.resign('the test is over')


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
    tenure = Leadership(deadline_in(LONG_MS), deadline_in(certain_ms))
    watch = GoneWatch(_office(tenure), can_read=can_read)
    threading.Thread(target=watch.run, args=(1,), daemon=True).start()
    time.sleep(WATCHED_S)
    assert tenure.is_over() is resigns
    assert tenure.is_backoff_required is resigns
    assert ('not seen' in tenure.reason) is resigns
    tenure.resign('the test is over')
