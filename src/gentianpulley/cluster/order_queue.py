"""Queue of orders for one worker: stops first, then paces, then starts.

Any thread may add orders; the task that sends them takes them out.
"""

import threading
from collections import deque
from dataclasses import dataclass

from gentianpulley.cluster.worker_protocol import PaceOrder, StopOrder
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.deadline import now_ms, seconds_left


@dataclass(frozen=True, slots=True)
class DelayedRetry:
    """A stop that failed, and the time when it is sent again."""

    queued: 'QueuedOrder'
    due_ms: int


@dataclass(frozen=True, slots=True)
class QueuedOrder:
    """An order and the time when it was queued."""

    order: Order
    queued_ms: int


class OrderQueue:
    """Returns orders that free capacity or limit interference first.

    A stop that failed is delayed for a while, so that one run that cannot be
    stopped does not keep others from starting. No order overtakes the start of
    its own run.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._delayed: deque[DelayedRetry] = deque()
        self._stops: deque[QueuedOrder] = deque()
        self._paces: deque[QueuedOrder] = deque()
        self._starts: deque[QueuedOrder] = deque()
        self._lock = threading.Lock()

    def put(self, queued: QueuedOrder) -> None:
        """Add an order behind the other orders of its kind."""
        lane = self._lane(queued)
        with self._lock:
            if lane is not self._starts:
                self._advance_start(queued, lane)
            lane.append(queued)

    def put_delayed(self, stop: DelayedRetry) -> None:
        """Delay a stop until it is due; other orders are not delayed."""
        with self._lock:
            self._delayed.append(stop)

    def pop(self) -> QueuedOrder | None:
        """Return the next order, None if none is due."""
        with self._lock:
            self._enqueue_due()
            lane = self._stops or self._paces or self._starts
            return lane.popleft() if lane else None

    def seconds_until_due(self) -> float | None:
        """Return the time until a stop is due, None if none is delayed."""
        with self._lock:
            due_ms = min((stop.due_ms for stop in self._delayed), default=0)
        return seconds_left(due_ms) if due_ms else None

    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""
        with self._lock:
            delayed = (stop.queued for stop in self._delayed)
            lanes = (*delayed, *self._stops, *self._paces, *self._starts)
        at_ms = now_ms()
        oldest_ms = min((queued.queued_ms for queued in lanes), default=at_ms)
        return len(lanes), at_ms - oldest_ms

    def _enqueue_due(self) -> None:
        """Queue the delayed stops that are due behind the other stops."""
        at_ms = now_ms()
        for stop in tuple(self._delayed):
            if stop.due_ms <= at_ms:
                self._delayed.remove(stop)
                self._stops.append(stop.queued)

    def _advance_start(
        self, queued: QueuedOrder, lane: deque[QueuedOrder]
    ) -> None:
        """Move the start of the same run ahead if it is still queued."""
        for start in tuple(self._starts):
            if start.order.key == queued.order.key:
                self._starts.remove(start)
                lane.append(start)

    def _lane(self, queued: QueuedOrder) -> deque[QueuedOrder]:
        if isinstance(queued.order, StopOrder):
            return self._stops
        if isinstance(queued.order, PaceOrder):
            return self._paces
        return self._starts
