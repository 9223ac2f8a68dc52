"""Measures a leader's plans and orders, and publishes metrics each second."""

import threading
import time
from collections import Counter
from collections.abc import Mapping
from typing import Final

from gentianpulley.cluster.customer_report import customer_metrics
from gentianpulley.cluster.image_separation import DecidedSeparation
from gentianpulley.cluster.plan_report import PlanReport, WaitingStep
from gentianpulley.cluster.restart_report import WaitingRestart
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.counters import Counters
from gentianpulley.logs import EventLog

REPORT_INTERVAL_S: Final = 1.0
"""Time between two reports."""

_US_PER_S: Final = 1_000_000

_MILLI: Final = 1000

MetricValues = dict[str, int]


class PlanTrigger(threading.Event):
    """Signals that there is something to plan, and since when."""

    def __init__(self) -> None:
        """Start with nothing to plan."""
        super().__init__()
        self._since_s: float = 0

    def set(self) -> None:
        """Signal that there is something to plan."""
        self._since_s = self._since_s or time.monotonic()
        super().set()

    def pop_lag_s(self) -> float:
        """Return how long the first event has waited for this plan."""
        since_s = self._since_s
        self._since_s = 0
        return time.monotonic() - since_s if since_s else 0


class PlanMetrics:
    """Collects the metrics of one second; used by the planning thread.

    Orders are recorded by any thread.
    """

    def __init__(self, counters: Counters, log: EventLog) -> None:
        """Start the first second."""
        self._counters = counters
        self._log = log
        self._costs_s: list[float] = []
        self._lags_s: list[float] = []
        self._ordered: Counter[str] = Counter()
        self._ordered_lock = threading.Lock()
        self._published: set[str] = set()
        self._logged_separation: DecidedSeparation | None = None
        self._next_s = time.monotonic() + REPORT_INTERVAL_S

    def record_plan(self, cost_s: float, lag_s: float) -> None:
        """Record a plan: its cost, and how long its first event waited."""
        self._costs_s.append(cost_s)
        self._lags_s.append(lag_s)
        self._counters.observe('plan_lag', int(lag_s * _US_PER_S))

    def record_order(self, kind: str) -> None:
        """Count an order that is passed on to a session."""
        with self._ordered_lock:
            self._ordered[kind] += 1
        self._counters.add(f'ordered_{kind}')

    def is_due(self) -> bool:
        """Return whether the current second is over."""
        return time.monotonic() >= self._next_s

    def publish(
        self, report: PlanReport, backlogs: list[tuple[int, int]]
    ) -> None:
        """Publish the metrics of the second and start the next one.

        Backlogs are the lengths of the sessions' queues and the ages of their
        oldest orders in milliseconds.
        """
        self._next_s = time.monotonic() + REPORT_INTERVAL_S
        metrics = {
            'plans': len(self._costs_s),
            **_median_and_max('plan', self._costs_s),
            **_median_and_max('lag', self._lags_s),
            **_prefixed('ordered', self._take_ordered()),
            'queued': sum(length for length, _ in backlogs),
            'queued_most': max((length for length, _ in backlogs), default=0),
            'queued_oldest_ms': max((age for _, age in backlogs), default=0),
            **_report_metrics(report),
        }
        self._costs_s = []
        self._lags_s = []
        self._set_gauges({**metrics, **customer_metrics(report.customers)})
        self._log.plan_report(
            metrics,
            **_step_fields('oldest', report.oldest),
            **_step_fields('endless', report.oldest_endless),
            **_restart_fields(report.restart),
            **_awaited_field(report),
        )
        self._log_separation(report.separation)

    def _log_separation(self, decided: DecidedSeparation | None) -> None:
        """Log a decision that differs noticeably from the one logged last."""
        if decided is None or not decided.differs_from(self._logged_separation):
            return
        self._logged_separation = decided
        self._log.images_separated(_separation_metrics(decided))

    def _take_ordered(self) -> Counter[str]:
        """Return the orders by kind, and start to count the next ones."""
        with self._ordered_lock:
            ordered = self._ordered
            self._ordered = Counter()
        return ordered

    def _set_gauges(self, metrics: MetricValues) -> None:
        """Set the gauges; those no longer reported are reset to zero."""
        for gone in self._published - metrics.keys():
            self._counters.set(f'leader_{gone}', 0)
        self._published = set(metrics)
        for name, metric in metrics.items():
            self._counters.set(f'leader_{name}', metric)


def _report_metrics(report: PlanReport) -> MetricValues:
    return {
        **_prefixed('waiting', report.waiting),
        **_age_metric('oldest', report.oldest),
        **_age_metric('endless', report.oldest_endless),
        **_restart_metrics(report.restart),
        **_prefixed('reserved_milli', report.reserved_milli),
        **_prefixed('workers', report.workers),
        **_separation_metrics(report.separation),
        'workers_held': report.held_count,
        'lists_half_ms': report.listing_ages.median_ms,
        'lists_most_ms': report.listing_ages.p95_ms,
        'lists_oldest_ms': report.listing_ages.max_ms,
    }


def _separation_metrics(decided: DecidedSeparation | None) -> MetricValues:
    """Return the costs in thousandths, and what they were decided from."""
    if decided is None:
        return {}
    separation = decided.separation
    return {
        'separation_cost_milli': round(separation.other_image_cost * _MILLI),
        'violation_cost_milli': round(separation.violation_cost * _MILLI),
        'separation_images': decided.load.images,
        'separation_workers': decided.load.workers,
        'separation_free_workers': decided.load.free_workers,
        'best_effort_idle_ms': decided.load.idle_ms,
    }


def _prefixed(prefix: str, counts: Mapping[str, int]) -> MetricValues:
    return {f'{prefix}_{name}': count for name, count in counts.items()}


def _median_and_max(name: str, lengths_s: list[float]) -> MetricValues:
    sorted_s = sorted(lengths_s) or [0]
    median_s = sorted_s[len(sorted_s) // 2]
    return {
        f'{name}_half_us': int(median_s * _US_PER_S),
        f'{name}_most_us': int(sorted_s[-1] * _US_PER_S),
    }


def _age_metric(name: str, step: WaitingStep | None) -> MetricValues:
    return {f'{name}_waits_ms': step.age_ms} if step else {}


def _step_fields(name: str, step: WaitingStep | None) -> dict[str, str]:
    if step is None:
        return {}
    return {
        f'{name}_job': step.job_id,
        f'{name}_task': step.task,
        f'{name}_reason': step.reason,
    }


def _restart_metrics(restart: WaitingRestart | None) -> MetricValues:
    if restart is None:
        return {}
    return {
        'restarts_waiting': restart.count,
        'restart_waits_ms': restart.age_ms,
        'restart_needs_milli': restart.needs_milli,
        'restart_free_milli': restart.free_milli,
        'restart_slots': restart.slots,
        'restart_unused_slots': restart.unused_slots,
    }


def _restart_fields(restart: WaitingRestart | None) -> dict[str, str]:
    if restart is None:
        return {}
    return {
        'restart_job': restart.job_id,
        'restart_task': restart.task,
        'restart_reason': restart.reason,
    }


def _awaited_field(report: PlanReport) -> dict[str, str]:
    """Return whom inherited work waits for, while some does."""
    if WaitReason.INHERITED not in report.waiting or not report.awaited:
        return {}
    return {'awaited': ', '.join(map(str, report.awaited))}
