"""Checks of a merged cfg that involve more than one entry.

A cfg is rejected when a rule refers to something that does not exist, when
rules contradict themselves or each other so that a class can never start, or
when numbers are out of range.
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
    """Add every error that can only be found in the complete cfg.

    `merged` has the names that exist even if their entries had errors, so
    that one error is not reported as several.
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


def _check_class(name: str, work_class: WorkClass, errors: ErrorList) -> None:
    path = ('classes', name)
    if work_class.run_ms <= 0:
        errors.add((*path, 'run_ms'), not_positive())
    if work_class.urgent and work_class.resumable:
        errors.add(path, resumable_and_urgent())
    objective = work_class.objective
    if objective is None:
        return
    if objective.latency_ms <= 0:
        errors.add((*path, 'objective', 'latency_ms'), not_positive())
    if not 0 < objective.target_share < 1:
        errors.add(
            (*path, 'objective', 'target_share'), fraction_out_of_range()
        )


def _check_names(
    names: Iterable[str],
    defined: set[str],
    path: tuple[str, ...],
    errors: ErrorList,
) -> None:
    for name in names:
        if name not in defined:
            errors.add(path, undefined_name(name))


def _check_rule(rule: Rule, path: tuple[str, ...], errors: ErrorList) -> None:
    both = sorted(set(rule.allow_domains).intersection(rule.deny_domains))
    if both:
        errors.add(path, both_allowed_and_denied(both))
    for key in ('not_before', 'not_after', 'keep_until'):
        time = getattr(rule, key)
        if time is not None and time.tzinfo is None:
            errors.add((*path, key), naive_time())
            return
    if rule.not_before is None or rule.not_after is None:
        return
    if rule.not_before >= rule.not_after:
        errors.add(path, rule_never_starts())


def _check_limits(cfg: ClusterCfg, errors: ErrorList) -> None:
    if cfg.limits.isolated_start_ms < 0:
        errors.add(('limits', 'isolated_start_ms'), not_positive())
    if cfg.limits.keep_record_ms <= 0:
        errors.add(('limits', 'keep_record_ms'), not_positive())


def _check_conflicts(cfg: ClusterCfg, errors: ErrorList) -> None:
    """Find classes whose combined rules exclude every failure domain."""
    if not cfg.failure_domains:
        return
    for name in cfg.classes:
        rule_name = _find_excluding_rule(cfg, name)
        if rule_name:
            errors.add(('rules', rule_name), class_has_no_domain(name))


def _find_excluding_rule(cfg: ClusterCfg, work_class: str) -> str:
    """Return the rule that excludes a class's last domain, or ''.

    Rules that match data tags are skipped: they exclude domains only for
    some requests of the class and not for the whole class.
    """
    remaining = set(cfg.failure_domains)
    for name, rule in cfg.rules.items():
        if not rule.data_tags and rule.matches(work_class, ()):
            remaining.difference_update(rule.deny_domains)
            remaining.intersection_update(rule.allow_domains or remaining)
        if not remaining:
            return name
    return ''
