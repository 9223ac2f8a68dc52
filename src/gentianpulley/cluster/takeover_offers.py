"""The takeover offer: one key under a lease of its owner.

The key is below the prefix of the leader's key, so candidates receive it
through their existing watch.
"""

from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.election_policy import (
    OFFER_TTL_S,
    Candidate,
    ObservedOffer,
    decode_candidate,
    encode_candidate,
)
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    Precondition,
    Put,
    Store,
    StoreLease,
    Transaction,
)

OFFER_KEY: Final = f'{LEADER_KEY}-offer'


@dataclass(frozen=True, slots=True)
class LeasedKey:
    """A key that this instance created, and the key's lease."""

    lease: StoreLease
    revision: int


class OfferPublisher:
    """Creates, renews and withdraws the offer of a candidate."""

    def __init__(self, store: Store, own: Candidate, log: EventLog) -> None:
        """Start without an offer."""
        self._store = store
        self._own = own
        self._log = log
        self._lease: StoreLease | None = None

    def update(self, is_offering: bool) -> None:
        """Create, renew or withdraw the offer; raises `StoreError`."""
        if is_offering:
            self._create_or_renew()
        else:
            self.withdraw()

    def withdraw(self) -> None:
        """Withdraw the offer; it expires if the store is unavailable."""
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self._log.store_trouble(exc.text)

    def _create_or_renew(self) -> None:
        lease = self._lease
        if lease is not None:
            self._lease = self._store.keep_alive(lease)
            return
        body = encode_candidate(self._own)
        created = create_leased_key(self._store, OFFER_KEY, body, OFFER_TTL_S)
        if created is not None:
            self._lease = created.lease
            self._log.candidacy('offers', self._own.instance)


class OfferObserver:
    """Tracks, for the leader, which offer is stored and since when."""

    def __init__(self, store: Store) -> None:
        """Start without an offer."""
        self._store = store
        self._revision = ABSENT
        self._since_ms = 0

    def read(self) -> ObservedOffer | None:
        """Read the offer from the store; raises `StoreError`."""
        entry = self._store.read(OFFER_KEY)
        at_ms = now_ms()
        revision = ABSENT if entry is None else entry.revision
        if revision != self._revision:
            self._revision = revision
            self._since_ms = at_ms
        if entry is None:
            return None
        candidate = decode_candidate(entry.body)
        return ObservedOffer(candidate, at_ms - self._since_ms)


def create_leased_key(
    store: Store, key: str, body: bytes, ttl_s: int
) -> LeasedKey | None:
    """Create a key under a new lease; return None if the key exists.

    Raises `StoreError`; what is left behind in that case expires.
    """
    lease = store.grant_lease(ttl_s)
    put = Put(key, body, lease.lease_id)
    try:
        commit = store.commit(Transaction((Precondition(key, ABSENT),), (put,)))
    except StoreAnswerLostError:
        store.revoke(lease)
        raise
    if commit.applied:
        return LeasedKey(lease, commit.revision)
    store.revoke(lease)
    return None
