"""What the rules in the cfg say about starting work at a place and time."""

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
    """A verdict with its reason for people."""

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

    A rule that forbids for good wins over one that only holds.
    """
    held = ALLOWED
    for name, rule in _matching(cfg, subject):
        ruling = _apply(name, rule, domain)
        if ruling.effect is RuleEffect.FORBIDDEN:
            return ruling
        if ruling.effect is RuleEffect.HELD:
            held = ruling
    return held


def allowed_domains(cfg: ClusterCfg, subject: Subject) -> tuple[str, ...]:
    """Return the failure domains in which a start is allowed now."""
    return tuple(
        domain
        for domain in cfg.failure_domains
        if evaluate_rules(cfg, subject, domain).effect is RuleEffect.ALLOWED
    )


def possible_domains(cfg: ClusterCfg, subject: Subject) -> frozenset[str]:
    """Return the failure domains in which no rule forbids it for good."""
    return frozenset(
        domain
        for domain in cfg.failure_domains
        if evaluate_rules(cfg, subject, domain).effect
        is not RuleEffect.FORBIDDEN
    )


def evaluate_all_domains(cfg: ClusterCfg, subject: Subject) -> RuleDecision:
    """Return the mildest ruling over all failure domains."""
    mildest = RuleDecision(
        RuleEffect.FORBIDDEN, rule_forbids('failure_domains')
    )
    for domain in cfg.failure_domains:
        ruling = evaluate_rules(cfg, subject, domain)
        if ruling.effect is RuleEffect.ALLOWED:
            return ruling
        if ruling.effect is RuleEffect.HELD:
            mildest = ruling
        elif mildest.effect is RuleEffect.FORBIDDEN:
            mildest = ruling
    return mildest


def keep_until_ms(cfg: ClusterCfg, subject: Subject) -> int:
    """Return how long the record of such work has to be kept, at least."""
    moments = [
        int(rule.keep_until.timestamp() * MS_PER_SECOND)
        for _, rule in _matching(cfg, subject)
        if rule.keep_until is not None
    ]
    return max((now_ms() + cfg.limits.keep_record_ms, *moments))


def _matching(cfg: ClusterCfg, subject: Subject) -> Iterator[tuple[str, Rule]]:
    for name, rule in cfg.rules.items():
        if rule.matches(subject.work_class, subject.data_tags):
            yield name, rule


def _apply(name: str, rule: Rule, domain: str) -> RuleDecision:
    moment = datetime.now(UTC)
    closed = domain in rule.deny_domains
    elsewhere = bool(rule.allow_domains) and domain not in rule.allow_domains
    over = rule.not_after is not None and moment >= rule.not_after
    if closed or elsewhere or over:
        return RuleDecision(RuleEffect.FORBIDDEN, rule_forbids(name))
    early = rule.not_before is not None and moment < rule.not_before
    if rule.hold or early:
        return RuleDecision(RuleEffect.HELD, rule_holds(name))
    return ALLOWED
