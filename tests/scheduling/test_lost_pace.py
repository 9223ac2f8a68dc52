"""A pace without an answer is sent again until it has one."""

import pytest

from gentianpulley.cluster.order_sender import OrderSender
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_poller import WorkerPoller
from gentianpulley.cluster.worker_protocol import (
    OrderContext,
    PaceOrder,
    RunKey,
    RunningRow,
    WorkerClient,
)
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import WorkerError, WorkerSilentError
from gentianpulley.logs import EventLog
from tests.scheduling.harness import SchedulerHarness, create_harness, job
from tests.scheduling.test_session import ScriptedLink
from tests.scheduling.test_sharing import SERVING, _best_effort, _train_model
from tests.task_runner import run

TERM_MS = 60_000
LOST = WorkerSilentError('lost')


class PacingLink(ScriptedLink):
    """A worker that paces runs, whose answers may be lost."""

    def __init__(self) -> None:
        """Answer at first."""
        super().__init__()
        self.error: WorkerError | None = None
        self.paces: list[PaceOrder] = []

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Change the speed of a run."""
        self.paces.append(order)
        if self.error is not None:
            raise self.error


def _send(harness: SchedulerHarness, link: WorkerClient, order: Order) -> None:
    leadership = Leadership(deadline_in(TERM_MS), deadline_in(TERM_MS))
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    worker = harness.scheduler.workers['w1']
    poller = WorkerPoller(service, worker, link)
    run(OrderSender(service, worker, link, poller).send(order, 0))


def _paces(
    harness: SchedulerHarness, fill: RunKey, serving: RunKey
) -> list[PaceOrder]:
    harness.at_ms += 1000
    rows = (
        RunningRow(fill, '', 50, 9000),
        RunningRow(serving, '', 100, 150),
    )
    orders = harness.report_listing('w1', rows)
    return [order for order in orders if isinstance(order, PaceOrder)]


@pytest.mark.proof('pace-again')
def test_a_pace_without_an_answer_is_sent_again() -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(_best_effort('fill'), job_id='2' * 16))
    (fill,) = harness.start_all()
    harness.scheduler.add_job(job(SERVING, job_id='1' * 16))
    (serving,) = harness.start_all()
    _train_model(harness, 'fill', 200)
    _paces(harness, fill.key, serving.key)
    link = PacingLink()
    link.error = LOST
    (lost,) = _paces(harness, fill.key, serving.key)
    _send(harness, link, lost)
    worker = harness.scheduler.workers['w1']
    reservation = worker.reservations[fill.key]
    assert reservation.speed_percent != lost.speed_percent
    (again,) = _paces(harness, fill.key, serving.key)
    assert again.key == lost.key
    link.error = None
    _send(harness, link, again)
    assert reservation.speed_percent == again.speed_percent
