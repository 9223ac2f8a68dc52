"""Limits the starts that a leader has in flight to what its link can carry.

Handles the load of many starts with payloads on a narrow link: all other calls
would wait behind them. Tasks that are held back keep waiting in the order of
their priority, and are placed where there is free capacity by then.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.worker_protocol import RunKey, StartOrder
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.deadline import MS_PER_SECOND

MAX_LINK_BUSY_MS: Final = 100
"""How long the starts in flight may keep the whole link busy."""

START_OVERHEAD_BYTES: Final = 500
"""Size of a start beside its payload: names, headers and packet overhead."""

IN_FLIGHT_TIMEOUT_MS: Final = 2000
"""How long a start without a reply counts as in flight; its bytes have left the
link by then."""


@dataclass(frozen=True, slots=True)
class _InFlightStart:
    """A start without a reply."""

    worker_id: str
    size_bytes: int
    until_ms: int


class StartLimiter:
    """The starts in flight of one leader."""

    def __init__(self, max_in_flight_bytes: int) -> None:
        """Start with none in flight."""
        self._max_bytes = max_in_flight_bytes
        self._bytes = 0
        self._starts: dict[RunKey, _InFlightStart] = {}

    @property
    def has_capacity(self) -> bool:
        """Return whether another start may be sent, whatever its size.

        One always may while none is in flight.
        """
        return self._bytes < self._max_bytes

    def add(self, order: StartOrder, now_ms: int) -> None:
        """Count an ordered start as in flight."""
        until_ms = now_ms + IN_FLIGHT_TIMEOUT_MS
        size_bytes = _size_bytes(order)
        self._starts[order.key] = _InFlightStart(
            order.worker_id, size_bytes, until_ms
        )
        self._bytes += size_bytes

    def remove(self, key: RunKey) -> None:
        """Stop counting a start as in flight."""
        start = self._starts.pop(key, None)
        if start is not None:
            self._bytes -= start.size_bytes

    def remove_answered(
        self, workers: Mapping[str, Worker], now_ms: int
    ) -> None:
        """Remove the starts that no longer await a reply."""
        for key, start in tuple(self._starts.items()):
            worker = workers.get(start.worker_id)
            reservation = worker.reservations.get(key) if worker else None
            if now_ms >= start.until_ms or not _awaits_reply(reservation):
                self.remove(key)


def create_start_limiter(link_bytes_s: int) -> StartLimiter:
    """Return the limiter of a leader with this link bandwidth."""
    max_bytes = link_bytes_s * MAX_LINK_BUSY_MS // MS_PER_SECOND
    return StartLimiter(max(1, max_bytes))


def _size_bytes(order: StartOrder) -> int:
    texts = (order.payload, order.checkpoint, order.ticket)
    return START_OVERHEAD_BYTES + sum(map(len, texts))


def _awaits_reply(reservation: Reservation | None) -> bool:
    """Return whether the first sending of a run's start may be in flight."""
    if reservation is None or reservation.has_lost_start:
        return False
    return not reservation.confirmed_ms and not reservation.stop_confirmed_ms
