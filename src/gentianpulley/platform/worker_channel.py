"""One connection to a worker and its response delay, for use by one task."""

from typing import Final

import msgspec

from gentianpulley.deadline import now_ms
from gentianpulley.response_delay import ResponseDelayEstimator
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.http_conn import Headers, HttpAddress, HttpResponse
from gentianpulley.keep_alive import KeepAliveConn, ResponseDeadlines

MIN_RESPONSE_MARGIN_MS: Final = 500
"""Minimum allowance for a late response. A response to an order takes one round
trip, which is a few ms between failure domains."""


class WorkerChannel:
    """Calls one worker with a timeout adapted to its past response delays."""

    def __init__(
        self,
        address: HttpAddress,
        headers: Headers,
        max_response_margin_ms: int,
    ) -> None:
        """Connect on the first call."""
        self._conn = KeepAliveConn(address, headers)
        self._delay = ResponseDelayEstimator(
            MIN_RESPONSE_MARGIN_MS, max_response_margin_ms
        )

    async def call(
        self, path: str, wire: msgspec.Struct, wait_ms: int = 0
    ) -> HttpResponse:
        """Send a message; the worker may wait `wait_ms` before it responds.

        Raises `WorkerUnreachableError` if nothing was sent and
        `WorkerSilentError` if no response arrived.
        """
        body = msgspec.json.encode(wire)
        due_ms = now_ms() + wait_ms
        deadlines = ResponseDeadlines(
            due_ms + self._delay.timeout_ms,
            self._delay.timeout_ms,
            due_ms + self._delay.max_timeout_ms,
        )
        try:
            response = await self._conn.post(
                f'/gentianpulley/{path}', body, deadlines
            )
        except HttpUnreachableError as exc:
            raise WorkerUnreachableError(exc.text) from exc
        except HttpSilentError as exc:
            self._delay.back_off()
            raise WorkerSilentError(exc.text) from exc
        late_ms = now_ms() - due_ms
        if late_ms >= 0:
            # A response before the end of the wait does not show the delay.
            self._delay.add_sample(late_ms)
        return response

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()
