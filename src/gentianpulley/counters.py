"""Counters and latency histograms of one process, as text for Prometheus.

Any thread may update them. Latencies are recorded in microseconds with two
significant digits.
"""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
PREFIX: Final = 'gentianpulley_'
_US_PER_S: Final = 1_000_000
_PERCENTILES: Final = (50, 90, 99)
_PERCENT: Final = 100


class Counters:
    """Counts, gauges and latency histograms, by name."""

    def __init__(self) -> None:
        """Start at zero."""
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, int] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a count."""
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + amount

    def count(self, name: str) -> int:
        """Return a count."""
        return self._counts.get(name, 0)

    def set(self, name: str, amount: int) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name] = amount

    def observe(self, name: str, latency_us: int) -> None:
        """Record a latency, clamped to the range of the histogram."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._histograms[name] = histogram
            clamped_us = max(MIN_LATENCY_US, min(MAX_LATENCY_US, latency_us))
            histogram.record_value(clamped_us)

    @contextmanager
    def timed(self, name: str, expected_s: float = 0) -> Iterator[None]:
        """Record how much longer than `expected_s` a block takes."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            elapsed_s = time.monotonic() - started_s - expected_s
            self.observe(name, int(elapsed_s * _US_PER_S))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = [
                f'{PREFIX}{name}_total {amount}'
                for name, amount in sorted(self._counts.items())
            ]
            lines.extend(
                f'{PREFIX}{name} {amount}'
                for name, amount in sorted(self._gauges.items())
            )
            for name, histogram in sorted(self._histograms.items()):
                lines.extend(_histogram_lines(name, histogram))
        return '\n'.join((*lines, ''))


def create_counters() -> Counters:
    """Return counters at zero."""
    return Counters()


def _histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    metric = f'{PREFIX}{name}_us'
    lines = [f'{metric}_count {histogram.get_total_count()}']
    for percentile in _PERCENTILES:
        latency = histogram.get_value_at_percentile(percentile)
        quantile = percentile / _PERCENT
        lines.append(f'{metric}{{quantile="{quantile}"}} {latency}')
    return lines
