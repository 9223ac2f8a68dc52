"""Counters and latency histograms of one instance.

Each work class has a histogram over the lifetime of the process. In addition,
requests within and outside the objective are counted in one-minute slots, from
which the burn report computes its windows.
"""

import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.document import ActiveDocuments
from gentianpulley.result_code import Outcome, ResultCode

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
SLOT_MS: Final = 60 * MS_PER_SECOND
MAX_SLOTS: Final = 360
_NS_PER_US: Final = 1000
_QUANTILES: Final = (50.0, 99.0, 99.9)
_PERCENT: Final = 100
QUANTILE_DIGITS: Final = 3


@dataclass(frozen=True, slots=True)
class Timer:
    """The arrival time of a request in monotonic clock nanoseconds."""

    started_ns: int

    def elapsed_us(self) -> int:
        """Return the elapsed time since the start in microseconds."""
        return (time.monotonic_ns() - self.started_ns) // _NS_PER_US


@dataclass(slots=True)
class Slot:
    """Counts of the requests of one class that ended within one minute."""

    starts_ms: int
    total: int = 0
    bad: int = 0


@dataclass(frozen=True, slots=True)
class ClassMetrics:
    """The metrics of one work class that one instance exports."""

    work_class: str
    histogram: str
    slots: tuple[Slot, ...]


class Metrics:
    """Collects the measurements of one instance."""

    def __init__(self, documents: ActiveDocuments) -> None:
        """Compare requests with the objectives of the active cfg."""
        self._documents = documents
        self._lock = threading.Lock()
        self._codes: dict[tuple[str, int], int] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._slots: dict[str, deque[Slot]] = {}

    def start_timer(self) -> Timer:
        """Return a timer that starts now."""
        return Timer(time.monotonic_ns())

    def observe(self, work_class: str, code: ResultCode, timer: Timer) -> None:
        """Count a request that ended with `code`."""
        elapsed_us = timer.elapsed_us()
        with self._lock:
            counter_key = (work_class, code.number)
            self._codes[counter_key] = self._codes.get(counter_key, 0) + 1
            histogram = self._histograms.setdefault(
                work_class, _new_histogram()
            )
            histogram.record_value(max(MIN_LATENCY_US, elapsed_us))
            slot = self._slot(work_class)
            slot.total += 1
            slot.bad += int(
                self._is_outside_objective(work_class, code, elapsed_us)
            )

    def export(self) -> tuple[ClassMetrics, ...]:
        """Return histograms and slots of all classes."""
        with self._lock:
            return tuple(
                ClassMetrics(
                    name,
                    histogram.encode().decode(),
                    tuple(self._slots.get(name, ())),
                )
                for name, histogram in self._histograms.items()
            )

    def render(self, gauges: dict[str, int]) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'gentianpulley_{name} {amount}' for name, amount in gauges.items()
        ]
        with self._lock:
            lines.extend(
                _counter_line(name, number, count)
                for (name, number), count in sorted(self._codes.items())
            )
            for work_class, histogram in sorted(self._histograms.items()):
                lines.extend(_quantile_lines(work_class, histogram))
        return '\n'.join((*lines, ''))

    def _slot(self, work_class: str) -> Slot:
        slots = self._slots.setdefault(work_class, deque(maxlen=MAX_SLOTS))
        starts_ms = now_ms() // SLOT_MS * SLOT_MS
        if not slots or slots[-1].starts_ms != starts_ms:
            slots.append(Slot(starts_ms))
        return slots[-1]

    def _is_outside_objective(
        self, work_class: str, code: ResultCode, elapsed_us: int
    ) -> bool:
        """Return whether a request is outside the objective of its class.

        Invalid requests and requests cancelled by callers do not count.
        """
        cfg = self._documents.cfg
        class_cfg = cfg.classes.get(work_class) if cfg else None
        objective = class_cfg.objective if class_cfg else None
        if code.outcome is not Outcome.DONE:
            return True
        if objective is None:
            return False
        return elapsed_us > objective.latency_ms * MS_PER_SECOND


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _counter_line(work_class: str, number: int, count: int) -> str:
    labels = f'class="{work_class}",code="{number}"'
    return f'gentianpulley_requests_total{{{labels}}} {count}'


def _quantile_lines(work_class: str, histogram: HdrHistogram) -> list[str]:
    name = 'gentianpulley_latency_us'
    label = f'class="{work_class}"'
    count = histogram.get_total_count()
    lines = [f'{name}_count{{{label}}} {count}']
    for percentile in _QUANTILES:
        quantile = round(percentile / _PERCENT, QUANTILE_DIGITS)
        latency_us = histogram.get_value_at_percentile(percentile)
        lines.append(f'{name}{{{label},quantile="{quantile}"}} {latency_us}')
    return lines
