"""Starts go only to a life of a worker that was looked at since trouble."""

import queue
import threading
from collections.abc import Iterator

import pytest

from gentianpulley.cluster.link import (
    Listing,
    LookOrder,
    PaceOrder,
    Sent,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerLink,
)
from gentianpulley.cluster.office import Office, Tenure
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
from tests.scheduling.site import hand_site, job, step

WAIT_S = 5.0
SETTLE_S = 0.5
LOST = WorkerUnreachableError('connection reset')
REBORN = WorkerGoneError('another life')


class ScriptedLink(WorkerLink):
    """A worker whose looks are answered one by one, as the test says."""

    def __init__(self) -> None:
        """Answer nothing yet."""
        self.answers: queue.Queue[WorkerError | None] = queue.Queue()
        self.looks = 0
        self.started: list[StartOrder] = []
        self._closed = threading.Event()

    def look(self, order: LookOrder) -> Listing:
        """Wait for the next answer."""
        self.looks += 1
        trouble = self.answers.get(timeout=WAIT_S)
        if trouble is not None:
            raise trouble
        return Listing(now_ms())

    def start(self, order: StartOrder, sent: Sent) -> StartReply:
        """Note the start."""
        self.started.append(order)
        return StartReply(StartVerdict.ACCEPTED)

    def stop(self, order: StopOrder, sent: Sent) -> None:
        """Do nothing."""

    def pace(self, order: PaceOrder, sent: Sent) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class Bench:
    """A scheduler with one worker behind a scripted link."""

    def __init__(self) -> None:
        """Let the worker answer its first look."""
        site = hand_site()
        site.at_ms = now_ms()
        site.add_worker('w')
        site.scheduler.add_job(job(step()))
        self.link = ScriptedLink()
        tenure = Tenure(now_ms() + 60_000, now_ms() + 60_000)
        self.office = Office(
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


def test_a_start_waits_until_the_worker_is_looked_at_again(
    bench: Bench,
) -> None:
    bench.answer_look(LOST)
    bench.office.plan()
    threading.Event().wait(SETTLE_S)
    assert not bench.link.started
    bench.answer_look(None)
    wait_until(lambda: bench.link.started)


def test_a_start_never_goes_to_a_life_that_nobody_looked_at(
    bench: Bench,
) -> None:
    bench.answer_look(LOST)
    bench.office.plan()
    bench.answer_look(REBORN)
    threading.Event().wait(SETTLE_S)
    assert not bench.link.started
