"""How long answers take on one connection, as TCP estimates it (RFC 6298)."""

from typing import Final

SMOOTHING_DIVISOR: Final = 8
"""A new time counts for one part in so many of the smoothed delay."""

VARIATION_SMOOTHING_DIVISOR: Final = 4
"""The same for the variation."""

VARIATION_MULTIPLIER: Final = 4
"""An answer is late when it is so many variations above the delay."""


class ResponseDelayEstimator:
    """Smoothed delay and variation of answers, between two bounds."""

    def __init__(self, min_timeout_ms: int, max_timeout_ms: int) -> None:
        """Begin at the floor, as no answer is known yet."""
        self._floor_ms = min_timeout_ms
        self._ceiling_ms = max(min_timeout_ms, max_timeout_ms)
        self._delay_ms: float | None = None
        self._variation_ms: float = 0
        self.timeout_ms = min_timeout_ms

    @property
    def max_timeout_ms(self) -> int:
        """Return the longest that an answer is ever allowed."""
        return self._ceiling_ms

    def add_sample(self, took_ms: int) -> None:
        """Learn from an answer."""
        if self._delay_ms is None:
            self._delay_ms = took_ms
            self._variation_ms = took_ms / 2
        else:
            error = took_ms - self._delay_ms
            spread = abs(error) - self._variation_ms
            self._variation_ms += spread / VARIATION_SMOOTHING_DIVISOR
            self._delay_ms += error / SMOOTHING_DIVISOR
        self._allow(self._delay_ms + VARIATION_MULTIPLIER * self._variation_ms)

    def back_off(self) -> None:
        """Allow twice as much until the next answer tells better."""
        self._allow(2 * self.timeout_ms)

    def _allow(self, wanted_ms: float) -> None:
        above_floor = max(self._floor_ms, int(wanted_ms))
        self.timeout_ms = min(self._ceiling_ms, above_floor)
