"""What a leader has to have read from the store before it starts anything.

A job may be cancelled, and a worker's capacity may shrink, after they were
read, so nothing is started while what is known of either is too old.
"""

import enum
from typing import Final

MAX_CANCELLATION_AGE_MS: Final = 2500
"""How long the watch of cancellations may have reported nothing while the store
answers renewals. It reports each 1.8 s, and the cluster allows starts until 3 s
after a cancellation."""

MAX_DIRECTORY_AGE_MS: Final = 3000
"""The same for the watch of the workers, which reports each second or more
often. Clusters allow starts by a former capacity for at least this long, and a
heartbeat more."""


class Reread(enum.Enum):
    """What a new leader reads again, or further, once it has loaded.

    The load takes long, and these may be older than the jobs by then.
    """

    CANCELLATIONS = enum.auto()
    WORKERS = enum.auto()


class ReadFreshness:
    """Tracks how old a leader's knowledge of the store is."""

    def __init__(self) -> None:
        """Start with nothing to read again, and no watch that has reported."""
        self._outdated: frozenset[Reread] = frozenset()
        self._cancellations_ms = 0
        self._workers_ms = 0

    def begin_loading(self) -> None:
        """Allow no starts before everything was read again."""
        self._outdated = frozenset(Reread)

    def is_outdated(self, part: Reread) -> bool:
        """Return whether a part has not been read again since the load."""
        return part in self._outdated

    def mark_reread(self, part: Reread) -> None:
        """Record that changes made during the load are known."""
        self._outdated -= {part}

    def mark_cancellations(self, stored_by_ms: int) -> None:
        """Record that cancellations stored by then are known."""
        self._cancellations_ms = max(self._cancellations_ms, stored_by_ms)

    def mark_workers(self, stored_by_ms: int) -> None:
        """Record that registrations stored by then are known."""
        self._workers_ms = max(self._workers_ms, stored_by_ms)

    def allows_starts(self, answered_ms: int) -> bool:
        """Return whether runs may be started on what was read.

        The store answered a renewal of the leader's key sent at `answered_ms`.
        While it answers none, it stores nothing either, or the leadership ends
        soon.
        """
        if self._outdated:
            return False
        return _is_recent(
            self._cancellations_ms, answered_ms, MAX_CANCELLATION_AGE_MS
        ) and _is_recent(self._workers_ms, answered_ms, MAX_DIRECTORY_AGE_MS)


def _is_recent(known_ms: int, answered_ms: int, max_age_ms: int) -> bool:
    """Return whether a watch has reported lately, or not started to."""
    return not known_ms or answered_ms - known_ms <= max_age_ms
