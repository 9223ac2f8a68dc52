"""Checks the promises against what the workers recorded.

The checks look at the workers' own append-only records and at what callers
were told, never at what the system says of itself.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from demo.load import Load
from demo.sites import DemoSite
from standins.site import Site

BOUND_MS = 5000
"""How long after its acceptance a change may still be missed."""

Line = dict[str, Any]


def broken_promises(
    plan: DemoSite, site: Site, load: Load, moments: tuple[int, int, int]
) -> list[str]:
    """Return a line for each promise that was broken."""
    record = site.record()
    starts = [line for line in record if line['event'] == 'start']
    law_ms, out_ms, back_ms = moments
    return [
        *_overcommitted(plan, record),
        *_ran_twice(plan, starts),
        *_overlapping(record),
        *_started_where_closed(plan, starts, law_ms),
        *_started_while_out(plan, starts, (out_ms, back_ms)),
        *_false_reports(load, starts),
        *_not_served(load),
    ]


def _overcommitted(plan: DemoSite, record: Iterable[Line]) -> Iterable[str]:
    for line in record:
        too_much = (
            line['processors_milli'] > plan.processors_milli
            or line['memory_mib'] > plan.memory_mib
            or line['running'] > 8
        )
        if too_much:
            yield f'{line["worker"]} was over-committed: {line}'


def _ran_twice(plan: DemoSite, starts: list[Line]) -> Iterable[str]:
    once = {kind.work_class for kind in plan.kinds if not kind.is_idempotent}
    counts = Counter(
        line['task_id'].rpartition('#')[0]
        for line in starts
        if line['work_class'] in once
    )
    for key, count in counts.items():
        if count > 1:
            yield f'non-idempotent request {key} started {count} times'


def _overlapping(record: Iterable[Line]) -> Iterable[str]:
    """Find recorded work that ran in two places at once."""
    running: dict[str, str] = {}
    for line in record:
        key = line['task_id'].rpartition('#')[0]
        if '@' in key:
            continue
        other = running.pop(key, None)
        if line['event'] == 'start':
            running[key] = line['worker']
        if line['event'] == 'start' and other:
            yield f'{key} ran on {other} and {line["worker"]} at once'


def _started_where_closed(
    plan: DemoSite, starts: list[Line], law_ms: int
) -> Iterable[str]:
    for line in starts:
        if (
            line['work_class'] == plan.law_class
            and line['failure_domain'] == plan.law_closes
            and line['at_ms'] > law_ms + BOUND_MS
        ):
            yield f'{line["task_id"]} started against the law'


def _started_while_out(
    plan: DemoSite, starts: list[Line], period: tuple[int, int]
) -> Iterable[str]:
    out_ms, back_ms = period
    for line in starts:
        if (
            line['failure_domain'] == plan.domain_out
            and out_ms + BOUND_MS < line['at_ms'] < back_ms
        ):
            yield f'{line["task_id"]} started in a domain that was out'


def _false_reports(load: Load, starts: list[Line]) -> Iterable[str]:
    started = {
        line['task_id'].rpartition('#')[0].partition('@')[0] for line in starts
    }
    for sent in load.sent:
        if sent.outcome == 'not-run' and sent.key in started:
            yield f'{sent.key} was reported as not run (code {sent.code})'
        if sent.outcome == 'done' and sent.key not in started:
            yield f'{sent.key} was reported as done but never started'
        if not sent.own_answer:
            yield f'{sent.key} got another answer than its own'


def _not_served(load: Load) -> Iterable[str]:
    """A site with room has to serve most of what it is sent."""
    for kind in load.plan.kinds:
        of_kind = [sent for sent in load.sent if sent.kind is kind]
        done = sum(sent.outcome == 'done' for sent in of_kind)
        if done < 0.8 * len(of_kind):
            yield f'only {done} of {len(of_kind)} {kind.work_class} were done'
