"""In which sequence a worker gets its orders, and which ones go back."""

import threading
from collections.abc import Iterator

import pytest

from gentianpulley.cluster import worker_session
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
TRIES = 3
SHORT_WAIT_MS = 100
LOOK_S = 0.02
RESET = WorkerUnreachableError('connection reset')


class HeldLink(WorkerClient):
    """Answers looks, and holds the first order until it is let go.

    Lists what it has started, as a worker does, since it began to.
    """

    def __init__(self) -> None:
        """Hold the first order."""
        self.sent: list[str] = []
        self.running: dict[RunKey, RunningRow] = {}
        self.is_look_held = threading.Event()
        self.released = threading.Event()
        self.looks = threading.Event()
        self.looks.set()
        self.closed_in = ''
        self.stop_trouble: Exception | None = None

    def poll(self, order: PollOrder) -> Listing:
        """List what runs, until looks are held too."""
        if not self.looks.is_set():
            self.is_look_held.set()
        self.looks.wait(WAIT_S)
        threading.Event().wait(LOOK_S)
        return Listing(now_ms(), running=tuple(self.running.values()))

    def start(self, order: StartOrder, context: OrderContext) -> StartReply:
        """Note the start."""
        self.running[order.key] = RunningRow(order.key, '', 100, 0)
        self._note(f'start {order.key.task_id.ordinal}')
        return StartReply(StartVerdict.ACCEPTED)

    def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Note the stop."""
        self._note(f'stop {order.key.task_id.ordinal}')
        if self.stop_trouble is not None:
            raise self.stop_trouble

    def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Note the pace."""
        self._note(f'pace {order.key.task_id.ordinal}')

    def close(self) -> None:
        """Note who closes."""
        self.closed_in = threading.current_thread().name

    def _note(self, text: str) -> None:
        self.sent.append(text)
        self.released.wait(WAIT_S)


class Bench:
    """A session whose first start is under way, and starts behind it."""

    def __init__(self, *, is_gang: bool = False) -> None:
        """Send the first of four starts."""
        site = create_harness()
        site.at_ms = now_ms()
        site.add_worker('w')
        self.scheduler = site.scheduler
        self.scheduler.add_job(job(step(4, is_gang=is_gang)))
        self.worker = self.scheduler.workers['w']
        self.link = HeldLink()
        tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.office = SchedulerService(
            self.scheduler, tenure, create_counters(), EventLog()
        )
        self.session: WorkerSession = open_session(
            self.office, self.worker, self.link
        )
        self.office.attach('w', self.session)
        wait_until(lambda: self.session.reachable.is_set(), what='a look')
        wait_until(self._has_sent, what='the first start')

    def key_of(self, ordinal: int) -> RunKey:
        """Return the run of a task."""
        charges = self.worker.reservations
        keys = {key.task_id: key for key in charges}
        return keys[TaskId(JOB_ID, 0, 0, ordinal)]

    def stop(self, ordinal: int) -> None:
        """Stop a run as a cancellation does."""
        key = self.key_of(ordinal)
        self.worker.reservations[key].is_stopping = True
        self.session.send(StopOrder('w', key))

    def close(self) -> None:
        """Let the threads end."""
        self.link.released.set()
        self.link.looks.set()
        self.session.close()

    def waiting(self) -> int:
        """Return how many tasks wait to be placed."""
        known = self.scheduler.jobs[JOB_ID]
        return sum(len(each.waiting) for each in known.steps.values())

    def _has_sent(self) -> bool:
        """Tell whether a start was sent; places those that came back."""
        if not self.link.sent:
            self.office.plan()
        return bool(self.link.sent)


@pytest.fixture
def bench() -> Iterator[Bench]:
    running = Bench()
    yield running
    running.close()


def test_a_stop_does_not_wait_behind_starts(bench: Bench) -> None:
    foreign = RunKey(TaskId('b' * 16, 0, 0, 9), 1)
    orders: tuple[Order, ...] = (
        PaceOrder('w', bench.key_of(0), 40),
        StopOrder('w', foreign),
    )
    bench.worker.foreign_runs.add(foreign)
    for order in orders:
        bench.session.send(order)
    bench.link.released.set()
    wait_until(lambda: len(bench.link.sent) == 6)
    assert bench.link.sent[1:3] == ['stop 9', 'pace 0']
    assert bench.link.sent[3:] == ['start 1', 'start 2', 'start 3']


def test_a_run_that_is_stopped_is_not_started_any_more(bench: Bench) -> None:
    bench.stop(2)
    bench.link.released.set()
    wait_until(lambda: len(bench.link.sent) == 4)
    assert bench.link.sent[1:] == ['stop 2', 'start 1', 'start 3']


