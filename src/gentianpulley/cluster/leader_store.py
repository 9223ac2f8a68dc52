"""What a leader writes: every transaction is guarded by its key.

A former leader cannot write any more, whatever it still believes.
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
    """Another instance leads; nothing was written."""


class LeaderStore:
    """The store under the token of one leader."""

    def __init__(self, store: Store, leader: Precondition) -> None:
        """Guard every write with the leader's key."""
        self.reader = store
        self.leader = leader

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction unless one of its guards does not hold.

        Raises `DeposedError` if another instance leads, else `StoreError`.
        """
        guarded = Transaction(
            (self.leader, *txn.preconditions), txn.puts, txn.deletes
        )
        commit = self.reader.commit(guarded)
        current = {entry.key: entry.revision for entry in commit.current}
        held = current.get(self.leader.key, self.leader.revision)
        if not commit.applied and held != self.leader.revision:
            raise DeposedError('the leader key has changed')
        return commit

    def read(self, key: str) -> Entry | None:
        """Return an entry, None if there is none."""
        return self.reader.read(key)


def create_leader_store(store: Store, leader: Precondition) -> LeaderStore:
    """Return the store for the leader whose key is `leader`."""
    return LeaderStore(store, leader)


def call_with_retries(
    call: Callable[[], _Answer], log: EventLog, retries: int = 1
) -> _Answer:
    """Return what a call of the store gives, also if it fails at first.

    Raises `StoreError` if it goes on to fail, `DeposedError` at once.
    """
    for _ in range(retries):
        try:
            return call()
        except DeposedError:
            raise
        except StoreError as exc:
            log.store_trouble(exc.text)
    return call()
