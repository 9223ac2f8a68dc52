"""The task that sends the orders for one worker."""

import asyncio
from typing import Final

from gentianpulley.cluster.call_failures import (
    RETRY_DELAY_MS,
    RETRY_DELAY_S,
    record_failure,
)
from gentianpulley.cluster.order_queue import (
    DelayedRetry,
    OrderQueue,
    QueuedOrder,
)
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.timing import FOREVER, MAX_START_DELAY_MS
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_poller import WorkerPoller
from gentianpulley.cluster.worker_protocol import (
    OrderContext,
    PaceOrder,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.errors import WorkerError, WorkerFencedError
from gentianpulley.task_signal import Signal

MAX_START_QUEUE_MS: Final = 2000
"""A start that was queued longer than this behind other orders is planned
again, on a worker that has free capacity by then."""


class OrderSender:
    """Sends queued orders while the worker answers its polls."""

    def __init__(
        self,
        service: SchedulerService,
        worker: Worker,
        client: WorkerClient,
        poller: WorkerPoller,
    ) -> None:
        """Start without orders."""
        self.orders = OrderQueue()
        self.signal = Signal()
        self.is_closed = False
        self._service = service
        self._worker = worker
        self._client = client
        self._poller = poller

    async def run(self) -> None:
        """Send orders as they are queued, until this is closed."""
        while not self.is_closed:
            self.signal.clear()
            queued = self.orders.pop()
            if queued is None:
                await self.signal.wait(self.orders.seconds_until_due())
            elif not await self._process(queued):
                await asyncio.sleep(RETRY_DELAY_S)
                self.orders.put(queued)

    async def send(self, order: Order, queued_ms: int) -> None:
        """Send an order at once, whatever the polls have shown."""
        if isinstance(order, StartOrder):
            await self._send_start(order, queued_ms)
        elif isinstance(order, StopOrder):
            await self._send_stop(order, queued_ms)
        else:
            await self._send_pace(order)

    async def _process(self, queued: QueuedOrder) -> bool:
        """Send an order if allowed; return False if it has to wait.

        An unexpected error drops the order unless it is a stop. The outcome of
        a lost start is queried anyway, and paces are sent again, but a lost
        stop would be missed.
        """
        try:
            return self._service.may_act(now_ms()) and await self._try_to_send(
                queued
            )
        except Exception as error:
            self._service.log.internal_fault(repr(error))
            if isinstance(queued.order, StopOrder):
                self.orders.put_delayed(_create_retry(queued))
        return True

    async def _try_to_send(self, queued: QueuedOrder) -> bool:
        """Send an order; return False if it has to wait.

        A worker that restarts under the same id accepts starts that were meant
        for its previous incarnation. The end of that incarnation breaks the
        poll in flight, and the next poll distinguishes the two incarnations.
        Until then no runs are started there: starts that were never sent are
        withdrawn to go to other workers, the rest wait.
        """
        order = queued.order
        if isinstance(order, StartOrder):
            if not self._poller.is_reachable or self._worker.is_suspended:
                return self._service.withdraw_start(order)
            is_stale = now_ms() > queued.queued_ms + MAX_START_QUEUE_MS
            if is_stale and self._service.withdraw_delayed_start(order):
                return True
        with self._service.counters.timed('worker_order'):
            await self.send(order, queued.queued_ms)
        return True

    async def _send_start(self, order: StartOrder, queued_ms: int) -> None:
        if not self._service.claim_start_send(order):
            # A worker that became unresponsive meanwhile gets no new runs.
            self._service.withdraw_start(order)
            return
        context = self._service.start_context(
            order, self._worker, self._until_ms()
        )
        reply = await self._client.start(order, context)
        if reply.verdict is StartVerdict.FENCED:
            self._handle_fenced(context, 'a start was fenced off')
            # What has refused it may be another incarnation.
            reply = StartReply(StartVerdict.LOST)
        next_orders = self._service.on_start_reply(order, reply)
        if next_orders:
            await asyncio.sleep(RETRY_DELAY_S)
        for each in next_orders:
            self.orders.put(QueuedOrder(each, queued_ms))

    def _until_ms(self) -> int:
        """Return until when a start may be carried out.

        The first starts have the whole lease: without one of a poll, their runs
        would lapse at the deadline if this leader died.
        """
        if self._poller.has_renewed_lease:
            return deadline_in(MAX_START_DELAY_MS)
        return FOREVER

    def _handle_fenced(self, context: OrderContext, reason: str) -> None:
        """Report a call that was refused for its token."""
        worker_id = self._worker.worker_id
        self._service.on_fenced(worker_id, context.token, reason)

    async def _send_stop(self, order: StopOrder, queued_ms: int) -> None:
        if not self._service.should_send_stop(order):
            return
        context = self._service.order_context(self._worker)
        try:
            await self._client.stop(order, context)
        except WorkerFencedError as exc:
            self._handle_fenced(context, exc.text)
            self.orders.put_delayed(
                _create_retry(QueuedOrder(order, queued_ms))
            )
        except WorkerError as exc:
            record_failure(self._service, self._worker, 'stops', exc)
            self.orders.put_delayed(
                _create_retry(QueuedOrder(order, queued_ms))
            )
        else:
            self._service.on_stop_acknowledged(order)

    async def _send_pace(self, order: PaceOrder) -> None:
        context = self._service.order_context(self._worker)
        try:
            await self._client.pace(order, context)
        except WorkerFencedError as exc:
            self._handle_fenced(context, exc.text)
        except WorkerError as exc:
            # The recorded speed stays the same, so a later poll repeats the
            # order.
            record_failure(self._service, self._worker, 'paces', exc)
        else:
            self._service.on_pace_acknowledged(order)


def _create_retry(stop: QueuedOrder) -> DelayedRetry:
    """Return a failed stop with the time when it is sent again."""
    return DelayedRetry(stop, deadline_in(RETRY_DELAY_MS))