def test_a_stop_that_keeps_failing_does_not_hold_up_starts(
    bench: Bench,
) -> None:
    """The starts behind it waited until they were barred."""
    bench.link.stop_trouble = RESET
    bench.stop(2)
    bench.link.released.set()
    wait_until(lambda: bench.link.sent.count('stop 2') > TRIES)
    sent = bench.link.sent
    starts = [text for text in sent if text.startswith('start')]
    assert starts == ['start 0', 'start 1', 'start 3']
    assert sent.index('start 3') < _nth(sent, 'stop 2', 2)


@pytest.mark.parametrize('trouble', [RESET, ValueError('a fault')])
def test_a_stop_that_failed_is_sent_again(
    bench: Bench, trouble: Exception
) -> None:
    bench.link.stop_trouble = trouble
    key = bench.key_of(2)
    bench.stop(2)
    bench.link.released.set()
    wait_until(lambda: 'stop 2' in bench.link.sent)
    assert bench.session.backlog()[0]
    bench.link.stop_trouble = None
    wait_until(lambda: not bench.session.backlog()[0])
    wait_until(lambda: key not in bench.worker.reservations)


def test_a_pace_does_not_overtake_the_start_of_its_run(bench: Bench) -> None:
    bench.session.send(PaceOrder('w', bench.key_of(2), 40))
    bench.link.released.set()
    wait_until(lambda: len(bench.link.sent) == 5)
    assert bench.link.sent[1:] == ['start 2', 'pace 2', 'start 1', 'start 3']


def test_starts_that_waited_long_are_placed_again(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(worker_session, 'MAX_START_QUEUE_MS', SHORT_WAIT_MS)
    threading.Event().wait(2 * SHORT_WAIT_MS / 1000)
    bench.link.released.set()
    wait_until(lambda: bench.waiting() >= 3)
    threading.Event().wait(5 * LOOK_S)
    assert bench.waiting() == 3
    assert bench.link.sent == ['start 0']


def test_a_late_start_of_a_gang_goes_out_to_the_others_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The members that had started waited in vain and ended alone."""
    monkeypatch.setattr(worker_session, 'MAX_START_QUEUE_MS', SHORT_WAIT_MS)
    bench = Bench(is_gang=True)
    threading.Event().wait(2 * SHORT_WAIT_MS / 1000)
    bench.link.released.set()
    threading.Event().wait(5 * LOOK_S)
    bench.close()
    assert bench.link.sent == ['start 0', 'start 1', 'start 2', 'start 3']


def test_a_start_to_a_worker_gone_silent_is_placed_again(
    bench: Bench,
) -> None:
    """It was neither sent nor given back, and barred seconds later."""
    bench.link.looks.clear()
    wait_until(lambda: bench.link.is_look_held.is_set())
    bench.worker.last_contact_ms = 0
    bench.link.released.set()
    wait_until(lambda: bench.waiting() == 3)
    assert bench.link.sent == ['start 0']


def test_starts_that_come_back_in_set_up_are_placed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where the machine stood still for two seconds, none was ever sent."""
    monkeypatch.setattr(worker_session, 'MAX_START_QUEUE_MS', -1)
    moves_on = threading.Timer(
        LOOK_S * 5,
        monkeypatch.setattr,
        (worker_session, 'MAX_START_QUEUE_MS', SHORT_WAIT_MS * 100),
    )
    moves_on.start()
    bench = Bench()
    bench.close()
    assert bench.link.sent[0] == 'start 0'


def test_the_link_is_closed_once_no_call_is_under_way(bench: Bench) -> None:
    bench.session.close()
    wait_until(lambda: not _is_alive('look-w'))
    assert not bench.link.closed_in
    bench.link.released.set()
    wait_until(lambda: bench.link.closed_in == 'order-w')


def test_starts_wait_until_the_look_before_them_is_noted(
    bench: Bench,
) -> None:
    """A worker counted as silent just after it had answered again: what had
    been sent to it was dropped, and barred seconds later."""
    bench.link.looks.clear()
    wait_until(lambda: bench.link.is_look_held.is_set())
    bench.session.reachable.clear()
    with bench.office.lock:
        bench.link.looks.set()
        threading.Event().wait(5 * LOOK_S)
        assert not bench.session.reachable.is_set()
    wait_until(lambda: bench.session.reachable.is_set())


def _nth(sent: list[str], text: str, number: int) -> int:
    """Return where a text stands for the nth time."""
    places = [place for place, each in enumerate(sent) if each == text]
    return places[number - 1]


def _is_alive(thread_name: str) -> bool:
    return any(each.name == thread_name for each in threading.enumerate())
