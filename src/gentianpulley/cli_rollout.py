"""Waits until a change is active on every instance."""

import time
from dataclasses import dataclass
from typing import Final

from gentianpulley.deadline import MS_PER_SECOND, deadline_in, has_passed
from gentianpulley.document import DocumentKind
from gentianpulley.messages import (
    revision_active,
    revision_active_everywhere,
    no_entry_listed,
    revision_not_active,
)
from gentianpulley.cluster_client import ClusterClient, StatusReply

POLL_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class InstanceRevision:
    """The active revision of one instance; `problem` if none was returned."""

    instance: str
    failure_domain: str
    revision: int
    problem: str = ''


@dataclass(frozen=True, slots=True)
class Rollout:
    """The instances on which a revision is active and those still pending."""

    kind: DocumentKind
    revision: int
    in_force: tuple[InstanceRevision, ...]
    not_yet: tuple[InstanceRevision, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the revision is active on every polled instance."""
        return bool(self.in_force) and not self.not_yet

    def lines(self) -> tuple[str, ...]:
        """Return the rollout as lines of text for operators."""
        active = [
            revision_active(row.instance, row.revision) for row in self.in_force
        ]
        pending = [
            revision_not_active(row.instance, row.revision, row.problem)
            for row in self.not_yet
        ]
        if self.is_complete:
            pending.append(revision_active_everywhere(self.revision))
        elif not self.not_yet:
            pending.append(no_entry_listed())
        return (*active, *pending)


def build_rollout(
    kind: DocumentKind, revision: int, replies: tuple[StatusReply, ...]
) -> Rollout:
    """Group instances by whether at least `revision` is active on them."""
    rows = [_row(kind, reply) for reply in replies]
    return Rollout(
        kind,
        revision,
        tuple(row for row in rows if row.revision >= revision),
        tuple(row for row in rows if row.revision < revision),
    )


def wait_until_active(
    client: ClusterClient, kind: DocumentKind, revision: int, timeout_s: str
) -> Rollout:
    """Poll all instances until they have `revision` or the timeout ends."""
    until_ms = deadline_in(int(float(timeout_s) * MS_PER_SECOND))
    rollout = build_rollout(kind, revision, client.statuses())
    while not rollout.is_complete and not has_passed(until_ms):
        time.sleep(POLL_INTERVAL_S)
        rollout = build_rollout(kind, revision, client.statuses())
    return rollout


def _row(kind: DocumentKind, reply: StatusReply) -> InstanceRevision:
    status = reply.status
    if status is None:
        return InstanceRevision(
            reply.place.instance, reply.place.failure_domain, -1, reply.problem
        )
    peer = status.peer
    is_cfg = kind is DocumentKind.CFG
    revision = peer.cfg_revision if is_cfg else peer.domains_revision
    return InstanceRevision(peer.instance, peer.failure_domain, revision)
