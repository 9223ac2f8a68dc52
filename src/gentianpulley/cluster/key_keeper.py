"""Keeps the leader's key while a new leader loads.

Loading takes as long as the link to the store makes it, which may be longer
than the lease of the key.
"""

import threading
from collections.abc import Callable

from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog


class KeyKeeper:
    """A thread that renews the key until it is closed."""

    def __init__(
        self, renew: Callable[[], None], interval_s: float, log: EventLog
    ) -> None:
        """Begin; the first renewal is due after one interval."""
        self._renew = renew
        self._interval_s = interval_s
        self._log = log
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._keep, name='keep-key', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """End the thread; returns once no renewal is under way."""
        self._closed.set()
        self._thread.join()

    def _keep(self) -> None:
        while not self._closed.wait(self._interval_s):
            try:
                self._renew()
            except StoreError as exc:
                self._log.store_trouble(exc.text)
