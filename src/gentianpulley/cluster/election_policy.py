"""Who should lead: decisions of candidates and of the leader, without calls.

The leader's key and the offer both hold a `Candidate`. A candidate waits
longer the smaller it is; a much larger one offers to take over, and the
leader hands over to an offer that stands.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.cluster.capacity import MILLI, InstanceCapacity

CANDIDATE_JITTER_S: Final = 0.1
"""Longest random delay of a candidate, so that few try at once."""

MAX_INITIAL_DELAY_S: Final = 1.5
"""Longest delay where no former leader is known. A candidate of one processor
waits for half of it, so that larger ones win although all start together."""

MAX_SMALLER_DELAY_S: Final = 0.5
"""Longest delay of candidates that are smaller than the former leader."""

OFFER_PRIORITY_DELAY_S: Final = 0.5
"""How long others wait for a candidate whose offer stands."""

TAKE_OVER_RATIO: Final = 2
"""How many times as large as the leader a candidate is that offers."""

MIN_HEALTHY_MS: Final = 5000
"""How long a candidate has been healthy before it offers."""

OFFER_TTL_S: Final = 3
"""Lease of an offer; it is renewed with each answer of a watch."""

MIN_OFFER_AGE_MS: Final = 3000
"""How long an offer has been seen before the leader hands over: an owner that
died before has not renewed it."""

BACKOFF_MS: Final = 30_000
"""How long an instance that could not do the office leaves it to others."""

BACKOFF_EXTRA_DELAY_S: Final = 2.0
"""How much longer it waits meanwhile before it creates a free key: more than
the smallest one waits, and a failed call."""

MIN_HAND_OVER_INTERVAL_MS: Final = 30_000
"""Shortest time between two hand-overs of one instance to offers."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that leads or would lead.

    The capacity is None where an instance of an older version leads.
    """

    instance: str
    capacity: InstanceCapacity | None = None

    @property
    def size_milli(self) -> int | None:
        """Return how large a leader it makes, None if that is not known."""
        return self.capacity.size_milli if self.capacity else None


@dataclass(frozen=True, slots=True)
class DelayRange:
    """The bounds of a random delay, in seconds."""

    min_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class ObservedOffer:
    """An offer as the leader sees it: whose, and for how long it stood."""

    candidate: Candidate
    observed_for_ms: int


def encode_candidate(candidate: Candidate) -> bytes:
    """Return what the leader's key or an offer holds."""
    return msgspec.json.encode(candidate)


def decode_candidate(body: bytes) -> Candidate:
    """Read a key; anything else is a name, as older versions wrote it."""
    try:
        return msgspec.json.decode(body, type=Candidate)
    except msgspec.DecodeError:
        return Candidate(body.decode(errors='replace'))


def vacancy_delay(
    own: Candidate, former: Candidate | None, offer: Candidate | None
) -> DelayRange:
    """Return how long to wait before creating a leader's key that is free."""
    if offer is not None and offer.instance == own.instance:
        return DelayRange(0, 0)
    former_milli = former.size_milli if former else None
    least_s = _least_delay_s(own.size_milli, former_milli)
    if offer is not None:
        least_s += OFFER_PRIORITY_DELAY_S
    return DelayRange(least_s, least_s + CANDIDATE_JITTER_S)


def backoff_delay(delay: DelayRange) -> DelayRange:
    """Return how long one waits that leaves the office to others."""
    return DelayRange(
        delay.min_s + BACKOFF_EXTRA_DELAY_S, delay.max_s + BACKOFF_EXTRA_DELAY_S
    )


def should_offer(
    own: Candidate, leader: Candidate, healthy_for_ms: int
) -> bool:
    """Tell whether a candidate offers to take over from the leader."""
    return healthy_for_ms >= MIN_HEALTHY_MS and _is_much_larger(own, leader)


def should_hand_over(
    own: Candidate, offer: ObservedOffer, last_hand_over_ms: int, at_ms: int
) -> bool:
    """Tell whether the leader hands over to an offer."""
    return (
        offer.observed_for_ms >= MIN_OFFER_AGE_MS
        and at_ms - last_hand_over_ms >= MIN_HAND_OVER_INTERVAL_MS
        and _is_much_larger(offer.candidate, own)
    )


def _least_delay_s(own_milli: int | None, former_milli: int | None) -> float:
    own = own_milli or 1
    if former_milli is None:
        return MAX_INITIAL_DELAY_S * MILLI / (MILLI + own)
    return MAX_SMALLER_DELAY_S * max(0, 1 - own / former_milli)


def _is_much_larger(candidate: Candidate, other: Candidate) -> bool:
    size_milli = candidate.size_milli
    other_milli = other.size_milli
    if size_milli is None or other_milli is None:
        return False
    return size_milli >= TAKE_OVER_RATIO * other_milli
