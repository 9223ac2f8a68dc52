"""Guarantees about customers' keys, checked against the times of changes.

They hold whatever fails: an instance that cannot know the newest cfg answers
503. Each check yields a line for every violation and nothing if there is none.
"""

from collections.abc import Iterator
from typing import Final

from soak.callers import ACCEPTED, FORBIDDEN, GONE, UNAUTHORIZED
from soak.record import SoakRecord

APPLY_S: Final = 3.0
"""`config_apply_ms`: until when a change of keys is in force everywhere."""

_KEY_ACCEPTED: Final = frozenset((ACCEPTED, FORBIDDEN, GONE))
"""Responses that only a call with a valid key gets."""


def accepted_keys(record: SoakRecord) -> Iterator[str]:
    """Find calls with unknown or withdrawn keys that were not refused."""
    for call in record.key_calls:
        is_refusal_due = call.answer.sent_s > call.key.withdrawn_s + APPLY_S
        if is_refusal_due and call.answer.status in _KEY_ACCEPTED:
            yield f'KEYS: accepted, {call}'


def refused_keys(record: SoakRecord) -> Iterator[str]:
    """Find calls with a key in force that were refused as unknown."""
    for call in record.key_calls:
        is_known = call.answer.sent_s > call.key.added_s + APPLY_S
        is_in_force = is_known and call.answer.heard_s < call.key.withdrawing_s
        if is_in_force and call.answer.status == UNAUTHORIZED:
            yield f'KEYS: refused, {call}'


def foreign_access(record: SoakRecord) -> Iterator[str]:
    """Find calls about jobs of another customer that had an effect."""
    for call in record.key_calls:
        is_foreign = call.owner not in {'', call.key.customer}
        if is_foreign and call.answer.status == ACCEPTED:
            yield f'KEYS: foreign access, {call}'


KEY_CHECKS: Final = (accepted_keys, refused_keys, foreign_access)
