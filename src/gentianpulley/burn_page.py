"""Renders the burn report as one self-contained HTML page."""

from datetime import UTC, datetime
from html import escape
from typing import Final

from gentianpulley.burn_report import BurnReport, BurnRow
from gentianpulley.deadline import MS_PER_SECOND

BAR_WIDTH: Final = 320
BAR_HEIGHT: Final = 16
FULL_BAR_BURN: Final = 20.0
ALERT_BURN: Final = 10.0
WARN_BURN: Final = 1.0
_US_PER_MS: Final = 1000
_PERCENT: Final = 100

_STYLE: Final = (
    'body{font-family:sans-serif;margin:2em}'
    'table{border-collapse:collapse}'
    'td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}'
    'td:first-child,td:nth-child(2),th:first-child{text-align:left}'
)


def render_page(report: BurnReport) -> str:
    """Return the complete HTML page."""
    created = datetime.fromtimestamp(report.at_ms / MS_PER_SECOND, UTC)
    stamp = created.isoformat(timespec='seconds')
    fragments = [
        '<!doctype html><html lang="en"><meta charset="utf-8">',
        f'<title>Service-level burn</title><style>{_STYLE}</style>',
        f'<h1>Service-level burn</h1><p>As of {stamp}.</p>',
        '<table><tr><th>class</th><th>failure domain</th><th>requests</th>',
        '<th>missed</th><th>burn, 5 min and 1 h</th><th>budget left</th>',
        '<th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>',
        *(_table_row(row) for row in report.rows),
        '</table>',
        _unreachable_section(report),
        '</html>',
    ]
    return '\n'.join(fragments)


def _table_row(row: BurnRow) -> str:
    cells = (
        escape(row.work_class),
        escape(row.failure_domain),
        str(row.total),
        str(row.bad),
        _bars(row),
        f'{row.budget_left * _PERCENT:.1f} %',
        f'{row.latencies.p50_us / _US_PER_MS:.1f}',
        f'{row.latencies.p99_us / _US_PER_MS:.1f}',
        f'{row.latencies.p999_us / _US_PER_MS:.1f}',
    )
    joined = ''.join(f'<td>{cell}</td>' for cell in cells)
    return f'<tr>{joined}</tr>'


def _bars(row: BurnRow) -> str:
    height = 2 * BAR_HEIGHT
    return (
        f'<svg width="{BAR_WIDTH}" height="{height}" role="img">'
        f'{_burn_bar(row.short_burn, 0)}'
        f'{_burn_bar(row.long_burn, BAR_HEIGHT)}</svg>'
    )


def _burn_bar(burn: float, top: int) -> str:
    width = round(min(burn, FULL_BAR_BURN) / FULL_BAR_BURN * BAR_WIDTH)
    color = _color(burn)
    inner = BAR_HEIGHT - 2
    baseline = top + inner - 2
    return (
        f'<rect x="0" y="{top}" width="{width}" height="{inner}" '
        f'fill="{color}"/><text x="4" y="{baseline}" font-size="12">'
        f'{burn:.1f}</text>'
    )


def _color(burn: float) -> str:
    if burn >= ALERT_BURN:
        return '#e06666'
    return '#f6c560' if burn >= WARN_BURN else '#9ccc9c'


def _unreachable_section(report: BurnReport) -> str:
    if not report.unreachable:
        return '<p>All instances answered.</p>'
    rows = ''.join(
        f'<li>{escape(missing.instance)} ({escape(missing.failure_domain)}): '
        f'{escape(missing.problem)}</li>'
        for missing in report.unreachable
    )
    return f'<h2>Left out, because unreachable</h2><ul>{rows}</ul>'
