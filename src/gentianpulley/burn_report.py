"""Computes the report on service-level burn rates.

The burn rate of a window is the fraction of requests that missed their
objective, divided by the fraction that may miss it. At a rate of one, the
error budget is used up exactly at the end of the period; a rate of 10 over
the short window requires an operator to act.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

from gentianpulley.cfg import DEFAULT_TARGET_SHARE, ClusterCfg
from gentianpulley.deadline import now_ms
from gentianpulley.metrics import (
    MAX_LATENCY_US,
    MIN_LATENCY_US,
    SIGNIFICANT_DIGITS,
    ClassMetrics,
    Slot,
)
from gentianpulley.cluster_client import MeasurementReply

SHORT_WINDOW_MS: Final = 300_000
LONG_WINDOW_MS: Final = 3_600_000
BUDGET_WINDOW_MS: Final = 21_600_000
_MEDIAN: Final = 50.0
_P99: Final = 99.0
_P999: Final = 99.9


@dataclass(frozen=True, slots=True)
class Latencies:
    """Latency quantiles in microseconds."""

    p50_us: int
    p99_us: int
    p999_us: int


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn rates of one class in one failure domain.

    `budget_left` is the fraction of the error budget that remains after the
    last six hours; it is negative when the budget was exceeded.
    """

    work_class: str
    failure_domain: str
    total: int
    bad: int
    short_burn: float
    long_burn: float
    budget_left: float
    latencies: Latencies


@dataclass(frozen=True, slots=True)
class UnreachableInstance:
    """An instance whose measurements are missing, with the reason."""

    instance: str
    failure_domain: str
    problem: str


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Rows per class and failure domain, sorted by burn rate, highest first."""

    at_ms: int
    rows: tuple[BurnRow, ...]
    unreachable: tuple[UnreachableInstance, ...]


def build_burn_report(
    cfg: ClusterCfg, replies: tuple[MeasurementReply, ...]
) -> BurnReport:
    """Build the report from the merged measurements of all instances."""
    groups: dict[tuple[str, str], list[ClassMetrics]] = {}
    for reply in replies:
        for measured in reply.classes:
            group = (measured.work_class, reply.place.failure_domain)
            groups.setdefault(group, []).append(measured)
    rows = [
        _row(cfg, work_class, domain, metrics)
        for (work_class, domain), metrics in groups.items()
    ]
    rows.sort(key=_sort_key)
    return BurnReport(now_ms(), tuple(rows), _unreachable(replies))


def _sort_key(row: BurnRow) -> tuple[float, float]:
    """Return a sort key that puts the highest burn rate first."""
    return (-row.short_burn, -row.long_burn)


def _unreachable(
    replies: tuple[MeasurementReply, ...],
) -> tuple[UnreachableInstance, ...]:
    return tuple(
        UnreachableInstance(
            reply.place.instance, reply.place.failure_domain, reply.problem
        )
        for reply in replies
        if reply.problem
    )


def _row(
    cfg: ClusterCfg, name: str, domain: str, measured: list[ClassMetrics]
) -> BurnRow:
    work_class = cfg.classes.get(name)
    objective = work_class.objective if work_class else None
    target = objective.target_share if objective else DEFAULT_TARGET_SHARE
    slots = [slot for part in measured for slot in part.slots]
    recent = _slots_within(slots, BUDGET_WINDOW_MS)
    return BurnRow(
        work_class=name,
        failure_domain=domain,
        total=sum(slot.total for slot in recent),
        bad=sum(slot.bad for slot in recent),
        short_burn=_burn_rate(_slots_within(slots, SHORT_WINDOW_MS), target),
        long_burn=_burn_rate(_slots_within(slots, LONG_WINDOW_MS), target),
        budget_left=1 - _burn_rate(recent, target),
        latencies=_merge_latencies(measured),
    )


def _slots_within(slots: Iterable[Slot], window_ms: int) -> list[Slot]:
    since_ms = now_ms() - window_ms
    return [slot for slot in slots if slot.starts_ms >= since_ms]


def _burn_rate(slots: list[Slot], target: float) -> float:
    total = sum(slot.total for slot in slots)
    bad = sum(slot.bad for slot in slots)
    if not total:
        return 0
    return bad / total / (1 - target)


def _merge_latencies(measured: list[ClassMetrics]) -> Latencies:
    merged = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for part in measured:
        merged.decode_and_add(part.histogram)
    return Latencies(
        merged.get_value_at_percentile(_MEDIAN),
        merged.get_value_at_percentile(_P99),
        merged.get_value_at_percentile(_P999),
    )
