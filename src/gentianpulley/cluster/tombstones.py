"""Tombstones: ids of jobs that callers were told do not exist.

A write that creates a job may be applied seconds after its caller gave up. A
tombstone, stored before a cancellation is answered with "no such job", makes
that write fail. The leader deletes tombstones once no such write can be under
way.
"""

from typing import Final

from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS
from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import Precondition, Transaction

TOMBSTONE_PREFIX: Final = 'gp/job/tombstone/'

MAX_SUBMIT_MS: Final = 10_000
"""Maximum time from the arrival of a submission to its last write."""

TOMBSTONE_RETENTION_MS: Final = MAX_SUBMIT_MS + 2 * MAX_ORDER_DELAY_MS
"""Minimum lifetime of a tombstone. A submission that arrived before it writes
for `MAX_SUBMIT_MS`, and a write without a response may be applied for about as
long as an order; the other half allows for requests that arrive late."""

MAX_DELETED_PER_TRANSACTION: Final = 15
"""A tombstone takes a precondition and a delete, the leader's key one more
precondition; the store allows 32 entries."""


def tombstone_key(job_id: str) -> str:
    """Return the key of the tombstone of a job id."""
    return f'{TOMBSTONE_PREFIX}{job_id}'


class TombstoneSweeper:
    """Deletes the tombstones that two scans have found unchanged.

    The scans are `TOMBSTONE_RETENTION_MS` apart. The age is not taken from a
    stored time, as the clocks of instances differ, and a lease may end early.
    """

    def __init__(self, store: LeaderStore) -> None:
        """Write under the token of the leader."""
        self._store = store
        self._scan = PrefixScan(store.reader, TOMBSTONE_PREFIX)
        self._next_scan_ms = 0
        self._previous: dict[str, int] = {}
        self._found: dict[str, int] = {}
        self._expired: list[Precondition] = []

    def sweep(self) -> bool:
        """Make at most one call; return whether another one is due.

        Writes of records wait for these calls. Raises `StoreError`.
        """
        if self._expired:
            self._delete_batch()
        elif has_passed(self._next_scan_ms):
            self._read_page()
        return bool(self._expired) or has_passed(self._next_scan_ms)

    def _read_page(self) -> None:
        page = self._scan.next_page()
        self._found.update((entry.key, entry.revision) for entry in page)
        if self._scan.is_complete:
            self._complete_scan()

    def _complete_scan(self) -> None:
        self._expired = [
            Precondition(key, revision)
            for key, revision in self._found.items()
            if self._previous.get(key) == revision
        ]
        self._previous = self._found
        self._found = {}
        self._scan = PrefixScan(self._store.reader, TOMBSTONE_PREFIX)
        self._next_scan_ms = deadline_in(TOMBSTONE_RETENTION_MS)

    def _delete_batch(self) -> None:
        """Delete some expired tombstones; one that was renewed stays.

        The next scan finds what a batch with a renewed one has left.
        """
        batch = tuple(self._expired[:MAX_DELETED_PER_TRANSACTION])
        keys = tuple(each.key for each in batch)
        self._store.commit(Transaction(batch, deletes=keys))
        self._expired = self._expired[len(batch) :]
