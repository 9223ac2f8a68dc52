"""The relays that a leader may use now, and the workers that share its link."""

import threading
from collections.abc import Callable
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.cluster.relaying import (
    RelayFacts,
    choose_relay,
    needs_relays,
)
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog

READ_S: Final = 0.8
"""Time between two reads of the relays, about 6 kB each on a site of 40."""

HEARD_MS: Final = 2000
"""How long after the store was last heard starts may go through relays. A relay
is in touch with the store, so its starts must not follow cancellations that the
leader has not seen: the site gives three seconds, of which an order takes one
to leave."""

RELAY_REST_MS: Final = 3000
"""How long a relay that gave no answer is left alone; silence of a few seconds
is usual where an instance is frozen or cut off."""


class RelayTable(BackgroundLoop):
    """Knows which relays are there and which of them rest after trouble."""

    def __init__(
        self,
        instance: str,
        capacity: InstanceCapacity,
        read: Callable[[], tuple[RelayFacts, ...]],
        log: EventLog,
    ) -> None:
        """Prepare the thread; an instance does not relay for itself."""
        super().__init__('relay-table', READ_S, log)
        self._instance = instance
        self._capacity = capacity
        self._read = read
        self._lock = threading.Lock()
        self._known: dict[str, RelayFacts] = {}
        self._resting: dict[str, int] = {}
        self._usable: tuple[RelayFacts, ...] = ()
        self._workers = 0
        self._heard_ms = 0

    @property
    def usable(self) -> tuple[RelayFacts, ...]:
        """Return the relays to choose from; another object if they change."""
        return self._usable

    def note_worker(self, count: int) -> None:
        """Note that so many more workers are spoken with."""
        with self._lock:
            self._workers += count
            self._update()
        self.wake()

    def note_failed(self, relay: RelayFacts) -> None:
        """Let a relay rest that gave no answer."""
        with self._lock:
            is_news = relay.instance not in self._resting
            self._resting[relay.instance] = now_ms() + RELAY_REST_MS
            self._update()
        if is_news:
            self.log.relay_state(relay.instance, 'rests')

    def may_start(self) -> bool:
        """Tell whether the leader knows enough to start runs by relays."""
        return now_ms() < self._heard_ms + HEARD_MS

    def choose(self, worker_id: str, failure_domain: str) -> RelayFacts | None:
        """Return the relay for a worker, None to go directly."""
        return choose_relay(worker_id, failure_domain, self._usable)

    def step(self) -> None:
        """Read the relays if any are needed, and end rests."""
        if not self._is_needed():
            return
        asked_ms = now_ms()
        try:
            found = self._read()
        except StoreError as exc:
            # Relays that are known stay: they are tried before they are used.
            self.log.store_trouble(exc.text)
            found = tuple(self._known.values())
        else:
            self._heard_ms = asked_ms
        self._take(found)

    def _is_needed(self) -> bool:
        return needs_relays(self._capacity.link_bytes_s, self._workers)

    def _take(self, found: tuple[RelayFacts, ...]) -> None:
        at_ms = now_ms()
        known = {
            each.instance: each
            for each in found
            if each.instance != self._instance
        }
        with self._lock:
            former = self._known
            self._known = known
            self._resting = {
                name: until_ms
                for name, until_ms in self._resting.items()
                if until_ms > at_ms and name in known
            }
            self._update()
        for gained in sorted(known.keys() - former.keys()):
            self.log.relay_state(gained, 'gained')
        for lost in sorted(former.keys() - known.keys()):
            self.log.relay_state(lost, 'lost')

    def _update(self) -> None:
        """Work out which relays are usable; the lock is held."""
        usable = tuple(
            relay
            for name, relay in sorted(self._known.items())
            if name not in self._resting and self._is_needed()
        )
        if usable != self._usable:
            self._usable = usable
