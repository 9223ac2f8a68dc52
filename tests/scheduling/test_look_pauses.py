"""A look waits until it can bring something new."""

import threading
from collections.abc import Iterator

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    Listing,
    PollOrder,
    PaceOrder,
    RunKey,
    OrderContext,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.worker_session import (
    MAX_EXTRA_POLL_DELAY_S,
    MIN_POLL_INTERVAL_S,
    open_session,
)
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import JOB_ID, create_harness

ENDED = EndedRow(1, RunKey(TaskId(JOB_ID, 0, 0, 0), 1), EndCause.DONE, '')


class EndedLink(WorkerClient):
    """Lists one end at once until it is acknowledged; then a look waits."""

    def __init__(self) -> None:
        """List the end."""
        self.acked: list[int] = []

    def poll(self, order: PollOrder) -> Listing:
        """List the end again, or wait for another one."""
        self.acked.append(order.acked_end_number)
        if order.acked_end_number < ENDED.number:
            return Listing(now_ms(), ended=(ENDED,))
        threading.Event().wait(1)
        return Listing(now_ms())

    def start(self, order: StartOrder, context: OrderContext) -> StartReply:
        """Refuse."""
        return StartReply(StartVerdict.NO_ROOM)

    def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Do nothing."""

    def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class Bench:
    """A session with a worker that lists one end."""

    def __init__(self) -> None:
        """Look for the first time."""
        site = create_harness()
        site.at_ms = now_ms()
        site.add_worker('w')
        tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.office = SchedulerService(
            site.scheduler, tenure, create_counters(), EventLog()
        )
        self.link = EndedLink()
        worker = site.scheduler.workers['w']
        self.session = open_session(self.office, worker, self.link)
        self.office.attach('w', self.session)
        wait_until(lambda: worker.unacked_ends)


@pytest.fixture
def bench() -> Iterator[Bench]:
    running = Bench()
    yield running
    running.session.close()


def test_ends_that_are_not_written_yet_are_not_listed_again_and_again(
    bench: Bench,
) -> None:
    """Half of all looks of a loaded site brought the same ends once more."""
    looks = len(bench.link.acked)
    threading.Event().wait(MAX_EXTRA_POLL_DELAY_S)
    assert len(bench.link.acked) <= looks + 1


def test_a_look_acknowledges_ends_soon_after_they_are_written(
    bench: Bench,
) -> None:
    bench.office.acknowledge_saved_ends(1)
    wait_until(lambda: ENDED.number in bench.link.acked, MAX_EXTRA_POLL_DELAY_S)


def test_looks_go_on_while_nothing_can_be_written(bench: Bench) -> None:
    """They renew the lease of what runs."""
    looks = len(bench.link.acked)
    longest_s = MIN_POLL_INTERVAL_S + MAX_EXTRA_POLL_DELAY_S
    wait_until(lambda: len(bench.link.acked) > looks, 3 * longest_s)
