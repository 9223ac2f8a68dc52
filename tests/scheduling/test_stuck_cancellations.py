"""A watch of cancellations that reports nothing: which starts wait for it."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from gentianpulley.cluster import job_watches, leader_watches, scheduler_service
from gentianpulley.cluster.job_storage import cancellation_key
from gentianpulley.cluster.job_watches import CancellationWatch
from gentianpulley.cluster.scheduler_service import (
    EXCLUSIVE_MS,
    Leadership,
    OrderSink,
    SchedulerService,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_protocol import StartOrder
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.store import Change, ChangeBatch, Entry
from tests.scheduling.harness import START_MS, create_harness, job, step

ACTING_MS = 4000
RENEWAL_MS = 500
WATCH_MS = 1800
CANCEL_MS = 3000
WORKER = 'w1'
CANCELLED = 'a' * 16
OTHER = 'b' * 16


@dataclass
class _Store(KvStore):
    """A store whose watch answers with the next batch, or with a failure."""

    batch: ChangeBatch | None = None
    answers_reads: bool = False

    def read_changes(self, prefix: str, revision: int) -> ChangeBatch:
        """Return that nothing has changed, or fail."""
        if not self.answers_reads:
            raise StoreAnswerLostError(prefix)
        return ChangeBatch((), revision)

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Report one batch."""
        if self.batch is not None:
            yield self.batch
        raise StoreAnswerLostError(prefix)


@dataclass
class _Sink(OrderSink):
    """Records what is started."""

    started: set[str] = field(default_factory=set)

    def send(self, order: Order) -> None:
        """Record a start."""
        if isinstance(order, StartOrder):
            self.started.add(order.key.task_id.job_id)

    def backlog(self) -> tuple[int, int]:
        """Return that nothing waits."""
        return 0, 0

    def poll_soon(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class _Clock:
    """The clock of one leader, whose renewals may be answered."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at_ms = START_MS
        self.are_renewals_answered = True
        for module in (scheduler_service, job_watches, leader_watches):
            monkeypatch.setattr(module, 'now_ms', lambda: self.at_ms)


class _LeaderOfOne:
    """A leader with one worker, and its watch of cancellations."""

    def __init__(self, clock: _Clock) -> None:
        self.sink = _Sink()
        self._clock = clock
        self._harness = create_harness(WORKER)
        self._leadership = Leadership(0, 0)
        self._service = SchedulerService(
            self._harness.scheduler,
            self._leadership,
            create_counters(),
            EventLog(),
        )
        self._service.attach(WORKER, self.sink)
        self._store = _Store()
        self._watch = CancellationWatch(self._service, self._store)
        self._renew()

    def report(self, *changes: Change) -> None:
        """Let the watch report these changes, or none."""
        self._store.batch = ChangeBatch(changes, 1)
        self.cut()

    def cut(self) -> None:
        """Let the watch break after what it reports, if anything."""
        self._store.answers_reads = True
        with pytest.raises(StoreAnswerLostError):
            self._watch.watch_changes(0)
        self._store.batch = None

    def submit(self, job_id: str) -> None:
        """Report a job that was stored now."""
        self._service.add_job(job(step(), job_id=job_id))

    def plan(self) -> set[str]:
        """Return the jobs that were started so far, after one more plan."""
        self._service.plan()
        return self.sink.started

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(0, duration_ms, RENEWAL_MS):
            self._clock.at_ms += RENEWAL_MS
            if self._clock.are_renewals_answered:
                self._renew()

    def _renew(self) -> None:
        at_ms = self._clock.at_ms
        self._leadership.extend(at_ms + ACTING_MS, at_ms + EXCLUSIVE_MS)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    """Return a clock that stands still."""
    return _Clock(monkeypatch)


@pytest.mark.proof('cancellations-watched')
def test_a_job_cancelled_while_the_watch_is_stuck_was_started(
    clock: _Clock,
) -> None:
    """It was stored and cancelled after the last report, and placed once a
    worker had room, later than starts are allowed after a cancellation."""
    leader = _LeaderOfOne(clock)
    leader.report()
    leader.wait(CANCEL_MS)
    leader.submit(CANCELLED)
    leader.submit(OTHER)
    assert leader.plan() == set()
    key = cancellation_key(CANCELLED)
    leader.report(Change(key, Entry(key, b'', 1), 1))
    assert leader.plan() == {OTHER}


def test_an_idle_watch_holds_up_no_start(clock: _Clock) -> None:
    leader = _LeaderOfOne(clock)
    leader.report()
    leader.wait(WATCH_MS)
    leader.submit(OTHER)
    assert leader.plan() == {OTHER}


@pytest.mark.parametrize('cuts', [1, 2, 3])
def test_a_watch_that_was_cut_held_up_starts(clock: _Clock, cuts: int) -> None:
    """It waited anew after each cut, though the store answered."""
    leader = _LeaderOfOne(clock)
    leader.report()
    for _ in range(cuts):
        leader.wait(WATCH_MS)
        leader.cut()
    leader.wait(WATCH_MS)
    leader.submit(OTHER)
    assert leader.plan() == {OTHER}


def test_a_store_that_answers_nothing_holds_up_no_start(clock: _Clock) -> None:
    """It stores no cancellations either."""
    leader = _LeaderOfOne(clock)
    leader.report()
    leader.wait(RENEWAL_MS)
    clock.are_renewals_answered = False
    leader.wait(ACTING_MS - RENEWAL_MS)
    leader.submit(OTHER)
    assert leader.plan() == {OTHER}


@pytest.mark.proof('cancellations-watched')
def test_after_an_outage_starts_wait_for_cancellations(clock: _Clock) -> None:
    """Renewals are answered again before the watch."""
    leader = _LeaderOfOne(clock)
    leader.report()
    clock.are_renewals_answered = False
    leader.wait(CANCEL_MS)
    clock.are_renewals_answered = True
    leader.wait(RENEWAL_MS)
    leader.submit(OTHER)
    assert leader.plan() == set()
    leader.report()
    assert leader.plan() == {OTHER}
