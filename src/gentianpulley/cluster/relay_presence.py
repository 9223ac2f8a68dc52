"""Which instances relay: keys in the store, each under its owner's lease."""

from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.job_book import ROOT
from gentianpulley.cluster.offers import create_leased_key
from gentianpulley.cluster.relaying import RelayFacts
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Store, StoreLease

RELAY_PREFIX: Final = f'{ROOT}relay/'

PRESENCE_TTL_S: Final = 9
"""Lease of a key. A relay that is gone is noticed by the first call already."""

RENEW_S: Final = 3.0
"""Time between two renewals: two may be missed."""


class RelayPresence(BackgroundLoop):
    """Keeps an instance known as a relay until it stops."""

    def __init__(self, store: Store, own: RelayFacts, log: EventLog) -> None:
        """Prepare the thread."""
        super().__init__('relay-presence', RENEW_S, log)
        self._store = store
        self._own = own
        self._lease: StoreLease | None = None

    def step(self) -> None:
        """Renew the key, or create it."""
        try:
            self._renew()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def withdraw(self) -> None:
        """Remove the key; without the store it lapses."""
        self.stop()
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _renew(self) -> None:
        lease = self._lease
        if lease is not None:
            self._lease = self._store.keep_alive(lease)
        if self._lease is not None or self.is_stopping:
            return
        made = create_leased_key(
            self._store,
            relay_key(self._own.instance),
            msgspec.json.encode(self._own),
            PRESENCE_TTL_S,
        )
        if made is not None:
            self._lease = made.lease


def relay_key(instance: str) -> str:
    """Return where it stands that an instance relays."""
    return f'{RELAY_PREFIX}{instance}'


def read_relays(store: Store, log: EventLog) -> tuple[RelayFacts, ...]:
    """Return the relays that are known; raises `StoreError`."""
    found = []
    for entry in store.read_prefix(RELAY_PREFIX).entries:
        try:
            found.append(msgspec.json.decode(entry.body, type=RelayFacts))
        except msgspec.DecodeError as exc:
            log.document_damaged(entry.key, str(exc))
    return tuple(found)
