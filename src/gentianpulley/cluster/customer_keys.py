"""Finds the customer of a call by its key, and what the call may access.

Keys are looked up by a hash under a random secret of the process, and then
compared in constant time, so response times tell nothing about the keys that
exist.
"""

import hmac
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from secrets import token_bytes
from typing import Final

from gentianpulley.cluster.customers import Customers

_SECRET: Final = token_bytes(blake2b.MAX_KEY_SIZE)


class KeyRefusal(Enum):
    """Why a call was refused because of its key."""

    MISSING = 'missing'
    UNKNOWN = 'unknown'
    STALE_CFG = 'stale cfg'


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a call: a customer, or nobody in particular.

    `customer` is empty if the call needed no key. A call that `is_restricted`
    may access the jobs of its customer and those that belong to none.
    """

    customer: str = ''
    is_restricted: bool = False

    def may_access(self, owner: str) -> bool:
        """Return whether jobs of `owner` may be seen, cancelled or repeated."""
        return not self.is_restricted or owner in {'', self.customer}


UNRESTRICTED: Final = Caller()
"""The caller where no customers are in force."""

NO_CUSTOMER: Final = Caller(is_restricted=True)
"""The caller on a public queue."""


class CustomerKeys:
    """The keys of all customers of one cfg."""

    def __init__(self, customers: Customers) -> None:
        """Hash all keys; an empty key belongs to nobody."""
        self._holders = {
            _digest(key): (key, name) for key, name in _held_keys(customers)
        }

    def find_holder(self, key: bytes) -> str | None:
        """Return the name of the customer that holds a key, or None."""
        held_key, name = self._holders.get(_digest(key), (b'', ''))
        return name if hmac.compare_digest(held_key, key) and key else None


def _held_keys(customers: Customers) -> Iterator[tuple[bytes, str]]:
    for customer in customers.by_name.values():
        for key in customer.keys:
            yield key.encode(), customer.name


def _digest(key: bytes) -> bytes:
    return blake2b(key, key=_SECRET).digest()
