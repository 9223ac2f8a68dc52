"""Threads that speak with one worker: one looks, one sends orders.

Both ask the reign before each call whether this instance still leads.
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
"""Pause after a call that failed; a worker that answers does so in
milliseconds."""

RETRY_DELAY_S: Final = RETRY_DELAY_MS / MS_PER_SECOND

MIN_POLL_INTERVAL_MS: Final = 45
"""Pause between looks, so that ends that come together share one look."""

MIN_POLL_INTERVAL_S: Final = MIN_POLL_INTERVAL_MS / MS_PER_SECOND

MAX_EXTRA_POLL_DELAY_S: Final = 0.25
"""How much longer a pause may be for ends that are not written yet. While the
store is away, looks go on: they renew leases."""

MAX_ACK_WAIT_S: Final = MIN_POLL_INTERVAL_S + MAX_EXTRA_POLL_DELAY_S

LOADING_POLL_INTERVAL_S: Final = 1.5
"""Pause between looks while jobs load: they only renew leases, and lists take
their part of the link."""

FIRST_LEASE_POLL_INTERVAL_S: Final = 0.3
"""The same until a look has renewed the lease: the first one only learns the
worker's clock, and up to three seconds of a dead leader's lease have passed."""

MAX_START_QUEUE_MS: Final = 2000
"""A start that waited longer behind other orders is placed again, where there
is room by then."""


class WorkerSession(OrderSink):
    """Keeps the lease of one life of a worker and carries its orders."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        worker: Worker,
        link: WorkerClient,
    ) -> None:
        """Prepare both threads."""
        self.worker = worker
        self._office = scheduler_service
        self._link = link
        self._orders = OrderQueue()
        self._has_renewed = False
        self._closed = threading.Event()
        self._acknowledged = threading.Event()
        self.reachable = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(loop,), name=name, daemon=True
            )
            for loop, name in (
                (self._look_loop, f'look-{worker.worker_id}'),
                (self._order_loop, f'order-{worker.worker_id}'),
            )
        ]
        self._ending = threading.Lock()
        self._running = len(self._threads)

    def start(self) -> None:
        """Start both threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Let both threads end after their current calls."""
        self._closed.set()
        self._acknowledged.set()
        self._orders.close()

    def send(self, order: Order) -> None:
        """Queue an order."""
        self._orders.put(QueuedOrder(order, now_ms()))

    def on_ends_acknowledged(self) -> None:
        """Look again: the worker's ends so far may be acknowledged."""
        self._acknowledged.set()

    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""
        return self._orders.backlog()

    def _run(self, loop: Callable[[], None]) -> None:
        """Run a thread; the last one to end closes the link.

        A call of the other one may be under way until then.
        """
        while not self._closed.is_set():
            try:
                loop()
            except Exception as fault:
                # One faulty call must not end the care for this worker.
                self._office.log.internal_fault(repr(fault))
                self._closed.wait(RETRY_DELAY_S)
        with self._ending:
            self._running -= 1
            is_last = not self._running
        if is_last:
            self._link.close()

    def _look_loop(self) -> None:
        wait_ms = 0
        while not self._closed.is_set():
            if self._look(wait_ms):
                wait_ms = self._office.poll_wait_ms
                gap_until_ms = deadline_in(MIN_POLL_INTERVAL_MS)
                self._office.jobs_loaded.wait(
                    LOADING_POLL_INTERVAL_S
                    if self._has_renewed
                    else FIRST_LEASE_POLL_INTERVAL_S
                )
                # Ends are listed at once, until they are acknowledged. Most
                # are only after the gap, so that one wake-up is enough.
                if self.worker.unacked_ends:
                    self._acknowledged.wait(MAX_ACK_WAIT_S)
                self._closed.wait(seconds_left(gap_until_ms))
            else:
                self.reachable.clear()
                wait_ms = 0
                self._closed.wait(RETRY_DELAY_S)

    def _look(self, wait_ms: int) -> bool:
        """Look once; returns whether the worker answered."""
        sent_ms = now_ms()
        if not self._office.may_act(sent_ms):
            return False
        first = not self.worker.is_fenced
        order = self._office.poll_order(self.worker, 0 if first else wait_ms)
        try:
            with self._office.counters.timed(
                'look_beyond_wait', order.wait_ms / MS_PER_SECOND
            ):
                listing = self._link.poll(order)
        except WorkerFencedError as exc:
            self._office.resign(exc.text)
            return False
        except WorkerGoneError:
            self._office.on_incarnation_ended(self.worker)
            self.close()
            return False
        except WorkerError as exc:
            _note_trouble(self._office, self.worker, 'looks', exc)
            self._office.on_poll_failed(self.worker)
            return False
        self._has_renewed |= order.lease_deadline_worker_ms > 0
        self._acknowledged.clear()
        self._office.on_listing(self.worker, listing, sent_ms)
        self.reachable.set()
        return True

    def _order_loop(self) -> None:
        while not self._closed.is_set():
            queued = self._orders.get()
            if queued is None:
                return
            if not self._carry_out(queued):
                self._closed.wait(RETRY_DELAY_S)
                self._orders.put(queued)

    def _carry_out(self, queued: QueuedOrder) -> bool:
        """Send an order if that may be; False if it has to wait.

        What becomes of a start that a fault has lost is asked for anyway,
        and paces are told again; a stop would be missed.
        """
        try:
            return self._office.may_act(now_ms()) and self._try(queued)
        except Exception as fault:
            self._office.log.internal_fault(repr(fault))
            if isinstance(queued.order, StopOrder):
                self._orders.put_delayed(_again(queued))
        return True

    def _try(self, queued: QueuedOrder) -> bool:
        """Send an order; False if it has to wait.

        A worker that is born anew under its id takes starts that were meant
        for its former life. Its end breaks the look under way, and the next
        look tells one life from the other. Until then nothing starts there:
        what was never sent goes elsewhere, the rest waits.
        """
        order = queued.order
        if isinstance(order, StartOrder):
            if not self.reachable.is_set():
                return self._office.withdraw_start(order)
            is_stale = now_ms() > queued.queued_ms + MAX_START_QUEUE_MS
            if is_stale and self._office.withdraw_delayed_start(order):
                return True
        with self._office.counters.timed('worker_order'):
            self._send(order, queued.queued_ms)
        return True

    def _send(self, order: Order, since_ms: int) -> None:
        if isinstance(order, StartOrder):
            self._send_start(order, since_ms)
        elif isinstance(order, StopOrder):
            self._send_stop(order, since_ms)
        else:
            self._send_pace(order)

    def _send_start(self, order: StartOrder, since_ms: int) -> None:
        if not self._office.claim_start_send(order):
            # A worker that went silent meanwhile gets nothing new.
            self._office.withdraw_start(order)
            return
        reply = self._link.start(order, self._office.order_context(self.worker))
        if reply.verdict is StartVerdict.FENCED:
            self._office.resign('a start was fenced off')
            return
        following = self._office.on_start_reply(order, reply)
        if following:
            self._closed.wait(RETRY_DELAY_S)
        for each in following:
            self._orders.put(QueuedOrder(each, since_ms))

    def _send_stop(self, order: StopOrder, since_ms: int) -> None:
        if not self._office.should_send_stop(order):
            return
        try:
            self._link.stop(order, self._office.order_context(self.worker))
        except WorkerFencedError as exc:
            self._office.resign(exc.text)
        except WorkerError as exc:
            _note_trouble(self._office, self.worker, 'stops', exc)
            self._orders.put_delayed(_again(QueuedOrder(order, since_ms)))
        else:
            self._office.on_stop_acknowledged(order)

    def _send_pace(self, order: PaceOrder) -> None:
        try:
            self._link.pace(order, self._office.order_context(self.worker))
        except WorkerFencedError as exc:
            self._office.resign(exc.text)
        except WorkerError as exc:
            # The next look shows the old pace, which asks for it again.
            _note_trouble(self._office, self.worker, 'paces', exc)
        else:
            self._office.on_pace_acknowledged(order)


def open_session(
    scheduler_service: SchedulerService, worker: Worker, link: WorkerClient
) -> WorkerSession:
    """Return a session whose threads run."""
    session = WorkerSession(scheduler_service, worker, link)
    session.start()
    return session


def _again(stop: QueuedOrder) -> DelayedRetry:
    """Return a stop that failed, to be sent after a pause."""
    return DelayedRetry(stop, deadline_in(RETRY_DELAY_MS))


def _note_trouble(
    office: SchedulerService, worker: Worker, kind: str, exc: WorkerError
) -> None:
    """Count and tell a call without a useful answer."""
    office.counters.add(f'{kind}_failed_{failure_cause(exc)}')
    office.log.worker_trouble(worker.worker_id, exc.text)
