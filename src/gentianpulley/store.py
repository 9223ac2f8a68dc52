"""The interface to the platform's key-value service.

All state that must be agreed on or persisted goes through this interface. Only
adapters depend on the wire format.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

ABSENT: Final = 0
"""Revision of a key that does not exist."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    body: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries below a prefix at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """Some entries below a prefix, sorted by key.

    `revision` is that of the store at the time of the read. Pages that are read
    one after the other do not form a snapshot.
    """

    entries: tuple[Entry, ...]
    revision: int
    is_last: bool


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write, bound to a lease unless `lease_id` is zero."""

    key: str
    body: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Writes that take effect together if `key` is at `expected_revision`.

    `ABSENT` means that the key must not exist.
    """

    key: str
    expected_revision: int
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Precondition:
    """A precondition of a transaction: `key` is at `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if all preconditions hold."""

    preconditions: tuple[Precondition, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a transaction.

    `revision` is that of the change if it was applied. Otherwise `current`
    holds the existing entries of the keys in the preconditions.
    """

    applied: bool
    revision: int
    current: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of one conditional write.

    `revision` is the store's revision at the write. `current` is the
    conflicting entry if `applied` is false.
    """

    applied: bool
    revision: int
    current: Entry | None


@dataclass(frozen=True, slots=True)
class Change:
    """One change reported by a watch; `entry` is None for a deletion."""

    key: str
    entry: Entry | None
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes ordered by revision; empty when the watch is idle."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreLease:
    """A granted lease; keys bound to it are deleted after the deadline."""

    lease_id: int
    deadline_ms: int


class Store(ABC):
    """Compare-and-swap, leases and watches.

    Every method raises `StoreUnreachableError` if nothing was sent,
    `StoreRefusedError` if the store refused, and `StoreAnswerLostError` if the
    effect is unknown.
    """

    def with_own_conns(self) -> 'Store':
        """Return a client that shares no connection with this one.

        A store for which this makes no difference returns itself.
        """
        return self

    @abstractmethod
    def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if the key does not exist."""

    @abstractmethod
    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with `prefix`."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return entries below `prefix` whose keys come after `after`.

        A store without paging returns all of them.
        """
        snapshot = self.read_prefix(prefix)
        entries = tuple(each for each in snapshot.entries if each.key > after)
        return Page(entries, snapshot.revision, is_last=True)

    @abstractmethod
    def write(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Try each write independently, in one call; results are in order."""

    @abstractmethod
    def commit(self, txn: Transaction) -> CommitResult:
        """Apply all writes of the transaction, or none."""

    @abstractmethod
    def grant_lease(self, ttl_s: int) -> StoreLease:
        """Grant a lease of `ttl_s` seconds."""

    @abstractmethod
    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease; return None if it has already expired."""

    @abstractmethod
    def revoke(self, lease: StoreLease) -> None:
        """End the lease and delete the keys bound to it."""

    @abstractmethod
    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Yield changes below `prefix` that are newer than `revision`.

        Yields an empty batch when the store reports progress without changes.
        Raises a `StoreError` when the connection fails or stops responding.
        """

    def read_changes(self, prefix: str, revision: int) -> ChangeBatch:
        """Return the changes below `prefix` that are newer than `revision`.

        Contains every change made before the call. A store that cannot report
        without waiting returns the next batch of a watch. Raises as `watch`.
        """
        return next(iter(self.watch(prefix, revision)))

    def wait_for_changes(
        self, prefix: str, revision: int, wait_ms: int
    ) -> ChangeBatch:
        """Return the next changes below `prefix`, none after `wait_ms`.

        For changes that are rare and not urgent: a broken connection may be
        noticed only after the wait. Raises as `watch`. A store that has its own
        interval returns the next batch of a watch.
        """
        return next(iter(self.watch(prefix, revision)))

    @abstractmethod
    def call_count(self) -> int:
        """Return the number of calls sent so far; a watch counts as one."""
