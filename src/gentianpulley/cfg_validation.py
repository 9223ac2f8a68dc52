"""Checks of a merged cfg that look at more than one entry.

A cfg is refused when a rule names something that does not exist, when rules
contradict themselves or each other so that a class can never start, or when
numbers make no sense.
"""

from collections.abc import Iterable

from gentianpulley.cfg import Rule, ClusterCfg, WorkClass
from gentianpulley.json_validation import ErrorList, JsonObject
from gentianpulley.messages import (
    both_allowed_and_denied,
    class_has_no_domain,
    undefined_name,
    naive_time,
    not_positive,
    resumable_and_urgent,
    rule_never_starts,
    fraction_out_of_range,
)


def check_references(
    cfg: ClusterCfg, merged: JsonObject, errors: ErrorList
) -> None:
    """Add every fault that needs the whole cfg to be seen.

    `merged` tells which names exist even if their entries had faults, so
    that one fault is not reported as several.
    """
    domains = set(merged.get('failure_domains', {}))
    classes = set(merged.get('classes', {}))
    for name, work_class in cfg.classes.items():
        _check_class(name, work_class, errors)
    for rule_name, rule in cfg.rules.items():
        path = ('rules', rule_name)
        _check_names(rule.classes, classes, (*path, 'classes'), errors)
        _check_names(
            rule.allow_domains, domains, (*path, 'allow_domains'), errors
        )
        _check_names(
            rule.deny_domains, domains, (*path, 'deny_domains'), errors
        )
        _check_rule(rule, path, errors)
    _check_limits(cfg, errors)
    _check_conflicts(cfg, errors)


def _check_class(name: str, work_class: WorkClass, faults: ErrorList) -> None:
    path = ('classes', name)
    if work_class.run_ms <= 0:
        faults.add((*path, 'run_ms'), not_positive())
    if work_class.urgent and work_class.resumable:
        faults.add(path, resumable_and_urgent())
    objective = work_class.objective
    if objective is None:
        return
    if objective.latency_ms <= 0:
        faults.add((*path, 'objective', 'latency_ms'), not_positive())
    if not 0 < objective.target_share < 1:
        faults.add(
            (*path, 'objective', 'target_share'), fraction_out_of_range()
        )


def _check_names(
    named: Iterable[str],
    known: set[str],
    path: tuple[str, ...],
    faults: ErrorList,
) -> None:
    for name in named:
        if name not in known:
            faults.add(path, undefined_name(name))


def _check_rule(rule: Rule, path: tuple[str, ...], faults: ErrorList) -> None:
    both = sorted(set(rule.allow_domains).intersection(rule.deny_domains))
    if both:
        faults.add(path, both_allowed_and_denied(both))
    for place in ('not_before', 'not_after', 'keep_until'):
        moment = getattr(rule, place)
        if moment is not None and moment.tzinfo is None:
            faults.add((*path, place), naive_time())
            return
    if rule.not_before is None or rule.not_after is None:
        return
    if rule.not_before >= rule.not_after:
        faults.add(path, rule_never_starts())


def _check_limits(cfg: ClusterCfg, faults: ErrorList) -> None:
    if cfg.limits.isolated_start_ms < 0:
        faults.add(('limits', 'isolated_start_ms'), not_positive())
    if cfg.limits.keep_record_ms <= 0:
        faults.add(('limits', 'keep_record_ms'), not_positive())


def _check_conflicts(cfg: ClusterCfg, faults: ErrorList) -> None:
    """Find classes whose rules, taken together, close every domain."""
    if not cfg.failure_domains:
        return
    for name in cfg.classes:
        closing = _closing_rule(cfg, name)
        if closing:
            faults.add(('rules', closing), class_has_no_domain(name))


def _closing_rule(cfg: ClusterCfg, work_class: str) -> str:
    """Return the rule that takes a class's last domain, or nothing.

    Rules that match data tags only are left out: they close domains to some
    requests of the class and not to the class.
    """
    left = set(cfg.failure_domains)
    for name, rule in cfg.rules.items():
        if not rule.data_tags and rule.matches(work_class, ()):
            left.difference_update(rule.deny_domains)
            left.intersection_update(rule.allow_domains or left)
        if not left:
            return name
    return ''
