"""The orders that wait for one worker's session, with their ages."""

import queue

from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.deadline import now_ms


class OrderQueue:
    """Orders in the order in which they came; None wakes the reader up.

    An order that is put again while it is being sent keeps its age.
    """

    def __init__(self) -> None:
        """Hold no order."""
        self._orders: queue.SimpleQueue[Order | None] = queue.SimpleQueue()
        self._queued_ms: dict[Order, int] = {}
        self._again: set[Order] = set()

    def put(self, order: Order) -> None:
        """Append an order."""
        if order in self._queued_ms:
            self._again.add(order)
        else:
            self._queued_ms[order] = now_ms()
        self._orders.put(order)

    def wake(self) -> None:
        """Let the reader go on without an order."""
        self._orders.put(None)

    def get(self) -> Order | None:
        """Wait for the next order; it counts as queued until `done`."""
        return self._orders.get()

    def done(self, order: Order) -> None:
        """Forget since when an order waits, unless it was put again."""
        if order in self._again:
            self._again.discard(order)
        else:
            self._queued_ms.pop(order, None)

    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""
        queued_ms = tuple(self._queued_ms.values())
        at_ms = now_ms()
        return len(queued_ms), at_ms - min(queued_ms, default=at_ms)
