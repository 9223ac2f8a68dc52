"""The election policy: decisions of candidates and of the leader."""

import pytest

from gentianpulley.cluster.election_policy import (
    CANDIDATE_JITTER_S,
    MAX_INITIAL_DELAY_S,
    MIN_HAND_OVER_INTERVAL_MS,
    OFFER_PRIORITY_DELAY_S,
    MIN_OFFER_AGE_MS,
    MIN_HEALTHY_MS,
    MAX_SMALLER_DELAY_S,
    Candidate,
    ObservedOffer,
    decode_candidate,
    encode_candidate,
    should_hand_over,
    should_offer,
    vacancy_delay,
)
from gentianpulley.cluster.capacity import InstanceCapacity

MAX_START_SKEW_S = 0.3


def _sized(milli: int, instance: str = 'i') -> Candidate:
    return Candidate(instance, InstanceCapacity(processors_milli=milli))


UNKNOWN = Candidate('older')
SMALL = _sized(516)
LARGE = _sized(2151)


@pytest.mark.parametrize(
    ('capacity', 'size_milli'),
    [
        (InstanceCapacity(516), 516),
        (InstanceCapacity(2000, link_bytes_s=1_000_000), 500),
        (InstanceCapacity(2000, memory_bytes=50_000_000), 500),
        (InstanceCapacity(1, 1, 1), 1),
    ],
)
def test_the_scarcest_resource_sets_the_size(
    capacity: InstanceCapacity, size_milli: int
) -> None:
    assert capacity.size_milli == size_milli


@pytest.mark.parametrize(
    ('body', 'candidate'),
    [
        (encode_candidate(SMALL), SMALL),
        (b'front-a-1', Candidate('front-a-1')),
        (b'{"instance":3}', Candidate('{"instance":3}')),
        (b'\xff', Candidate('\ufffd')),
        (b'', Candidate('')),
    ],
)
def test_a_key_of_any_version_is_read(
    body: bytes, candidate: Candidate
) -> None:
    assert decode_candidate(body) == candidate


@pytest.mark.parametrize(
    ('own', 'former', 'offer', 'least_s'),
    [
        (SMALL, SMALL, None, 0),
        (LARGE, SMALL, None, 0),
        (_sized(500), _sized(2000), None, MAX_SMALLER_DELAY_S * 0.75),
        (SMALL, SMALL, _sized(2151, 'other'), OFFER_PRIORITY_DELAY_S),
        (_sized(1000), None, None, MAX_INITIAL_DELAY_S / 2),
        (_sized(1000), UNKNOWN, None, MAX_INITIAL_DELAY_S / 2),
    ],
)
def test_a_smaller_candidate_waits_longer(
    own: Candidate,
    former: Candidate | None,
    offer: Candidate | None,
    least_s: float,
) -> None:
    delay = vacancy_delay(own, former, offer)
    assert delay.min_s == pytest.approx(least_s)
    assert delay.max_s == pytest.approx(least_s + CANDIDATE_JITTER_S)


def test_the_owner_of_the_offer_does_not_wait() -> None:
    delay = vacancy_delay(LARGE, SMALL, LARGE)
    assert not delay.max_s


@pytest.mark.parametrize('milli', [1, 100, 516, 2151, 64_000])
def test_every_wait_is_bounded(milli: int) -> None:
    """A cluster of only small instances also gets a leader in time."""
    offer = Candidate('other')
    first = vacancy_delay(_sized(milli), None, None)
    later = vacancy_delay(_sized(milli), _sized(64_000), offer)
    assert first.max_s <= MAX_INITIAL_DELAY_S + CANDIDATE_JITTER_S
    assert (
        later.max_s
        <= MAX_SMALLER_DELAY_S + OFFER_PRIORITY_DELAY_S + CANDIDATE_JITTER_S
    )


def test_a_first_election_outweighs_the_spread_of_starts() -> None:
    small = vacancy_delay(SMALL, None, None)
    large = vacancy_delay(LARGE, None, None)
    assert large.max_s + MAX_START_SKEW_S < small.min_s


@pytest.mark.parametrize(
    ('own', 'leader', 'healthy_for_ms', 'offers'),
    [
        (LARGE, SMALL, MIN_HEALTHY_MS, True),
        (LARGE, SMALL, MIN_HEALTHY_MS - 1, False),
        (LARGE, LARGE, MIN_HEALTHY_MS, False),
        (SMALL, SMALL, MIN_HEALTHY_MS, False),
        (SMALL, LARGE, MIN_HEALTHY_MS, False),
        (_sized(1031), SMALL, MIN_HEALTHY_MS, False),
        (_sized(1032), SMALL, MIN_HEALTHY_MS, True),
        (LARGE, UNKNOWN, MIN_HEALTHY_MS, False),
    ],
)
def test_only_a_settled_and_much_larger_candidate_offers(
    own: Candidate, leader: Candidate, healthy_for_ms: int, offers: bool
) -> None:
    assert should_offer(own, leader, healthy_for_ms) is offers


@pytest.mark.parametrize(
    ('own', 'offer', 'seen_for_ms', 'since_last_ms', 'yields'),
    [
        (SMALL, LARGE, MIN_OFFER_AGE_MS, MIN_HAND_OVER_INTERVAL_MS, True),
        (SMALL, LARGE, MIN_OFFER_AGE_MS - 1, MIN_HAND_OVER_INTERVAL_MS, False),
        (SMALL, LARGE, MIN_OFFER_AGE_MS, MIN_HAND_OVER_INTERVAL_MS - 1, False),
        (SMALL, SMALL, MIN_OFFER_AGE_MS, MIN_HAND_OVER_INTERVAL_MS, False),
        (LARGE, SMALL, MIN_OFFER_AGE_MS, MIN_HAND_OVER_INTERVAL_MS, False),
        (SMALL, UNKNOWN, MIN_OFFER_AGE_MS, MIN_HAND_OVER_INTERVAL_MS, False),
    ],
)
def test_a_leader_hands_over_to_a_standing_offer_at_most_once_in_a_time(
    own: Candidate,
    offer: Candidate,
    seen_for_ms: int,
    since_last_ms: int,
    yields: bool,
) -> None:
    standing = ObservedOffer(offer, seen_for_ms)
    assert should_hand_over(own, standing, 1000, 1000 + since_last_ms) is yields
