"""Starts go only to an incarnation that was polled since a failure."""

import asyncio
import queue
import threading
from collections.abc import Callable, Iterator

import pytest

from gentianpulley.cluster.worker_protocol import (
    Listing,
    PollOrder,
    PaceOrder,
    OrderContext,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.scheduler_service import (
    SchedulerService,
    OrderSink,
    Leadership,
)
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_session import WorkerSession, open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import (
    WorkerError,
    WorkerGoneError,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import (
    JOB_ID,
    registration,
    create_harness,
    job,
    step,
)

WAIT_S = 5.0
SETTLE_S = 0.5
LOST = WorkerUnreachableError('connection reset')
RESTARTED = WorkerGoneError('another incarnation')
REPLACED = WorkerReplacedError('another worker')


class ScriptedLink(WorkerClient):
    """A worker whose polls are answered one by one by the test."""

    def __init__(self) -> None:
        """Start without responses."""
        self.responses: queue.Queue[Exception | None] = queue.Queue()
        self.polls = 0
        self.leases: list[int] = []
        self.started: list[StartOrder] = []
        self.verdict = StartVerdict.ACCEPTED

    async def poll(self, order: PollOrder) -> Listing:
        """Wait for the next response."""
        self.polls += 1
        self.leases.append(order.lease_deadline_worker_ms)
        error = await asyncio.to_thread(self.responses.get, timeout=WAIT_S)
        if error is not None:
            raise error
        return Listing(now_ms())

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Record the start."""
        self.started.append(order)
        return StartReply(self.verdict)

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Do nothing."""

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class NullSink(OrderSink):
    """A session that does nothing but call `on_close` when it is closed."""

    def __init__(self, on_close: Callable[[], None]) -> None:
        """Start open."""
        self._on_close = on_close
        self.is_closed = False

    def send(self, order: Order) -> None:
        """Do nothing."""

    def backlog(self) -> tuple[int, int]:
        """Return an empty backlog."""
        return 0, 0

    def poll_soon(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record the close and call `on_close`."""
        self.is_closed = True
        self._on_close()


class SessionFixture:
    """A scheduler with one worker behind a scripted link."""

    def __init__(self) -> None:
        """Let the worker answer its first poll."""
        harness = create_harness()
        harness.at_ms = now_ms()
        harness.add_worker('w')
        harness.scheduler.add_job(job(step()))
        self.link = ScriptedLink()
        leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.service = SchedulerService(
            harness.scheduler, leadership, create_counters(), EventLog()
        )
        worker = harness.scheduler.workers['w']
        self.session: WorkerSession = open_session(
            self.service, worker, self.link
        )
        self.service.attach('w', self.session)
        self.answer_poll(None)

    def answer_poll(self, error: WorkerError | None) -> None:
        """Answer the poll in flight and wait for the next one."""
        wait_until(lambda: self.link.polls > 0)
        polls = self.link.polls
        self.link.responses.put(error)
        if not isinstance(error, WorkerGoneError):
            wait_until(lambda: self.link.polls > polls)


@pytest.fixture
def fixture() -> Iterator[SessionFixture]:
    running = SessionFixture()
    yield running
    running.session.close()
    running.link.responses.put(RESTARTED)


def test_nothing_is_placed_on_a_worker_whose_look_failed(
    fixture: SessionFixture,
) -> None:
    fixture.answer_poll(LOST)
    fixture.service.plan()
    threading.Event().wait(SETTLE_S)
    assert not fixture.link.started
    fixture.answer_poll(None)
    fixture.service.plan()
    wait_until(lambda: fixture.link.started)


@pytest.mark.proof('look-before-start')
def test_a_start_that_never_left_goes_elsewhere(
    fixture: SessionFixture,
) -> None:
    scheduler = fixture.service.scheduler
    orders = scheduler.plan(now_ms())
    fixture.answer_poll(LOST)
    fixture.service.dispatch(orders)
    (step_run,) = scheduler.jobs[JOB_ID].steps.values()
    wait_until(lambda: step_run.waiting)
    assert not fixture.link.started


@pytest.mark.parametrize(
    ('error', 'is_over'), [(REPLACED, True), (RESTARTED, False)]
)
def test_an_accepted_start_is_over_once_a_look_meets_another_worker(
    fixture: SessionFixture, error: WorkerGoneError, *, is_over: bool
) -> None:
    scheduler = fixture.service.scheduler
    fixture.service.plan()
    wait_until(lambda: fixture.link.started)
    reservations = fixture.session.worker.reservations
    wait_until(lambda: all(run.confirmed_ms for run in reservations.values()))
    fixture.answer_poll(error)
    wait_until(lambda: 'w' not in scheduler.workers)
    (step_run,) = scheduler.jobs[JOB_ID].steps.values()
    assert bool(step_run.waiting) is is_over


def _drain(scheduler: Scheduler) -> None:
    scheduler.update_worker(registration('w', is_draining=True), now_ms())


def _close_domain(scheduler: Scheduler) -> None:
    worker = scheduler.workers['w']
    scheduler.closed_domains = frozenset((worker.registration.failure_domain,))


def _begin_upkeep(scheduler: Scheduler) -> None:
    scheduler.workers['w'].is_leaving = True


@pytest.mark.parametrize('close', [_drain, _close_domain, _begin_upkeep])
def test_a_start_that_waits_while_its_worker_closes_goes_elsewhere(
    fixture: SessionFixture, close: Callable[[Scheduler], None]
) -> None:
    """The start used to be sent seconds later, to a worker closed to starts."""
    scheduler = fixture.service.scheduler
    orders = scheduler.plan(now_ms())
    close(scheduler)
    fixture.service.dispatch(orders)
    (step_run,) = scheduler.jobs[JOB_ID].steps.values()
    wait_until(lambda: step_run.waiting, SETTLE_S)
    assert not fixture.link.started


@pytest.mark.parametrize('close', [_drain, _close_domain, _begin_upkeep])
def test_a_lost_start_is_not_sent_again_while_its_worker_closes(
    fixture: SessionFixture, close: Callable[[Scheduler], None]
) -> None:
    fixture.link.verdict = StartVerdict.LOST
    fixture.service.plan()
    wait_until(lambda: fixture.link.started)
    close(fixture.service.scheduler)
    threading.Event().wait(SETTLE_S)
    sent = len(fixture.link.started)
    threading.Event().wait(SETTLE_S)
    assert len(fixture.link.started) == sent
    assert fixture.session.worker.reservations


def test_a_start_without_an_answer_waits_for_a_look(
    fixture: SessionFixture,
) -> None:
    """It may have arrived: only the same run may be resent, to the same
    incarnation."""
    fixture.link.verdict = StartVerdict.LOST
    fixture.service.plan()
    wait_until(lambda: fixture.link.started)
    fixture.answer_poll(LOST)
    threading.Event().wait(SETTLE_S)
    fixture.link.verdict = StartVerdict.ACCEPTED
    sent = len(fixture.link.started)
    assert fixture.session.worker.reservations
    fixture.answer_poll(None)
    wait_until(lambda: len(fixture.link.started) > sent)
    assert len({order.key for order in fixture.link.started}) == 1


def test_a_start_never_goes_to_a_life_that_nobody_looked_at(
    fixture: SessionFixture,
) -> None:
    orders = fixture.service.scheduler.plan(now_ms())
    fixture.answer_poll(LOST)
    fixture.answer_poll(RESTARTED)
    fixture.service.dispatch(orders)
    threading.Event().wait(SETTLE_S)
    assert not fixture.link.started


def test_the_session_of_a_life_that_begins_meanwhile_stays_open() -> None:
    """The new session must not be closed instead of the previous one.

    No other session was opened then: the worker stayed registered, but was
    not polled any more.
    """
    leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    harness = create_harness()
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    opened: list[NullSink] = []

    def open_new_sessions() -> None:
        if opened:
            return
        for worker_id in ('w1', 'w2'):
            opened.append(NullSink(lambda: None))
            harness.scheduler.update_worker(registration(worker_id), now_ms())
            service.attach(worker_id, opened[-1])

    service.attach('w1', NullSink(open_new_sessions))
    service.attach('w2', NullSink(open_new_sessions))
    service.detach_removed_workers()
    assert [sink.is_closed for sink in opened] == [False, False]


def test_a_session_that_opens_after_the_reign_is_closed() -> None:
    """Its threads must end with the leadership.

    They used to run as long as the process and kept the reservations.
    """
    leadership = Leadership(now_ms(), now_ms())
    harness = create_harness('w1')
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    service.close()
    late_sink = NullSink(lambda: None)
    service.attach('w1', late_sink)
    assert late_sink.is_closed


def test_a_session_goes_on_after_a_fault(fixture: SessionFixture) -> None:
    """A fault used to end its thread, so the worker was not polled again."""
    polls = fixture.link.polls
    fixture.link.responses.put(ValueError('internal error'))
    wait_until(lambda: fixture.link.polls > polls, WAIT_S)


def test_the_first_lease_is_given_soon_while_jobs_load() -> None:
    """Leases of a dead leader used to expire before the second poll."""
    leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    harness = create_harness()
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    service.begin_loading()
    harness.scheduler.update_worker(registration('w1'), now_ms())
    link = ScriptedLink()
    session = open_session(service, harness.scheduler.workers['w1'], link)
    link.responses.put(None)
    wait_until(lambda: any(link.leases), SETTLE_S)
    session.close()
    link.responses.put(RESTARTED)


def test_looks_are_rare_while_jobs_load(fixture: SessionFixture) -> None:
    """Listings take link bandwidth, and none is read before loading ends."""
    fixture.service.begin_loading()
    polls = fixture.link.polls
    fixture.link.responses.put(None)
    threading.Event().wait(SETTLE_S)
    assert fixture.link.polls == polls
    fixture.service.load_inherited_jobs([], [])
    wait_until(lambda: fixture.link.polls > polls, SETTLE_S)
