"""Bounds the starts that a leader has under way by what its link carries.

Answers the pattern of many starts with payloads on a narrow link: all other
calls would wait behind them. What is held back goes on waiting in the order of
its priority, and is placed where there is room by then.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.worker_protocol import RunKey, StartOrder
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.deadline import MS_PER_SECOND

MAX_LINK_BUSY_MS: Final = 100
"""How long the starts under way may keep the whole link busy."""

START_OVERHEAD_BYTES: Final = 500
"""What a start takes beside its payload: names, heads and packets."""

IN_FLIGHT_TIMEOUT_MS: Final = 2000
"""A start without an answer counts for so long; its bytes have left the link
by then."""


@dataclass(frozen=True, slots=True)
class _UnderWay:
    """A start without an answer."""

    worker_id: str
    size_bytes: int
    until_ms: int


class StartLimiter:
    """The starts under way of one leader."""

    def __init__(self, max_in_flight_bytes: int) -> None:
        """Have none under way yet."""
        self._most_bytes = max_in_flight_bytes
        self._bytes = 0
        self._starts: dict[RunKey, _UnderWay] = {}

    @property
    def has_capacity(self) -> bool:
        """Return whether another start may go, whatever its size.

        One always may while none is under way.
        """
        return self._bytes < self._most_bytes

    def add(self, order: StartOrder, now_ms: int) -> None:
        """Count a start that is ordered."""
        until_ms = now_ms + IN_FLIGHT_TIMEOUT_MS
        size_bytes = _size_bytes(order)
        self._starts[order.key] = _UnderWay(
            order.worker_id, size_bytes, until_ms
        )
        self._bytes += size_bytes

    def remove(self, key: RunKey) -> None:
        """Count a start no longer."""
        start = self._starts.pop(key, None)
        if start is not None:
            self._bytes -= start.size_bytes

    def remove_answered(
        self, workers: Mapping[str, Worker], now_ms: int
    ) -> None:
        """Count the starts no longer that nothing is awaited of."""
        for key, start in tuple(self._starts.items()):
            worker = workers.get(start.worker_id)
            charge = worker.reservations.get(key) if worker else None
            if now_ms >= start.until_ms or not _awaits_answer(charge):
                self.remove(key)


def create_start_limiter(link_bytes_s: int) -> StartLimiter:
    """Return the bound of a leader with such a link."""
    most_bytes = link_bytes_s * MAX_LINK_BUSY_MS // MS_PER_SECOND
    return StartLimiter(max(1, most_bytes))


def _size_bytes(order: StartOrder) -> int:
    told = (order.payload, order.checkpoint, order.ticket)
    return START_OVERHEAD_BYTES + sum(map(len, told))


def _awaits_answer(charge: Reservation | None) -> bool:
    """Return whether the first sending of a run's start may be under way."""
    if charge is None or charge.has_lost_start:
        return False
    return not charge.confirmed_ms and not charge.stop_confirmed_ms
