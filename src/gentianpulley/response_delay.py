"""Estimates response delays of one connection as TCP does (RFC 6298)."""

from typing import Final

SMOOTHING_DIVISOR: Final = 8
"""A sample has the weight 1 / SMOOTHING_DIVISOR in the smoothed delay."""

VARIATION_SMOOTHING_DIVISOR: Final = 4
"""The same for the variation, with this divisor."""

VARIATION_MULTIPLIER: Final = 4
"""The timeout is the smoothed delay plus this many variations."""


class ResponseDelayEstimator:
    """Smoothed delay and variation of responses.

    The timeout that follows from them stays between two limits.
    """

    def __init__(self, min_timeout_ms: int, max_timeout_ms: int) -> None:
        """Start at the minimum timeout, as there is no sample yet."""
        self._min_timeout_ms = min_timeout_ms
        self._max_timeout_ms = max(min_timeout_ms, max_timeout_ms)
        self._delay_ms: float | None = None
        self._variation_ms: float = 0
        self.timeout_ms = min_timeout_ms

    @property
    def max_timeout_ms(self) -> int:
        """Return the upper limit of the timeout."""
        return self._max_timeout_ms

    def add_sample(self, delay_ms: int) -> None:
        """Update the estimate with the delay of one response."""
        if self._delay_ms is None:
            self._delay_ms = delay_ms
            self._variation_ms = delay_ms / 2
        else:
            error = delay_ms - self._delay_ms
            variation_error = abs(error) - self._variation_ms
            self._variation_ms += variation_error / VARIATION_SMOOTHING_DIVISOR
            self._delay_ms += error / SMOOTHING_DIVISOR
        self._set_timeout(
            self._delay_ms + VARIATION_MULTIPLIER * self._variation_ms
        )

    def back_off(self) -> None:
        """Allow twice the timeout until the next sample corrects it."""
        self._set_timeout(2 * self.timeout_ms)

    def _set_timeout(self, estimate_ms: float) -> None:
        raised_ms = max(self._min_timeout_ms, int(estimate_ms))
        self.timeout_ms = min(self._max_timeout_ms, raised_ms)
