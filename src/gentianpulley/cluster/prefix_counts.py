"""Counts of entries below a prefix, for callers that cannot wait long.

The cost of a count grows with the number of stored entries. Concurrent callers
share one read, and a later caller may get the result of an earlier read.
"""

import threading
from dataclasses import dataclass
from typing import Final

from gentianpulley.deadline import has_passed, now_ms, seconds_left
from gentianpulley.errors import StoreError
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import Store

MAX_COUNT_AGE_MS: Final = 1000
"""How long before a caller's arrival the read that answers it may have started.
Callers may be given a count that is up to two seconds old."""


@dataclass(frozen=True, slots=True)
class _Outcome:
    """The outcome of a read; `error` is set if it failed."""

    started_ms: int
    ended_ms: int
    entries: int = 0
    error: StoreError | None = None

    def is_valid_for(self, arrived_ms: int) -> bool:
        """Return whether a caller that arrived at a time gets this outcome.

        A failure is only reported to callers that waited for the read.
        """
        if self.error is not None and self.ended_ms < arrived_ms:
            return False
        return self.started_ms >= arrived_ms - MAX_COUNT_AGE_MS


class _SharedCount:
    """The count of one prefix: the latest outcome and the read in flight."""

    def __init__(self, store: Store, prefix: str) -> None:
        """Start empty."""
        self._store = store
        self._prefix = prefix
        self._changed = threading.Condition()
        self._outcome = _Outcome(0, 0)
        self._is_reading = False
        self._max_deadline_ms = 0

    def get(self, deadline_ms: int) -> int:
        """Return the count.

        Raises `StoreError` if the read failed or the deadline has passed.
        """
        arrived_ms = now_ms()
        with self._changed:
            self._max_deadline_ms = max(self._max_deadline_ms, deadline_ms)
            while not self._outcome.is_valid_for(arrived_ms):
                if has_passed(deadline_ms):
                    raise StoreError('entries not counted before the deadline')
                self._start_read_if_idle()
                self._changed.wait(seconds_left(deadline_ms))
            outcome = self._outcome
        if outcome.error is not None:
            raise outcome.error
        return outcome.entries

    def _start_read_if_idle(self) -> None:
        if not self._is_reading:
            threading.Thread(target=self._read, daemon=True).start()
            self._is_reading = True

    def _read(self) -> None:
        started_ms = now_ms()
        try:
            entries = self._count()
        except StoreError as exc:
            outcome = _Outcome(started_ms, now_ms(), error=exc)
        except Exception as error:
            # Callers report the error; without an outcome, the read would seem
            # to go on and block all later ones.
            store_error = StoreError(f'the count failed: {error!r}')
            outcome = _Outcome(started_ms, now_ms(), error=store_error)
        else:
            outcome = _Outcome(started_ms, now_ms(), entries)
        with self._changed:
            self._outcome = outcome
            self._is_reading = False
            self._changed.notify_all()

    def _count(self) -> int:
        """Read page by page for as long as a caller waits."""
        scan = PrefixScan(self._store, self._prefix)
        entries = 0
        for page in scan.pages():
            entries += len(page)
            if has_passed(self._max_deadline_ms) and not scan.is_complete:
                raise StoreError('no caller waits for the count any more')
        return entries


class SharedPrefixCounts:
    """Counts of the entries below several prefixes."""

    def __init__(self, store: Store) -> None:
        """Read from a store."""
        self._store = store
        self._lock = threading.Lock()
        self._counts: dict[str, _SharedCount] = {}

    def count(self, prefix: str, deadline_ms: int) -> int:
        """Return how many entries are stored below a prefix.

        Raises `StoreError` if the store does not answer before the deadline.
        """
        with self._lock:
            shared = self._counts.get(prefix)
            if shared is None:
                shared = _SharedCount(self._store, prefix)
                self._counts[prefix] = shared
        return shared.get(deadline_ms)
