"""A session with one worker: one task polls it, one sends it orders.

Before each call, both check that this instance still leads. They run in the
event loop of the leader's sessions; orders may come from any thread.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from gentianpulley.cluster.call_failures import RETRY_DELAY_S
from gentianpulley.cluster.order_queue import QueuedOrder
from gentianpulley.cluster.order_sender import OrderSender
from gentianpulley.cluster.scheduler_service import SchedulerService, OrderSink
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_poller import WorkerPoller
from gentianpulley.cluster.worker_protocol import WorkerClient
from gentianpulley.deadline import now_ms


class WorkerSession(OrderSink):
    """Renews the lease of one worker incarnation and sends its orders."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        worker: Worker,
        client: WorkerClient,
    ) -> None:
        """Prepare both tasks without starting them."""
        self.worker = worker
        self.poller = WorkerPoller(scheduler_service, worker, client)
        self.sender = OrderSender(
            scheduler_service, worker, client, self.poller
        )
        self._client = client
        self._log = scheduler_service.log
        self._loop = scheduler_service.session_loop
        self._running_tasks = 0

    def start(self) -> None:
        """Start both tasks."""
        for run in (self.poller.run, self.sender.run):
            self._running_tasks += 1
            self._loop.spawn(partial(self._run, run))

    def close(self) -> None:
        """Make both tasks end after their current calls."""
        self._close_tasks()
        self._loop.call(self._wake_tasks)

    def send(self, order: Order) -> None:
        """Queue an order."""
        self.sender.orders.put(QueuedOrder(order, now_ms()))
        self._loop.call(self.sender.signal.set)

    def poll_soon(self) -> None:
        """Poll again, if what the next poll waited for has happened."""
        self._loop.call(self.poller.signal.set)

    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""
        return self.sender.orders.backlog()

    def _close_tasks(self) -> None:
        self.poller.is_closed = True
        self.sender.is_closed = True

    def _wake_tasks(self) -> None:
        self.poller.signal.set()
        self.sender.signal.set()

    async def _run(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task; the last one to end closes the client.

        Until then, a call of the other task may be in flight. Both end once
        one of them does.
        """
        while not self.poller.is_closed:
            try:
                await run()
            except Exception as error:
                # One failed call must not end the tasks of this worker.
                self._log.internal_fault(repr(error))
                await asyncio.sleep(RETRY_DELAY_S)
        self._close_tasks()
        self._wake_tasks()
        self._running_tasks -= 1
        if not self._running_tasks:
            self._client.close()


def open_session(
    scheduler_service: SchedulerService, worker: Worker, client: WorkerClient
) -> WorkerSession:
    """Return a session with running tasks."""
    session = WorkerSession(scheduler_service, worker, client)
    session.start()
    return session
