"""Starts go only to a life of a worker that was looked at since a failure."""

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
REBORN = WorkerGoneError('another life')


class ScriptedLink(WorkerClient):
    """A worker whose looks are answered one by one, as the test says."""

    def __init__(self) -> None:
        """Answer nothing yet."""
        self.answers: queue.Queue[Exception | None] = queue.Queue()
        self.looks = 0
        self.leases: list[int] = []
        self.started: list[StartOrder] = []
        self.verdict = StartVerdict.ACCEPTED

    def poll(self, order: PollOrder) -> Listing:
        """Wait for the next answer."""
        self.looks += 1
        self.leases.append(order.lease_deadline_worker_ms)
        trouble = self.answers.get(timeout=WAIT_S)
        if trouble is not None:
            raise trouble
        return Listing(now_ms())

    def start(self, order: StartOrder, context: OrderContext) -> StartReply:
        """Note the start."""
        self.started.append(order)
        return StartReply(self.verdict)

    def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Do nothing."""

    def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class QuietSink(OrderSink):
    """A session that does nothing; others may act when it is closed."""

    def __init__(self, on_close: Callable[[], None]) -> None:
        """Be open."""
        self._on_close = on_close
        self.is_closed = False

    def send(self, order: Order) -> None:
        """Do nothing."""

    def backlog(self) -> tuple[int, int]:
        """Hold nothing."""
        return 0, 0

    def on_ends_acknowledged(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Note it, and let the others act."""
        self.is_closed = True
        self._on_close()


class Bench:
    """A scheduler with one worker behind a scripted link."""

    def __init__(self) -> None:
        """Let the worker answer its first look."""
        site = create_harness()
        site.at_ms = now_ms()
        site.add_worker('w')
        site.scheduler.add_job(job(step()))
        self.link = ScriptedLink()
        tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.office = SchedulerService(
            site.scheduler, tenure, create_counters(), EventLog()
        )
        worker = site.scheduler.workers['w']
        self.session: WorkerSession = open_session(
            self.office, worker, self.link
        )
        self.office.attach('w', self.session)
        self.answer_look(None)

    def answer_look(self, trouble: WorkerError | None) -> None:
        """Answer the look under way and wait for what follows it."""
        wait_until(lambda: self.link.looks > 0)
        looks = self.link.looks
        self.link.answers.put(trouble)
        if not isinstance(trouble, WorkerGoneError):
            wait_until(lambda: self.link.looks > looks)


@pytest.fixture
def bench() -> Iterator[Bench]:
    running = Bench()
    yield running
    running.session.close()
    running.link.answers.put(REBORN)


def test_nothing_is_placed_on_a_worker_whose_look_failed(
    bench: Bench,
) -> None:
    bench.answer_look(LOST)
    bench.office.plan()
    threading.Event().wait(SETTLE_S)
    assert not bench.link.started
    bench.answer_look(None)
    bench.office.plan()
    wait_until(lambda: bench.link.started)


@pytest.mark.proof('look-before-start')
def test_a_start_that_never_left_goes_elsewhere(bench: Bench) -> None:
    scheduler = bench.office.scheduler
    orders = scheduler.plan(now_ms())
    bench.answer_look(LOST)
    bench.office.dispatch(orders)
    (step_run,) = scheduler.jobs[JOB_ID].steps.values()
    wait_until(lambda: step_run.waiting)
    assert not bench.link.started


def _drain(scheduler: Scheduler) -> None:
    scheduler.update_worker(registration('w', is_draining=True), now_ms())


def _close_domain(scheduler: Scheduler) -> None:
    worker = scheduler.workers['w']
    scheduler.closed_domains = frozenset((worker.registration.failure_domain,))


def _begin_upkeep(scheduler: Scheduler) -> None:
    scheduler.workers['w'].is_leaving = True


@pytest.mark.parametrize('close', [_drain, _close_domain, _begin_upkeep])
def test_a_start_that_waits_while_its_worker_closes_goes_elsewhere(
    bench: Bench, close: Callable[[Scheduler], None]
) -> None:
    """It left seconds later, when nothing might start there any more."""
    scheduler = bench.office.scheduler
    orders = scheduler.plan(now_ms())
    close(scheduler)
    bench.office.dispatch(orders)
    (step_run,) = scheduler.jobs[JOB_ID].steps.values()
    wait_until(lambda: step_run.waiting, SETTLE_S)
    assert not bench.link.started


