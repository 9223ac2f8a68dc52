"""Evaluates the cfg rules on where and when work may start."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from gentianpulley.cfg import Rule, ClusterCfg
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.messages import rule_forbids, rule_holds


class RuleEffect(enum.Enum):
    """Whether a start is allowed, has to wait, or is forbidden."""

    ALLOWED = 'allowed'
    HELD = 'held'
    FORBIDDEN = 'forbidden'


@dataclass(frozen=True, slots=True)
class RuleDecision:
    """The effect of the rules, with a reason for operators."""

    effect: RuleEffect
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Subject:
    """The work that rules are applied to."""

    work_class: str
    data_tags: tuple[str, ...]


ALLOWED = RuleDecision(RuleEffect.ALLOWED)


def evaluate_rules(
    cfg: ClusterCfg, subject: Subject, domain: str
) -> RuleDecision:
    """Return whether the work may start in the failure domain now.

    A rule that forbids a start permanently overrides one that only holds it.
    """
    held = ALLOWED
    for name, rule in _matching(cfg, subject):
        decision = _apply(name, rule, domain)
        if decision.effect is RuleEffect.FORBIDDEN:
            return decision
        if decision.effect is RuleEffect.HELD:
            held = decision
    return held


def allowed_domains(cfg: ClusterCfg, subject: Subject) -> tuple[str, ...]:
    """Return the failure domains in which a start is allowed now."""
    return tuple(
        domain
        for domain in cfg.failure_domains
        if evaluate_rules(cfg, subject, domain).effect is RuleEffect.ALLOWED
    )


def possible_domains(cfg: ClusterCfg, subject: Subject) -> frozenset[str]:
    """Return the failure domains in which no rule forbids it permanently."""
    return frozenset(
        domain
        for domain in cfg.failure_domains
        if evaluate_rules(cfg, subject, domain).effect
        is not RuleEffect.FORBIDDEN
    )


def evaluate_all_domains(cfg: ClusterCfg, subject: Subject) -> RuleDecision:
    """Return the least restrictive decision over all failure domains."""
    least_restrictive = RuleDecision(
        RuleEffect.FORBIDDEN, rule_forbids('failure_domains')
    )
    for domain in cfg.failure_domains:
        decision = evaluate_rules(cfg, subject, domain)
        if decision.effect is RuleEffect.ALLOWED:
            return decision
        if decision.effect is RuleEffect.HELD:
            least_restrictive = decision
        elif least_restrictive.effect is RuleEffect.FORBIDDEN:
            least_restrictive = decision
    return least_restrictive


def keep_until_ms(cfg: ClusterCfg, subject: Subject) -> int:
    """Return the time until which records of such work are kept, at least."""
    timestamps_ms = [
        int(rule.keep_until.timestamp() * MS_PER_SECOND)
        for _, rule in _matching(cfg, subject)
        if rule.keep_until is not None
    ]
    return max((now_ms() + cfg.limits.keep_record_ms, *timestamps_ms))


def _matching(cfg: ClusterCfg, subject: Subject) -> Iterator[tuple[str, Rule]]:
    for name, rule in cfg.rules.items():
        if rule.matches(subject.work_class, subject.data_tags):
            yield name, rule


def _apply(name: str, rule: Rule, domain: str) -> RuleDecision:
    now = datetime.now(UTC)
    is_denied = domain in rule.deny_domains
    is_not_allowed = (
        bool(rule.allow_domains) and domain not in rule.allow_domains
    )
    is_expired = rule.not_after is not None and now >= rule.not_after
    if is_denied or is_not_allowed or is_expired:
        return RuleDecision(RuleEffect.FORBIDDEN, rule_forbids(name))
    is_too_early = rule.not_before is not None and now < rule.not_before
    if rule.hold or is_too_early:
        return RuleDecision(RuleEffect.HELD, rule_holds(name))
    return ALLOWED
