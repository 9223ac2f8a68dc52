"""The sequence of orders to a worker, and which starts are withdrawn."""

import asyncio
import threading
from collections.abc import Iterator

import pytest

from gentianpulley.cluster import order_sender
from gentianpulley.cluster.worker_protocol import (
    Listing,
    PollOrder,
    PaceOrder,
    RunKey,
    RunningRow,
    OrderContext,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_session import WorkerSession, open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.spec import TaskId
from gentianpulley.errors import WorkerUnreachableError
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import JOB_ID, create_harness, job, step

WAIT_S = 5.0
MIN_FAILED_STOPS = 3
SHORT_QUEUE_MS = 100
POLL_S = 0.02
RESET = WorkerUnreachableError('connection reset')


class BlockingLink(WorkerClient):
    """Answers polls, and blocks the first order until it is released.

    Lists a run, as a worker does, from when its start arrived.
    """

    def __init__(self) -> None:
        """Block the first order."""
        self.sent: list[str] = []
        self.running: dict[RunKey, RunningRow] = {}
        self.is_poll_blocked = threading.Event()
        self.released = threading.Event()
        self.polls_released = threading.Event()
        self.polls_released.set()
        self.polls_in_flight = 0
        self.orders_in_flight = 0
        self.calls_at_close: list[int] = []
        self.stop_error: Exception | None = None

    async def poll(self, order: PollOrder) -> Listing:
        """List what runs; waits while polls are blocked too."""
        self.polls_in_flight += 1
        if not self.polls_released.is_set():
            self.is_poll_blocked.set()
        await asyncio.to_thread(self.polls_released.wait, WAIT_S)
        await asyncio.sleep(POLL_S)
        self.polls_in_flight -= 1
        return Listing(now_ms(), running=tuple(self.running.values()))

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Record the start."""
        self.running[order.key] = RunningRow(order.key, '', 100, 0)
        await self._record(f'start {order.key.task_id.ordinal}')
        return StartReply(StartVerdict.ACCEPTED)

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Record the stop."""
        await self._record(f'stop {order.key.task_id.ordinal}')
        if self.stop_error is not None:
            raise self.stop_error

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Record the pace order."""
        await self._record(f'pace {order.key.task_id.ordinal}')

    def close(self) -> None:
        """Record how many calls are in flight."""
        self.calls_at_close.append(self.polls_in_flight + self.orders_in_flight)

    async def _record(self, text: str) -> None:
        self.sent.append(text)
        self.orders_in_flight += 1
        await asyncio.to_thread(self.released.wait, WAIT_S)
        self.orders_in_flight -= 1


class SessionFixture:
    """A session whose first start is in flight, with starts behind it."""

    def __init__(self, *, is_gang: bool = False) -> None:
        """Send the first of four starts."""
        harness = create_harness()
        harness.at_ms = now_ms()
        harness.add_worker('w')
        self.scheduler = harness.scheduler
        self.scheduler.add_job(job(step(4, is_gang=is_gang)))
        self.worker = self.scheduler.workers['w']
        self.link = BlockingLink()
        leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.service = SchedulerService(
            self.scheduler, leadership, create_counters(), EventLog()
        )
        self.session: WorkerSession = open_session(
            self.service, self.worker, self.link
        )
        self.service.attach('w', self.session)
        wait_until(lambda: self.session.poller.is_reachable, what='a poll')
        wait_until(self._has_sent, what='the first start')

    def key_of(self, ordinal: int) -> RunKey:
        """Return the run of a task."""
        reservations = self.worker.reservations
        keys = {key.task_id: key for key in reservations}
        return keys[TaskId(JOB_ID, 0, 0, ordinal)]

    def stop(self, ordinal: int) -> None:
        """Stop a run as a cancellation does."""
        key = self.key_of(ordinal)
        self.worker.reservations[key].is_stopping = True
        self.session.send(StopOrder('w', key))

    def close(self) -> None:
        """Let the threads finish."""
        self.link.released.set()
        self.link.polls_released.set()
        self.session.close()

    def waiting(self) -> int:
        """Return how many tasks wait for a worker."""
        stored_job = self.scheduler.jobs[JOB_ID]
        return sum(len(each.waiting) for each in stored_job.steps.values())

    def _has_sent(self) -> bool:
        """Return whether a start was sent; plans withdrawn starts again."""
        if not self.link.sent:
            self.service.plan()
        return bool(self.link.sent)


@pytest.fixture
def fixture() -> Iterator[SessionFixture]:
    running = SessionFixture()
    yield running
    running.close()


def test_a_stop_does_not_wait_behind_starts(fixture: SessionFixture) -> None:
    unknown_run = RunKey(TaskId('b' * 16, 0, 0, 9), 1)
    orders: tuple[Order, ...] = (
        PaceOrder('w', fixture.key_of(0), 40),
        StopOrder('w', unknown_run),
    )
    fixture.worker.foreign_runs.add(unknown_run)
    for order in orders:
        fixture.session.send(order)
    fixture.link.released.set()
    wait_until(lambda: len(fixture.link.sent) == 6)
    assert fixture.link.sent[1:3] == ['stop 9', 'pace 0']
    assert fixture.link.sent[3:] == ['start 1', 'start 2', 'start 3']


def test_a_run_that_is_stopped_is_not_started_any_more(
    fixture: SessionFixture,
) -> None:
    fixture.stop(2)
    fixture.link.released.set()
    wait_until(lambda: len(fixture.link.sent) == 4)
    assert fixture.link.sent[1:] == ['stop 2', 'start 1', 'start 3']


def test_a_stop_that_keeps_failing_does_not_hold_up_starts(
    fixture: SessionFixture,
) -> None:
    """Starts queued behind the stop used to wait until they were rejected."""
    fixture.link.stop_error = RESET
    fixture.stop(2)
    fixture.link.released.set()
    wait_until(lambda: fixture.link.sent.count('stop 2') > MIN_FAILED_STOPS)
    sent = fixture.link.sent
    starts = [text for text in sent if text.startswith('start')]
    assert starts == ['start 0', 'start 1', 'start 3']
    assert sent.index('start 3') < _nth(sent, 'stop 2', 2)


@pytest.mark.parametrize('trouble', [RESET, ValueError('internal error')])
def test_a_stop_that_failed_is_sent_again(
    fixture: SessionFixture, trouble: Exception
) -> None:
    fixture.link.stop_error = trouble
    key = fixture.key_of(2)
    fixture.stop(2)
    fixture.link.released.set()
    wait_until(lambda: 'stop 2' in fixture.link.sent)
    assert fixture.session.backlog()[0]
    fixture.link.stop_error = None
    wait_until(lambda: not fixture.session.backlog()[0])
    wait_until(lambda: key not in fixture.worker.reservations)


def test_a_pace_does_not_overtake_the_start_of_its_run(
    fixture: SessionFixture,
) -> None:
    fixture.session.send(PaceOrder('w', fixture.key_of(2), 40))
    fixture.link.released.set()
    wait_until(lambda: len(fixture.link.sent) == 5)
    assert fixture.link.sent[1:] == ['start 2', 'pace 2', 'start 1', 'start 3']


def test_starts_that_waited_long_are_placed_again(
    fixture: SessionFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(order_sender, 'MAX_START_QUEUE_MS', SHORT_QUEUE_MS)
    threading.Event().wait(2 * SHORT_QUEUE_MS / 1000)
    fixture.link.released.set()
    wait_until(lambda: fixture.waiting() >= 3)
    threading.Event().wait(5 * POLL_S)
    assert fixture.waiting() == 3
    assert fixture.link.sent == ['start 0']


def test_a_late_start_of_a_gang_goes_out_to_the_others_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Started members used to wait in vain for the others and end alone."""
    monkeypatch.setattr(order_sender, 'MAX_START_QUEUE_MS', SHORT_QUEUE_MS)
    fixture = SessionFixture(is_gang=True)
    threading.Event().wait(2 * SHORT_QUEUE_MS / 1000)
    fixture.link.released.set()
    threading.Event().wait(5 * POLL_S)
    fixture.close()
    assert fixture.link.sent == ['start 0', 'start 1', 'start 2', 'start 3']


def test_a_start_to_a_worker_gone_silent_is_placed_again(
    fixture: SessionFixture,
) -> None:
    """The start used to be kept unsent, and was rejected seconds later."""
    fixture.link.polls_released.clear()
    wait_until(lambda: fixture.link.is_poll_blocked.is_set())
    fixture.worker.last_contact_ms = 0
    fixture.link.released.set()
    wait_until(lambda: fixture.waiting() == 3)
    assert fixture.link.sent == ['start 0']


def test_starts_that_come_back_in_set_up_are_placed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a two-second stall of the machine no start used to be sent."""
    monkeypatch.setattr(order_sender, 'MAX_START_QUEUE_MS', -1)
    timer = threading.Timer(
        POLL_S * 5,
        monkeypatch.setattr,
        (order_sender, 'MAX_START_QUEUE_MS', SHORT_QUEUE_MS * 100),
    )
    timer.start()
    fixture = SessionFixture()
    fixture.close()
    assert fixture.link.sent[0] == 'start 0'


def test_the_link_is_closed_once_no_call_is_under_way(
    fixture: SessionFixture,
) -> None:
    fixture.session.close()
    wait_until(lambda: not fixture.link.polls_in_flight)
    threading.Event().wait(5 * POLL_S)
    assert not fixture.link.calls_at_close
    fixture.link.released.set()
    wait_until(lambda: fixture.link.calls_at_close == [0])


def test_starts_wait_until_the_look_before_them_is_noted(
    fixture: SessionFixture,
) -> None:
    """A worker counted as unresponsive just after it had answered again: the
    orders sent to it were dropped, and rejected seconds later."""
    fixture.link.polls_released.clear()
    wait_until(lambda: fixture.link.is_poll_blocked.is_set())
    fixture.session.poller.is_reachable = False
    with fixture.service.lock:
        fixture.link.polls_released.set()
        threading.Event().wait(5 * POLL_S)
        assert not fixture.session.poller.is_reachable
    wait_until(lambda: fixture.session.poller.is_reachable)


def _nth(sent: list[str], text: str, number: int) -> int:
    """Return the index of the nth occurrence of a text."""
    indexes = [index for index, each in enumerate(sent) if each == text]
    return indexes[number - 1]
