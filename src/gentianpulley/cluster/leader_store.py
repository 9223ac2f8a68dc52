"""Writes of a leader: every transaction has the leader's key as precondition.

A previous leader cannot write any more, even if it still considers itself the
leader.
"""

from collections.abc import Callable
from typing import TypeVar

from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    CommitResult,
    Entry,
    Precondition,
    Store,
    Transaction,
)

_Answer = TypeVar('_Answer')


class DeposedError(StoreError):
    """Raised when another instance leads; nothing was written."""


class LeaderStore:
    """The store under the token of one leader."""

    def __init__(self, store: Store, leader: Precondition) -> None:
        """Make the leader's key a precondition of every write."""
        self.reader = store
        self.leader = leader

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction if all its preconditions hold.

        Raises `DeposedError` if another instance leads, and `StoreError` on
        other failures.
        """
        guarded_txn = Transaction(
            (self.leader, *txn.preconditions), txn.puts, txn.deletes
        )
        commit = self.reader.commit(guarded_txn)
        current = {entry.key: entry.revision for entry in commit.current}
        stored_revision = current.get(self.leader.key, self.leader.revision)
        if not commit.applied and stored_revision != self.leader.revision:
            raise DeposedError('the leader key has changed')
        return commit

    def read(self, key: str) -> Entry | None:
        """Return an entry, None if it does not exist."""
        return self.reader.read(key)


def create_leader_store(store: Store, leader: Precondition) -> LeaderStore:
    """Return the store for the leader whose key is `leader`."""
    return LeaderStore(store, leader)


def call_with_retries(
    call: Callable[[], _Answer], log: EventLog, retries: int = 1
) -> _Answer:
    """Return the result of a store call, retrying it after a failure.

    Raises `StoreError` if the last attempt fails, and `DeposedError` at once.
    """
    for _ in range(retries):
        try:
            return call()
        except DeposedError:
            raise
        except StoreError as exc:
            log.store_trouble(exc.text)
    return call()
