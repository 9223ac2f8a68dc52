"""Measures a leader's plans and orders, and tells the figures each second."""

import threading
import time
from collections import Counter
from collections.abc import Mapping
from typing import Final

from gentianpulley.cluster.plan_report import PlanReport, WaitingStep
from gentianpulley.counters import Counters
from gentianpulley.logs import EventLog

REPORT_INTERVAL_S: Final = 1.0
"""Time between two reports."""

_US_PER_S: Final = 1_000_000

MetricValues = dict[str, int]


class PlanTrigger(threading.Event):
    """Says that there is something to plan, and since when."""

    def __init__(self) -> None:
        """Begin with nothing to plan."""
        super().__init__()
        self._since_s: float = 0

    def set(self) -> None:
        """Note that something came."""
        self._since_s = self._since_s or time.monotonic()
        super().set()

    def pop_lag_s(self) -> float:
        """Return how long the first event has waited for the plan of now."""
        since_s = self._since_s
        self._since_s = 0
        return time.monotonic() - since_s if since_s else 0


class PlanMetrics:
    """Collects the figures of one second; used by the thread that plans."""

    def __init__(self, counters: Counters, log: EventLog) -> None:
        """Begin a second."""
        self._counters = counters
        self._log = log
        self._costs_s: list[float] = []
        self._lags_s: list[float] = []
        self._ordered: Counter[str] = Counter()
        self._told: set[str] = set()
        self._next_s = time.monotonic() + REPORT_INTERVAL_S

    def record_plan(self, cost_s: float, lag_s: float) -> None:
        """Note a plan: its cost, and how long its first event waited."""
        self._costs_s.append(cost_s)
        self._lags_s.append(lag_s)
        self._counters.observe('plan_lag', int(lag_s * _US_PER_S))

    def record_order(self, kind: str) -> None:
        """Count an order that is passed on to a session."""
        self._ordered[kind] += 1
        self._counters.add(f'ordered_{kind}')

    def is_due(self) -> bool:
        """Return whether a second is over."""
        return time.monotonic() >= self._next_s

    def publish(
        self, report: PlanReport, backlogs: list[tuple[int, int]]
    ) -> None:
        """Write the figures of the second and begin the next one.

        Backlogs are the lengths of the sessions' queues and the ages of their
        oldest orders in milliseconds.
        """
        self._next_s = time.monotonic() + REPORT_INTERVAL_S
        figures = {
            'plans': len(self._costs_s),
            **_spread('plan', self._costs_s),
            **_spread('lag', self._lags_s),
            **_named('ordered', self._ordered),
            'queued': sum(length for length, _ in backlogs),
            'queued_most': max((length for length, _ in backlogs), default=0),
            'queued_oldest_ms': max((age for _, age in backlogs), default=0),
            **_figures_of(report),
        }
        self._costs_s = []
        self._lags_s = []
        self._ordered = Counter()
        self._set_gauges(figures)
        self._log.plan_report(
            figures,
            **_names_of('oldest', report.oldest),
            **_names_of('endless', report.oldest_endless),
        )

    def _set_gauges(self, figures: MetricValues) -> None:
        """Set the gauges; what is not told any more goes back to zero."""
        for gone in self._told - figures.keys():
            self._counters.set(f'leader_{gone}', 0)
        self._told = set(figures)
        for name, figure in figures.items():
            self._counters.set(f'leader_{name}', figure)


def _figures_of(report: PlanReport) -> MetricValues:
    return {
        **_named('waiting', report.waiting),
        **_age_of('oldest', report.oldest),
        **_age_of('endless', report.oldest_endless),
        **_named('reserved_milli', report.reserved_milli),
        **_named('workers', report.workers),
        'lists_half_ms': report.listing_ages.median_ms,
        'lists_most_ms': report.listing_ages.p95_ms,
        'lists_oldest_ms': report.listing_ages.max_ms,
    }


def _named(prefix: str, counts: Mapping[str, int]) -> MetricValues:
    return {f'{prefix}_{name}': count for name, count in counts.items()}


def _spread(name: str, lengths_s: list[float]) -> MetricValues:
    ordered = sorted(lengths_s) or [0]
    half = ordered[len(ordered) // 2]
    return {
        f'{name}_half_us': int(half * _US_PER_S),
        f'{name}_most_us': int(ordered[-1] * _US_PER_S),
    }


def _age_of(name: str, step: WaitingStep | None) -> MetricValues:
    return {f'{name}_waits_ms': step.age_ms} if step else {}


def _names_of(name: str, step: WaitingStep | None) -> dict[str, str]:
    if step is None:
        return {}
    return {
        f'{name}_job': step.job_id,
        f'{name}_task': step.task,
        f'{name}_reason': step.reason,
    }
