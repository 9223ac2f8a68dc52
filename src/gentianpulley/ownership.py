"""Records which member owns each worker of a failure domain.

One record for each failure domain is stored and changes only by
compare-and-swap. Each change of owner takes a new epoch, which fences the
worker against the previous owner. Rendezvous hashing decides which member
should own a worker, so that a change of membership moves few workers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b

import msgspec

NO_OWNER = ''


@dataclass(frozen=True, slots=True)
class Assignment:
    """The owner of one worker; `owner` is a member id or `NO_OWNER`."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Ownership:
    """The assignments of one failure domain.

    `last_epoch` only grows, so that no epoch is ever used twice.
    """

    workers: Mapping[str, Assignment] = field(default_factory=dict)
    last_epoch: int = 0

    def owner_of(self, worker: str) -> str:
        """Return the member that owns the worker, or `NO_OWNER`."""
        row = self.workers.get(worker)
        return row.owner if row else NO_OWNER

    def owned_by(self, member: str) -> dict[str, int]:
        """Return the epochs of all workers that `member` owns."""
        return {
            worker: row.epoch
            for worker, row in self.workers.items()
            if row.owner == member
        }

    def claim(self, workers: Iterable[str], member: str) -> 'Ownership':
        """Assign workers to `member`, each under a new epoch."""
        rows = dict(self.workers)
        epoch = self.last_epoch
        for worker in workers:
            epoch += 1
            rows[worker] = Assignment(member, epoch)
        return Ownership(rows, epoch)

    def release(self, workers: Iterable[str], member: str) -> 'Ownership':
        """Clear the owner of each given worker that `member` owns."""
        rows = dict(self.workers)
        for worker in workers:
            row = rows.get(worker)
            if row is not None and row.owner == member:
                rows[worker] = replace(row, owner=NO_OWNER)
        return Ownership(rows, self.last_epoch)


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """The claims and releases that one member should make for itself."""

    claims: tuple[str, ...]
    releases: tuple[str, ...]


def plan_changes(
    ownership: Ownership,
    workers: Iterable[str],
    members: tuple[str, ...],
    local_member: str,
) -> OwnershipPlan:
    """Return the workers that `local_member` should claim and release.

    `members` are the live members of the failure domain that are not draining.
    A worker is claimed only when its owner is gone or has released it, and
    released only by its owner.
    """
    claims = []
    releases = []
    for worker in workers:
        owner = ownership.owner_of(worker)
        preferred = preferred_member(worker, members)
        if preferred == local_member and owner not in members:
            claims.append(worker)
        elif owner == local_member and preferred not in {
            local_member,
            NO_OWNER,
        }:
            releases.append(worker)
    return OwnershipPlan(tuple(claims), tuple(releases))


def preferred_member(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest rendezvous weight for `key`."""
    return max(
        members, key=lambda member: _weight(key, member), default=NO_OWNER
    )


def encode_ownership(ownership: Ownership) -> bytes:
    """Return the record as it is stored."""
    return msgspec.json.encode(ownership, order='deterministic')


def decode_ownership(body: bytes) -> Ownership:
    """Decode a record; raises `msgspec.DecodeError` if it is malformed."""
    return msgspec.json.decode(body, type=Ownership)


def _weight(key: str, member: str) -> bytes:
    return blake2b(f'{key}|{member}'.encode(), digest_size=8).digest()
