"""The soak checks report each broken guarantee about customers' keys."""

import pytest

from soak.callers import Answer
from soak.key_callers import KeyCall
from soak.key_promises import KEY_CHECKS
from soak.key_ring import CUSTOMERS, HeldKey, KeyRing, unknown_key
from soak.record import SoakRecord

OWN, OTHER = CUSTOMERS
HELD = HeldKey('k', OWN, 10, 20, 21)


def _found(key: HeldKey, status: int, at_s: float, owner: str = OWN) -> str:
    """Return the text that begins the violations by one call."""
    answer = Answer('n0', 'GET', at_s, at_s + 0.1, status)
    record = SoakRecord((), {}, (), (KeyCall(key, owner, answer),))
    lines = [line for check in KEY_CHECKS for line in check(record)]
    return ' '.join(line.partition(', ')[0] for line in lines)


@pytest.mark.parametrize(
    ('key', 'status', 'at_s', 'owner', 'found'),
    [
        (HELD, 200, 15, OWN, ''),
        (HELD, 401, 12, OWN, ''),
        (HELD, 401, 15, OWN, 'KEYS: refused'),
        (HELD, 503, 15, OWN, ''),
        (HELD, 401, 20.5, OWN, ''),
        (HELD, 200, 23, OWN, ''),
        (HELD, 200, 25, OWN, 'KEYS: accepted'),
        (HELD, 410, 25, '', 'KEYS: accepted'),
        (HELD, 401, 25, OWN, ''),
        (HELD, 403, 15, OTHER, ''),
        (HELD, 200, 15, OTHER, 'KEYS: foreign access'),
        (unknown_key('u'), 401, 15, '', ''),
        (unknown_key('u'), 200, 15, '', 'KEYS: accepted'),
    ],
)
def test_calls_that_break_a_promise_are_found(
    key: HeldKey, status: int, at_s: float, owner: str, found: str
) -> None:
    assert _found(key, status, at_s, owner) == found


def test_the_oldest_key_of_a_customer_is_withdrawn() -> None:
    ring = KeyRing()
    for text in ('1', '2', '3'):
        ring.begin_change(OWN, text)
        ring.end_change()
    assert ring.as_cfg() == {OWN: ['2', '3'], OTHER: []}
    assert [key.text for key in ring.withdrawn()] == ['1']
    assert ring.keys[0].added_s < ring.keys[0].withdrawing_s
