"""When workers are reached through relays, and through which."""

from collections import Counter

from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.relaying import (
    RelayFacts,
    choose_relay,
    needs_relays,
)

RELAYS = tuple(
    RelayFacts(f'front-{domain}-{number}', domain, f'10.0.0.{number}:7720')
    for domain in 'abcd'
    for number in range(10)
)
WORKERS = tuple(f'i-{number:010x}' for number in range(240))


def _chosen(relays: tuple[RelayFacts, ...]) -> dict[str, RelayFacts]:
    return {
        worker: relay
        for worker in WORKERS
        if (relay := choose_relay(worker, 'b', relays)) is not None
    }


def test_a_narrow_link_needs_relays_and_a_wide_one_does_not() -> None:
    assert needs_relays(1_250_000, 240)
    assert not needs_relays(25_000_000, 240)
    assert not needs_relays(DEFAULT_LINK_BYTES_S, 2000)
    assert not needs_relays(1_250_000, 24)


def test_workers_get_relays_of_their_domain_evenly() -> None:
    counts = Counter(relay.instance for relay in _chosen(RELAYS).values())
    assert {name[6] for name in counts} == {'b'}
    assert len(counts) == 10
    assert max(counts.values()) <= 2 * len(WORKERS) / 10


def test_only_workers_of_a_lost_relay_move() -> None:
    former = _chosen(RELAYS)
    gone = RELAYS[10]
    left = _chosen(tuple(each for each in RELAYS if each != gone))
    moved = {each for each in WORKERS if left[each] != former[each]}
    assert moved == {each for each in WORKERS if former[each] == gone}


def test_another_domain_relays_where_the_own_has_none() -> None:
    others = tuple(each for each in RELAYS if each.failure_domain != 'b')
    assert len(_chosen(others)) == len(WORKERS)
    assert choose_relay('w', 'b', ()) is None
