"""Ids that expire, so that memory does not grow over a long leader term."""

from itertools import takewhile


class ExpiringIdSet:
    """Ids ordered by when they were added, oldest first."""

    def __init__(self, retention_ms: int) -> None:
        """Retain each id for `retention_ms` milliseconds."""
        self._retention_ms = retention_ms
        self._until_ms: dict[str, int] = {}

    def __contains__(self, wanted: str) -> bool:
        """Return whether an id is still retained."""
        return wanted in self._until_ms

    def add(self, added: str, now_ms: int) -> None:
        """Add an id, and drop those that have expired."""
        self._until_ms.pop(added, None)
        self._until_ms[added] = now_ms + self._retention_ms
        expired = takewhile(
            lambda each: self._until_ms[each] <= now_ms, self._until_ms
        )
        for expired_id in tuple(expired):
            self._until_ms.pop(expired_id)