@pytest.mark.parametrize('close', [_drain, _close_domain, _begin_upkeep])
def test_a_lost_start_is_not_sent_again_while_its_worker_closes(
    bench: Bench, close: Callable[[Scheduler], None]
) -> None:
    bench.link.verdict = StartVerdict.LOST
    bench.office.plan()
    wait_until(lambda: bench.link.started)
    close(bench.office.scheduler)
    threading.Event().wait(SETTLE_S)
    sent = len(bench.link.started)
    threading.Event().wait(SETTLE_S)
    assert len(bench.link.started) == sent
    assert bench.session.worker.reservations


def test_a_start_without_an_answer_waits_for_a_look(bench: Bench) -> None:
    """It may be there: only the same run may be sent, to the same life."""
    bench.link.verdict = StartVerdict.LOST
    bench.office.plan()
    wait_until(lambda: bench.link.started)
    bench.answer_look(LOST)
    threading.Event().wait(SETTLE_S)
    bench.link.verdict = StartVerdict.ACCEPTED
    sent = len(bench.link.started)
    assert bench.session.worker.reservations
    bench.answer_look(None)
    wait_until(lambda: len(bench.link.started) > sent)
    assert len({order.key for order in bench.link.started}) == 1


def test_a_start_never_goes_to_a_life_that_nobody_looked_at(
    bench: Bench,
) -> None:
    orders = bench.office.scheduler.plan(now_ms())
    bench.answer_look(LOST)
    bench.answer_look(REBORN)
    bench.office.dispatch(orders)
    threading.Event().wait(SETTLE_S)
    assert not bench.link.started


def test_the_session_of_a_life_that_begins_meanwhile_stays_open() -> None:
    """It was closed in place of the former one, and nobody opened another:
    the worker was known, and got no look any more."""
    tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    site = create_harness()
    office = SchedulerService(
        site.scheduler, tenure, create_counters(), EventLog()
    )
    begun: list[QuietSink] = []

    def begin_lives() -> None:
        if begun:
            return
        for worker_id in ('w1', 'w2'):
            begun.append(QuietSink(lambda: None))
            site.scheduler.update_worker(registration(worker_id), now_ms())
            office.attach(worker_id, begun[-1])

    office.attach('w1', QuietSink(begin_lives))
    office.attach('w2', QuietSink(begin_lives))
    office.detach_removed_workers()
    assert [sink.is_closed for sink in begun] == [False, False]


def test_a_session_that_opens_after_the_reign_is_closed() -> None:
    """Its threads went on for as long as the process, and kept the ledger."""
    tenure = Leadership(now_ms(), now_ms())
    site = create_harness('w1')
    office = SchedulerService(
        site.scheduler, tenure, create_counters(), EventLog()
    )
    office.close()
    late = QuietSink(lambda: None)
    office.attach('w1', late)
    assert late.is_closed


def test_a_session_goes_on_after_a_fault(bench: Bench) -> None:
    """Its thread ended, and the worker got no look any more."""
    looks = bench.link.looks
    bench.link.answers.put(ValueError('a fault of the program'))
    wait_until(lambda: bench.link.looks > looks, WAIT_S)


def test_the_first_lease_is_given_soon_while_jobs_load() -> None:
    """Leases of a dead leader ran out in the pause before the second look."""
    tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    site = create_harness()
    office = SchedulerService(
        site.scheduler, tenure, create_counters(), EventLog()
    )
    office.begin_loading()
    site.scheduler.update_worker(registration('w1'), now_ms())
    link = ScriptedLink()
    session = open_session(office, site.scheduler.workers['w1'], link)
    link.answers.put(None)
    wait_until(lambda: any(link.leases), SETTLE_S)
    session.close()
    link.answers.put(REBORN)


def test_looks_are_rare_while_jobs_load(bench: Bench) -> None:
    """Lists take their part of the link, and none is read before."""
    bench.office.begin_loading()
    looks = bench.link.looks
    bench.link.answers.put(None)
    threading.Event().wait(SETTLE_S)
    assert bench.link.looks == looks
    bench.office.load_inherited_jobs([], [])
    wait_until(lambda: bench.link.looks > looks, SETTLE_S)
