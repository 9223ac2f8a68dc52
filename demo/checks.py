"""Checks the guarantees for a demo cluster."""

from collections.abc import Iterable

from demo.load import Load
from demo.sites import DemoSite
from standins.promises import (
    Capacity,
    Period,
    false_reports,
    incarnations_twice,
    overcommitted,
    overlapping,
    started_in_period,
    started_twice,
)
from standins.site import Site

BOUND_MS = 5000
"""Time after the acceptance of a change in which it may be missed."""

NEVER_MS = 1 << 60


def broken_promises(
    plan: DemoSite, site: Site, load: Load, moments: tuple[int, int, int]
) -> list[str]:
    """Return a line for each violation of a guarantee."""
    record = site.record()
    law_ms, out_ms, back_ms = moments
    once = [kind.work_class for kind in plan.kinds if not kind.is_idempotent]
    recorded = [
        kind.work_class
        for kind in plan.kinds
        if not kind.is_idempotent or not kind.waits
    ]
    under_law = [
        line for line in record if line['work_class'] == plan.law_class
    ]
    has = Capacity(plan.processors_milli, plan.memory_mib)
    outcomes = {sent.key: sent.outcome for sent in load.sent}
    return [
        *overcommitted(record, has),
        *started_twice(record, once),
        *incarnations_twice(record),
        *overlapping(record, recorded),
        *started_in_period(
            under_law, plan.law_closes, Period(law_ms + BOUND_MS, NEVER_MS)
        ),
        *started_in_period(
            record, plan.domain_out, Period(out_ms + BOUND_MS, back_ms)
        ),
        *false_reports(record, outcomes),
        *_wrong_answers(load),
        *_underserved_kinds(load),
    ]


def _wrong_answers(load: Load) -> Iterable[str]:
    for sent in load.sent:
        if not sent.own_answer:
            yield f'{sent.key} got another answer than its own'


def _underserved_kinds(load: Load) -> Iterable[str]:
    """Yield kinds of which a cluster with free capacity served too few."""
    for kind in load.plan.kinds:
        of_kind = [sent for sent in load.sent if sent.kind is kind]
        done = sum(sent.outcome == 'done' for sent in of_kind)
        if done < 0.8 * len(of_kind):
            yield f'only {done} of {len(of_kind)} {kind.work_class} were done'
