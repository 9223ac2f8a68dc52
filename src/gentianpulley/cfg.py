"""The cluster's cfg: classes of work, teams, failure domains and rules.

The cfg is merged from the operators' folder, validated after the merge and
then stored as one document. Every field has a type, so that a document that
was accepted once is decoded the same way on every instance.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

import msgspec

DEFAULT_RUN_MS: Final = 1000
DEFAULT_ISOLATED_START_MS: Final = 600_000
DEFAULT_KEEP_RECORD_MS: Final = 86_400_000
DEFAULT_TARGET_SHARE: Final = 0.999


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective: `target_share` within `latency_ms`."""

    latency_ms: int
    target_share: float = DEFAULT_TARGET_SHARE


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Scheduling properties of one class of work.

    `urgent` work is latency-critical. Work that is not `idempotent` runs at
    most once. `exclusive` work never runs in two places at once. `resumable`
    work may be evicted and resumes from its checkpoint. `isolated_start`
    allows a start in a failure domain that is partitioned from everything.
    """

    urgent: bool
    idempotent: bool
    exclusive: bool = False
    resumable: bool = False
    isolated_start: bool = False
    run_ms: int = DEFAULT_RUN_MS
    objective: Objective | None = None

    def needs_record(self) -> bool:
        """Return whether a job record must be stored before a start."""
        return not self.idempotent or self.exclusive or self.resumable


@dataclass(frozen=True, slots=True)
class Team:
    """A team whose requests are served."""

    title: str = ''


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its region."""

    region: str = ''


@dataclass(frozen=True, slots=True)
class Rule:
    """A legal rule about where and when matching work may start.

    A rule matches when its classes and its data tags both match; an empty
    list matches everything. If `allow_domains` is given, matching work starts
    only there; it never starts in `deny_domains`. Nothing starts before
    `not_before`, or at or after `not_after`. `hold` keeps matching work
    waiting. Records of matching work are kept at least until `keep_until`.
    """

    classes: tuple[str, ...] = ()
    data_tags: tuple[str, ...] = ()
    allow_domains: tuple[str, ...] = ()
    deny_domains: tuple[str, ...] = ()
    not_before: datetime | None = None
    not_after: datetime | None = None
    hold: bool = False
    keep_until: datetime | None = None
    reason: str = ''

    def matches(self, work_class: str, data_tags: tuple[str, ...]) -> bool:
        """Return whether the rule applies to such work."""
        class_matches = not self.classes or work_class in self.classes
        tag_matches = not self.data_tags or bool(
            set(self.data_tags).intersection(data_tags)
        )
        return class_matches and tag_matches


@dataclass(frozen=True, slots=True)
class ClusterLimits:
    """Cluster-wide limits, in milliseconds and bytes."""

    isolated_start_ms: int = DEFAULT_ISOLATED_START_MS
    keep_record_ms: int = DEFAULT_KEEP_RECORD_MS


@dataclass(frozen=True, slots=True)
class ClusterCfg:
    """The complete cfg of a cluster."""

    failure_domains: Mapping[str, FailureDomain] = field(default_factory=dict)
    classes: Mapping[str, WorkClass] = field(default_factory=dict)
    teams: Mapping[str, Team] = field(default_factory=dict)
    rules: Mapping[str, Rule] = field(default_factory=dict)
    limits: ClusterLimits = ClusterLimits()


def encode_cfg(cfg: ClusterCfg) -> bytes:
    """Return the cfg as canonical JSON."""
    return msgspec.json.format(
        msgspec.json.encode(cfg, order='deterministic'), indent=2
    )


def decode_cfg(body: bytes) -> ClusterCfg:
    """Decode a cfg document; raises `msgspec.DecodeError` if malformed."""
    return msgspec.json.decode(body, type=ClusterCfg)
