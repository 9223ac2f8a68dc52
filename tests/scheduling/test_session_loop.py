"""One thread runs the sessions of all workers of a leader."""

import asyncio
import threading
from functools import partial

import pytest

from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.session_loop import SessionLoop, start_session_loop
from gentianpulley.cluster.worker_protocol import (
    Listing,
    OrderContext,
    PaceOrder,
    PollOrder,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.logs import EventLog
from gentianpulley.task_signal import Signal
from standins.grid_site import wait_until
from tests.scheduling.harness import create_harness
from tests.task_runner import run

WORKERS = 40
POLL_S = 0.05


class IdleLink(WorkerClient):
    """A worker without runs that answers each poll after a while."""

    def __init__(self) -> None:
        """Start without polls."""
        self.polls = 0
        self.is_closed = False

    async def poll(self, order: PollOrder) -> Listing:
        """List nothing."""
        self.polls += 1
        await asyncio.sleep(POLL_S)
        return Listing(now_ms())

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Refuse."""
        return StartReply(StartVerdict.NO_ROOM)

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Do nothing."""

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record that no call follows."""
        self.is_closed = True


def _open_sessions(links: list[IdleLink]) -> SchedulerService:
    harness = create_harness()
    harness.at_ms = now_ms()
    service = SchedulerService(
        harness.scheduler,
        Leadership(now_ms() + 60_000, now_ms() + 60_000),
        create_counters(),
        EventLog(),
    )
    for number, link in enumerate(links):
        worker_id = f'w{number}'
        harness.add_worker(worker_id)
        worker = harness.scheduler.workers[worker_id]
        service.attach(worker_id, open_session(service, worker, link))
    return service


def test_a_leader_needs_no_threads_for_each_worker() -> None:
    """Two threads a worker were 900 threads, and most of the leader's time."""
    threads = threading.active_count()
    links = [IdleLink() for _ in range(WORKERS)]
    service = _open_sessions(links)
    wait_until(lambda: all(link.polls > 2 for link in links))
    assert threading.active_count() <= threads + 1
    service.close()
    wait_until(lambda: all(link.is_closed for link in links))
    wait_until(lambda: threading.active_count() <= threads)


def test_a_fault_of_one_session_stops_no_other() -> None:
    links = [IdleLink(), IdleLink()]
    service = _open_sessions(links)
    links[0].poll = None  # type: ignore[method-assign, assignment]
    polls = links[1].polls
    wait_until(lambda: links[1].polls > polls + 2)
    service.close()


@pytest.fixture
def session_loop() -> SessionLoop:
    return start_session_loop()


def test_callbacks_run_in_their_sequence(session_loop: SessionLoop) -> None:
    seen: list[int] = []
    for number in range(100):
        session_loop.call(partial(seen.append, number))
    wait_until(lambda: len(seen) == 100)
    assert seen == sorted(seen)
    session_loop.close()


def test_a_loop_ends_once_its_last_task_has_ended(
    session_loop: SessionLoop,
) -> None:
    signal = Signal()
    ended = threading.Event()

    async def wait_for_signal() -> None:
        await signal.wait()
        ended.set()

    session_loop.spawn(wait_for_signal)
    session_loop.close()
    assert not ended.wait(2 * POLL_S)
    session_loop.call(signal.set)
    assert ended.wait(1)
    wait_until(lambda: not session_loop.is_running)
    session_loop.call(ended.clear)
    assert ended.is_set()


@pytest.mark.parametrize(
    ('is_set', 'timeout_s'),
    [(True, None), (True, 5), (False, 0), (False, POLL_S)],
)
def test_a_wait_ends_by_the_signal_or_its_time(
    is_set: bool, timeout_s: float | None
) -> None:
    async def wait() -> bool:
        signal = Signal()
        if is_set:
            asyncio.get_running_loop().call_later(POLL_S / 2, signal.set)
        await signal.wait(timeout_s)
        return signal.is_set

    assert run(wait()) is is_set
