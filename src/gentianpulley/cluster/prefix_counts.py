"""How many entries stand below a prefix, for callers that cannot wait long.

What a count reads grows with what is stored. Callers that ask at the same time
share one read, and one that comes later may get what it found.
"""

import threading
from dataclasses import dataclass
from typing import Final

from gentianpulley.deadline import has_passed, now_ms, seconds_left
from gentianpulley.errors import StoreError
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import Store

MAX_COUNT_AGE_MS: Final = 1000
"""How long before a caller came the read that answers it may have begun;
callers may be told what was true two seconds before."""


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What a read found; `fault` is set if it failed."""

    began_ms: int
    ended_ms: int
    entries: int = 0
    fault: StoreError | None = None

    def serves(self, came_ms: int) -> bool:
        """Tell whether a caller that came then is told this.

        A failure concerns only those that waited for the read.
        """
        if self.fault is not None and self.ended_ms < came_ms:
            return False
        return self.began_ms >= came_ms - MAX_COUNT_AGE_MS


class _SharedCount:
    """The count of one prefix: the latest outcome and the read under way."""

    def __init__(self, store: Store, prefix: str) -> None:
        """Know nothing yet."""
        self._store = store
        self._prefix = prefix
        self._changed = threading.Condition()
        self._outcome = _Outcome(0, 0)
        self._is_reading = False
        self._until_ms = 0

    def get(self, deadline_ms: int) -> int:
        """Return the count; raises `StoreError`, also once it is too late."""
        came_ms = now_ms()
        with self._changed:
            self._until_ms = max(self._until_ms, deadline_ms)
            while not self._outcome.serves(came_ms):
                if has_passed(deadline_ms):
                    raise StoreError('not counted before the deadline')
                self._ensure_read()
                self._changed.wait(seconds_left(deadline_ms))
            outcome = self._outcome
        if outcome.fault is not None:
            raise outcome.fault
        return outcome.entries

    def _ensure_read(self) -> None:
        if not self._is_reading:
            threading.Thread(target=self._read, daemon=True).start()
            self._is_reading = True

    def _read(self) -> None:
        began_ms = now_ms()
        try:
            entries = self._count()
        except StoreError as exc:
            outcome = _Outcome(began_ms, now_ms(), fault=exc)
        except Exception as fault:
            # Callers tell of it; a read that never ends would stop all later.
            failed = StoreError(f'the count failed: {fault!r}')
            outcome = _Outcome(began_ms, now_ms(), fault=failed)
        else:
            outcome = _Outcome(began_ms, now_ms(), entries)
        with self._changed:
            self._outcome = outcome
            self._is_reading = False
            self._changed.notify_all()

    def _count(self) -> int:
        """Read page by page, for as long as somebody waits."""
        reading = PrefixScan(self._store, self._prefix)
        entries = 0
        for page in reading.pages():
            entries += len(page)
            if has_passed(self._until_ms) and not reading.is_complete:
                raise StoreError('nobody waits for the count any more')
        return entries


class SharedPrefixCounts:
    """Counts below many prefixes."""

    def __init__(self, store: Store) -> None:
        """Read from a store."""
        self._store = store
        self._lock = threading.Lock()
        self._counts: dict[str, _SharedCount] = {}

    def count(self, prefix: str, deadline_ms: int) -> int:
        """Return how many entries stand below a prefix.

        Raises `StoreError` if the store does not tell before the deadline.
        """
        with self._lock:
            shared = self._counts.get(prefix)
            if shared is None:
                shared = _SharedCount(self._store, prefix)
                self._counts[prefix] = shared
        return shared.get(deadline_ms)
