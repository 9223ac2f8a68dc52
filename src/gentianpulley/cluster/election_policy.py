"""Election policy: decisions of candidates and of the leader, without I/O.

The leader's key and the takeover offer both hold a `Candidate`. The smaller a
candidate is, the longer it waits. A much larger candidate offers to take over,
and the leader hands over if the offer stays in the store.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.json_decoding import decode_json
from gentianpulley.cluster.capacity import MILLI, InstanceCapacity

CANDIDATE_JITTER_S: Final = 0.1
"""Maximum random delay of a candidate, so that few try at once."""

MAX_INITIAL_DELAY_S: Final = 1.5
"""Maximum delay if no previous leader is known. A candidate with one processor
waits for half of it, so that larger ones win even if all start together."""

MAX_SMALLER_DELAY_S: Final = 0.5
"""Maximum delay of candidates that are smaller than the previous leader."""

OFFER_PRIORITY_DELAY_S: Final = 0.5
"""Extra delay of other candidates while a takeover offer is stored."""

TAKE_OVER_RATIO: Final = 2
"""Minimum ratio of a candidate's size to the leader's for a takeover."""

MIN_HEALTHY_MS: Final = 5000
"""How long a candidate must have been healthy before it makes an offer."""

OFFER_TTL_S: Final = 3
"""Lease of an offer; it is renewed with each response of a watch."""

MIN_OFFER_AGE_MS: Final = 3000
"""How long the leader must have seen an offer before it hands over. The offer
of a candidate that died is not renewed, so it expires by then."""

BACKOFF_MS: Final = 30_000
"""How long an instance that failed to lead backs off in favor of others."""

BACKOFF_EXTRA_DELAY_S: Final = 2.0
"""Extra delay, before creating a free key, of an instance that backs off. It
exceeds the delay of the smallest candidate plus a failed call."""

MIN_HAND_OVER_INTERVAL_MS: Final = 30_000
"""Minimum time between two handovers of one instance to offers."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that leads or is a candidate for leader.

    The capacity is None and the address empty if an instance of an older
    version leads. Only one process at a time listens on the address.
    """

    instance: str
    capacity: InstanceCapacity | None = None
    address: str = ''

    def is_same_machine(self, other: 'Candidate') -> bool:
        """Return whether another candidate is certain to be on this machine.

        A machine that replaces another may get its name, at another address.
        """
        return (
            bool(self.address)
            and self.address == other.address
            and self.instance == other.instance
        )

    @property
    def size_milli(self) -> int | None:
        """Return the instance's size as a leader, None if unknown."""
        return self.capacity.size_milli if self.capacity else None


@dataclass(frozen=True, slots=True)
class DelayRange:
    """The limits of a random delay, in seconds."""

    min_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class ObservedOffer:
    """An offer as the leader sees it: its candidate, and for how long seen."""

    candidate: Candidate
    observed_for_ms: int


_CANDIDATE_DECODER: Final = msgspec.json.Decoder(Candidate)


def encode_candidate(candidate: Candidate) -> bytes:
    """Return the value of the leader's key or of an offer."""
    return msgspec.json.encode(candidate)


def decode_candidate(body: bytes) -> Candidate:
    """Decode a key's value.

    Any other value is an instance name, as older versions wrote it.
    """
    try:
        return decode_json(_CANDIDATE_DECODER, body)
    except msgspec.DecodeError:
        return Candidate(body.decode(errors='replace'))


def vacancy_delay(
    own: Candidate, previous: Candidate | None, offer: Candidate | None
) -> DelayRange:
    """Return how long to wait before creating a free leader's key."""
    if offer is not None and offer.instance == own.instance:
        return DelayRange(0, 0)
    previous_milli = previous.size_milli if previous else None
    min_delay_s = _min_delay_s(own.size_milli, previous_milli)
    if offer is not None:
        min_delay_s += OFFER_PRIORITY_DELAY_S
    return DelayRange(min_delay_s, min_delay_s + CANDIDATE_JITTER_S)


def backoff_delay(delay: DelayRange) -> DelayRange:
    """Return the delay of an instance that backs off."""
    return DelayRange(
        delay.min_s + BACKOFF_EXTRA_DELAY_S, delay.max_s + BACKOFF_EXTRA_DELAY_S
    )


def should_offer(
    own: Candidate, leader: Candidate, healthy_for_ms: int
) -> bool:
    """Return whether a candidate should offer to take over from the leader."""
    return healthy_for_ms >= MIN_HEALTHY_MS and _is_much_larger(own, leader)


def should_hand_over(
    own: Candidate, offer: ObservedOffer, last_hand_over_ms: int, at_ms: int
) -> bool:
    """Return whether the leader should hand over to an offer."""
    return (
        offer.observed_for_ms >= MIN_OFFER_AGE_MS
        and at_ms - last_hand_over_ms >= MIN_HAND_OVER_INTERVAL_MS
        and _is_much_larger(offer.candidate, own)
    )


def _min_delay_s(own_milli: int | None, previous_milli: int | None) -> float:
    own = own_milli or 1
    if previous_milli is None:
        return MAX_INITIAL_DELAY_S * MILLI / (MILLI + own)
    return MAX_SMALLER_DELAY_S * max(0, 1 - own / previous_milli)


def _is_much_larger(candidate: Candidate, other: Candidate) -> bool:
    size_milli = candidate.size_milli
    other_milli = other.size_milli
    if size_milli is None or other_milli is None:
        return False
    return size_milli >= TAKE_OVER_RATIO * other_milli
