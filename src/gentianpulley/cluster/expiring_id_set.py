"""Ids that are remembered for a while, so that a long reign does not grow."""

from itertools import takewhile


class ExpiringIdSet:
    """Ids by when they were added, the oldest first."""

    def __init__(self, retention_ms: int) -> None:
        """Remember each id for `retention_ms` milliseconds."""
        self._kept_ms = retention_ms
        self._until_ms: dict[str, int] = {}

    def __contains__(self, wanted: str) -> bool:
        """Return whether an id is remembered."""
        return wanted in self._until_ms

    def add(self, added: str, now_ms: int) -> None:
        """Remember an id, and drop those whose time is over."""
        self._until_ms.pop(added, None)
        self._until_ms[added] = now_ms + self._kept_ms
        is_old = takewhile(
            lambda each: self._until_ms[each] <= now_ms, self._until_ms
        )
        for old in tuple(is_old):
            self._until_ms.pop(old)
