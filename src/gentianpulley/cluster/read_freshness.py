"""What a leader has to have read from the store before it starts anything.

A job may be cancelled after it was read, so no start is planned while what is
known of cancellations is too old.
"""

import enum
from typing import Final

MAX_CANCELLATION_AGE_MS: Final = 2500
"""How long the watch of cancellations may have reported nothing while the store
answers renewals. It reports each 1.8 s, and the cluster allows starts until 3 s
after a cancellation."""


class Reread(enum.Enum):
    """What a new leader reads again, or further, once it has loaded.

    The load takes long, and these may be older than the jobs by then.
    """

    CANCELLATIONS = enum.auto()
    WORKERS = enum.auto()


class ReadFreshness:
    """Tracks how old a leader's knowledge of the store is."""

    def __init__(self) -> None:
        """Start with nothing to read again, and no watch of cancellations."""
        self._outdated: frozenset[Reread] = frozenset()
        self._cancellations_ms = 0

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

    def allows_starts(self, answered_ms: int) -> bool:
        """Return whether starts may be planned on what was read.

        The store answered a renewal of the leader's key sent at `answered_ms`.
        While it answers none, it stores no cancellations either, or the
        leadership ends soon.
        """
        if self._outdated:
            return False
        age_ms = answered_ms - self._cancellations_ms
        return not self._cancellations_ms or age_ms <= MAX_CANCELLATION_AGE_MS
