"""What customers hold against their ceilings, for metrics."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.resources import Resources

_KINDS = ('processors_milli', 'memory_mib', 'accelerators')


@dataclass(frozen=True, slots=True)
class CustomerReport:
    """What one customer has running, and its ceiling (zero: none)."""

    name: str
    runs: int
    held: Resources
    ceiling: Resources


def create_customer_reports(usage: CustomerUsage) -> tuple[CustomerReport, ...]:
    """Return a report on each customer, without its keys."""
    return tuple(
        CustomerReport(
            name, holding.runs, holding.as_resources(), usage.ceiling_of(name)
        )
        for name, holding in usage.holdings()
    )


def customer_metrics(reports: Iterable[CustomerReport]) -> dict[str, int]:
    """Return the metrics of customers, with their names as labels."""
    return {
        name: amount for report in reports for name, amount in _metrics(report)
    }


def _metrics(report: CustomerReport) -> Iterator[tuple[str, int]]:
    label = f'{{customer="{_escape(report.name)}"}}'
    yield f'customer_runs{label}', report.runs
    for kind, held in zip(_KINDS, report.held.as_tuple(), strict=True):
        yield f'customer_held_{kind}{label}', held
    for kind, limit in zip(_KINDS, report.ceiling.as_tuple(), strict=True):
        yield f'customer_ceiling_{kind}{label}', limit


def _escape(name: str) -> str:
    """Return a name as the text format of Prometheus has it in a label."""
    escaped = name.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
