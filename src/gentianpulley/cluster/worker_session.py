"""Threads that communicate with one worker: one polls, one sends orders.

Before each call, both check that this instance still leads.
"""

import threading
from collections.abc import Callable
from typing import Final

from gentianpulley.cluster.worker_protocol import (
    PaceOrder,
    StartOrder,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.call_failures import failure_cause
from gentianpulley.cluster.scheduler_service import SchedulerService, OrderSink
from gentianpulley.cluster.order_queue import (
    DelayedRetry,
    OrderQueue,
    QueuedOrder,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker import Worker
from gentianpulley.deadline import (
    MS_PER_SECOND,
    deadline_in,
    now_ms,
    seconds_left,
)
from gentianpulley.errors import (
    WorkerError,
    WorkerFencedError,
    WorkerGoneError,
)

RETRY_DELAY_MS: Final = 150
"""Pause after a failed call; a responsive worker answers within
milliseconds."""

RETRY_DELAY_S: Final = RETRY_DELAY_MS / MS_PER_SECOND

MIN_POLL_INTERVAL_MS: Final = 45
"""Pause between polls, so that ends of runs that occur together share one
poll."""

MIN_POLL_INTERVAL_S: Final = MIN_POLL_INTERVAL_MS / MS_PER_SECOND

MAX_EXTRA_POLL_DELAY_S: Final = 0.25
"""How much longer a pause may be while ends are not written yet. Polls continue
while the store is unavailable, because they renew leases."""

MAX_ACK_WAIT_S: Final = MIN_POLL_INTERVAL_S + MAX_EXTRA_POLL_DELAY_S

LOADING_POLL_INTERVAL_S: Final = 1.5
"""Pause between polls while jobs are loaded. These polls only renew leases, and
listings take up a part of the link."""

FIRST_LEASE_POLL_INTERVAL_S: Final = 0.3
"""Pause between polls while jobs are loaded, until a poll has renewed the
lease. The first poll only learns the worker's clock, and up to three seconds of
a dead leader's lease have passed."""

MAX_START_QUEUE_MS: Final = 2000
"""A start that was queued longer than this behind other orders is planned
again, on a worker that has free capacity by then."""


class WorkerSession(OrderSink):
    """Renews the lease of one worker incarnation and sends its orders."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        worker: Worker,
        client: WorkerClient,
    ) -> None:
        """Create both threads without starting them."""
        self.worker = worker
        self._service = scheduler_service
        self._client = client
        self._orders = OrderQueue()
        self._has_renewed_lease = False
        self._closed = threading.Event()
        self._acknowledged = threading.Event()
        self.reachable = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(loop,), name=name, daemon=True
            )
            for loop, name in (
                (self._poll_loop, f'look-{worker.worker_id}'),
                (self._order_loop, f'order-{worker.worker_id}'),
            )
        ]
        self._exit_lock = threading.Lock()
        self._running_threads = len(self._threads)

    def start(self) -> None:
        """Start both threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Make both threads end after their current calls."""
        self._closed.set()
        self._acknowledged.set()
        self._orders.close()

    def send(self, order: Order) -> None:
        """Queue an order."""
        self._orders.put(QueuedOrder(order, now_ms()))

    def on_ends_acknowledged(self) -> None:
        """Poll again: the worker's ends so far may be acknowledged."""
        self._acknowledged.set()

    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""
        return self._orders.backlog()

    def _run(self, loop: Callable[[], None]) -> None:
        """Run a thread; the last one to end closes the client.

        Until then, a call of the other thread may be in flight.
        """
        while not self._closed.is_set():
            try:
                loop()
            except Exception as error:
                # One failed call must not end the threads of this worker.
                self._service.log.internal_fault(repr(error))
                self._closed.wait(RETRY_DELAY_S)
        with self._exit_lock:
            self._running_threads -= 1
            is_last = not self._running_threads
        if is_last:
            self._client.close()

    def _poll_loop(self) -> None:
        wait_ms = 0
        while not self._closed.is_set():
            if self._poll(wait_ms):
                wait_ms = self._service.poll_wait_ms
                next_poll_ms = deadline_in(MIN_POLL_INTERVAL_MS)
                self._service.jobs_loaded.wait(
                    LOADING_POLL_INTERVAL_S
                    if self._has_renewed_lease
                    else FIRST_LEASE_POLL_INTERVAL_S
                )
                # A poll returns at once while ends are not acknowledged. Most
                # are acknowledged only after the pause, so that one wake-up is
                # enough.
                if self.worker.unacked_ends:
                    self._acknowledged.wait(MAX_ACK_WAIT_S)
                self._closed.wait(seconds_left(next_poll_ms))
            else:
                self.reachable.clear()
                wait_ms = 0
                self._closed.wait(RETRY_DELAY_S)

    def _poll(self, wait_ms: int) -> bool:
        """Poll once; return whether the worker answered."""
        sent_ms = now_ms()
        if not self._service.may_act(sent_ms):
            return False
        is_first = not self.worker.is_fenced
        order = self._service.poll_order(
            self.worker, 0 if is_first else wait_ms
        )
        try:
            with self._service.counters.timed(
                'look_beyond_wait', order.wait_ms / MS_PER_SECOND
            ):
                listing = self._client.poll(order)
        except WorkerFencedError as exc:
            self._service.resign(exc.text)
            return False
        except WorkerGoneError:
            self._service.on_incarnation_ended(self.worker)
            self.close()
            return False
        except WorkerError as exc:
            _record_failure(self._service, self.worker, 'looks', exc)
            self._service.on_poll_failed(self.worker)
            return False
        self._has_renewed_lease |= order.lease_deadline_worker_ms > 0
        self._acknowledged.clear()
        self._service.on_listing(self.worker, listing, sent_ms)
        self.reachable.set()
        return True

    def _order_loop(self) -> None:
        while not self._closed.is_set():
            queued = self._orders.get()
            if queued is None:
                return
            if not self._process(queued):
                self._closed.wait(RETRY_DELAY_S)
                self._orders.put(queued)

    def _process(self, queued: QueuedOrder) -> bool:
        """Send an order if allowed; return False if it has to wait.

        An unexpected error drops the order unless it is a stop. The outcome of
        a lost start is queried anyway, and paces are sent again, but a lost
        stop would be missed.
        """
        try:
            return self._service.may_act(now_ms()) and self._try_send(queued)
        except Exception as error:
            self._service.log.internal_fault(repr(error))
            if isinstance(queued.order, StopOrder):
                self._orders.put_delayed(_create_retry(queued))
        return True

    def _try_send(self, queued: QueuedOrder) -> bool:
        """Send an order; return False if it has to wait.

        A worker that restarts under the same id accepts starts that were meant
        for its previous incarnation. The end of that incarnation breaks the
        poll in flight, and the next poll distinguishes the two incarnations.
        Until then no runs are started there: starts that were never sent are
        withdrawn to go to other workers, the rest wait.
        """
        order = queued.order
        if isinstance(order, StartOrder):
            if not self.reachable.is_set():
                return self._service.withdraw_start(order)
            is_stale = now_ms() > queued.queued_ms + MAX_START_QUEUE_MS
            if is_stale and self._service.withdraw_delayed_start(order):
                return True
        with self._service.counters.timed('worker_order'):
            self._send(order, queued.queued_ms)
        return True

    def _send(self, order: Order, queued_ms: int) -> None:
        if isinstance(order, StartOrder):
            self._send_start(order, queued_ms)
        elif isinstance(order, StopOrder):
            self._send_stop(order, queued_ms)
        else:
            self._send_pace(order)

    def _send_start(self, order: StartOrder, queued_ms: int) -> None:
        if not self._service.claim_start_send(order):
            # A worker that became unresponsive meanwhile gets no new runs.
            self._service.withdraw_start(order)
            return
        reply = self._client.start(
            order, self._service.order_context(self.worker)
        )
        if reply.verdict is StartVerdict.FENCED:
            self._service.resign('a start was fenced off')
            return
        next_orders = self._service.on_start_reply(order, reply)
        if next_orders:
            self._closed.wait(RETRY_DELAY_S)
        for each in next_orders:
            self._orders.put(QueuedOrder(each, queued_ms))

    def _send_stop(self, order: StopOrder, queued_ms: int) -> None:
        if not self._service.should_send_stop(order):
            return
        try:
            self._client.stop(order, self._service.order_context(self.worker))
        except WorkerFencedError as exc:
            self._service.resign(exc.text)
        except WorkerError as exc:
            _record_failure(self._service, self.worker, 'stops', exc)
            self._orders.put_delayed(
                _create_retry(QueuedOrder(order, queued_ms))
            )
        else:
            self._service.on_stop_acknowledged(order)

    def _send_pace(self, order: PaceOrder) -> None:
        try:
            self._client.pace(order, self._service.order_context(self.worker))
        except WorkerFencedError as exc:
            self._service.resign(exc.text)
        except WorkerError as exc:
            # The recorded speed stays the same, so a later poll repeats the
            # order.
            _record_failure(self._service, self.worker, 'paces', exc)
        else:
            self._service.on_pace_acknowledged(order)


def open_session(
    scheduler_service: SchedulerService, worker: Worker, client: WorkerClient
) -> WorkerSession:
    """Return a session with running threads."""
    session = WorkerSession(scheduler_service, worker, client)
    session.start()
    return session


def _create_retry(stop: QueuedOrder) -> DelayedRetry:
    """Return a failed stop with the time when it is sent again."""
    return DelayedRetry(stop, deadline_in(RETRY_DELAY_MS))


def _record_failure(
    service: SchedulerService, worker: Worker, kind: str, exc: WorkerError
) -> None:
    """Count and log a call without a useful reply."""
    service.counters.add(f'{kind}_failed_{failure_cause(exc)}')
    service.log.worker_trouble(worker.worker_id, exc.text)
