"""The next poll waits until it can return changes."""

import asyncio
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
from gentianpulley.cluster.worker_poller import (
    MAX_EXTRA_POLL_DELAY_S,
    MIN_POLL_INTERVAL_S,
)
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import JOB_ID, create_harness

ENDED = EndedRow(1, RunKey(TaskId(JOB_ID, 0, 0, 0), 1), EndCause.DONE, '')


class EndedLink(WorkerClient):
    """Lists one end at once until it is acknowledged; then a poll waits."""

    def __init__(self) -> None:
        """List the end."""
        self.acked: list[int] = []

    async def poll(self, order: PollOrder) -> Listing:
        """List the end again, or wait for another one."""
        self.acked.append(order.acked_end_number)
        if order.acked_end_number < ENDED.number:
            return Listing(now_ms(), ended=(ENDED,))
        await asyncio.sleep(1)
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
        """Do nothing."""


class SessionFixture:
    """A session with a worker that lists one end."""

    def __init__(self) -> None:
        """Poll for the first time."""
        harness = create_harness()
        harness.at_ms = now_ms()
        harness.add_worker('w')
        leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
        self.service = SchedulerService(
            harness.scheduler, leadership, create_counters(), EventLog()
        )
        self.link = EndedLink()
        worker = harness.scheduler.workers['w']
        self.session = open_session(self.service, worker, self.link)
        self.service.attach('w', self.session)
        wait_until(lambda: worker.unacked_ends)


@pytest.fixture
def fixture() -> Iterator[SessionFixture]:
    running = SessionFixture()
    yield running
    running.session.close()


def test_ends_that_are_not_written_yet_are_not_listed_again_and_again(
    fixture: SessionFixture,
) -> None:
    """Half of all polls of a loaded cluster returned the same ends again."""
    polls = len(fixture.link.acked)
    threading.Event().wait(MAX_EXTRA_POLL_DELAY_S)
    assert len(fixture.link.acked) <= polls + 1


def test_a_look_acknowledges_ends_soon_after_they_are_written(
    fixture: SessionFixture,
) -> None:
    fixture.service.acknowledge_saved_ends(1)
    wait_until(
        lambda: ENDED.number in fixture.link.acked, MAX_EXTRA_POLL_DELAY_S
    )


def test_looks_go_on_while_nothing_can_be_written(
    fixture: SessionFixture,
) -> None:
    """Polls renew the leases of runs."""
    polls = len(fixture.link.acked)
    max_interval_s = MIN_POLL_INTERVAL_S + MAX_EXTRA_POLL_DELAY_S
    wait_until(lambda: len(fixture.link.acked) > polls, 3 * max_interval_s)
