"""Watches the control keys in the store with one watch."""

from typing import Final

from gentianpulley.background import BackgroundLoop, Backoff
from gentianpulley.control_keys import CONTROL_PREFIX
from gentianpulley.control_state import ControlState
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRefusedError,
)
from gentianpulley.logs import EventLog
from gentianpulley.store import Store

INITIAL_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 2.0
_NEVER_READ: Final = -1


class ControlWatch(BackgroundLoop):
    """Reads all control keys once, then watches them for changes.

    A watch that breaks or stops responding is reopened at the last revision
    seen; the keys are re-read only when the store refuses that, so that a
    store which recovers from an outage is not flooded with full reads.
    """

    def __init__(
        self, store: Store, state: ControlState, log: EventLog
    ) -> None:
        """Prepare the thread."""
        super().__init__('control-watch', 0, log)
        self._store = store
        self._state = state
        self._revision = _NEVER_READ
        self._backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    def step(self) -> None:
        """Watch the store until the watch ends."""
        try:
            self._watch()
        except StoreRefusedError as refused:
            self._revision = _NEVER_READ
            self.log.store_trouble(refused.text)
        except StoreAnswerLostError as lost:
            self.log.store_trouble(lost.text)
        except StoreError as exc:
            self.log.store_trouble(exc.text)
        self.pause(self._backoff.next_delay_s())

    def _watch(self) -> None:
        if self._revision == _NEVER_READ:
            snapshot = self._store.read_prefix(CONTROL_PREFIX)
            self._state.update_last_contact()
            self._state.load_snapshot(snapshot)
            self._revision = snapshot.revision
        for batch in self._store.watch(CONTROL_PREFIX, self._revision):
            self._backoff.reset()
            self._state.update_last_contact()
            self._state.apply(batch.changes)
            self._revision = max(self._revision, batch.revision)
            if self.is_stopping:
                return
