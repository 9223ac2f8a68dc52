"""The keys of a soak test's customers, and when they came and went."""

import time
from dataclasses import dataclass, field
from math import inf
from typing import Final

CUSTOMERS: Final = ('ada', 'bo')
MOST_KEYS: Final = 2
"""Keys of one customer that are in force at a time."""


@dataclass(eq=False)
class HeldKey:
    """A key of a customer, in monotonic time.

    It is in force for certain from `added_s`, when the store had acknowledged
    the cfg with it, to `withdrawing_s`, when the cfg without it was about to
    be written. That was acknowledged at `withdrawn_s`.
    """

    text: str
    customer: str
    added_s: float = inf
    withdrawing_s: float = inf
    withdrawn_s: float = inf


def unknown_key(text: str) -> HeldKey:
    """Return a key that no cfg has ever held."""
    return HeldKey(text, '', inf, -inf, -inf)


@dataclass
class KeyRing:
    """All keys so far, oldest first."""

    keys: list[HeldKey] = field(default_factory=list)

    def in_force(self, customer: str) -> list[HeldKey]:
        """Return the keys of a customer that are not being withdrawn."""
        return [
            key
            for key in self.keys
            if key.customer == customer and key.withdrawing_s == inf
        ]

    def withdrawn(self) -> list[HeldKey]:
        """Return the keys that were withdrawn."""
        return [key for key in self.keys if key.withdrawn_s < inf]

    def as_cfg(self) -> dict[str, list[str]]:
        """Return the texts of the keys in force, by customer."""
        return {
            customer: [key.text for key in self.in_force(customer)]
            for customer in CUSTOMERS
        }

    def begin_change(self, customer: str, text: str) -> None:
        """Add a key, and withdraw the oldest above the limit."""
        self.keys.append(HeldKey(text, customer))
        for key in self.in_force(customer)[:-MOST_KEYS]:
            key.withdrawing_s = time.monotonic()

    def end_change(self) -> None:
        """Record that the cfg with the change was acknowledged."""
        at_s = time.monotonic()
        for key in self.keys:
            key.added_s = min(key.added_s, at_s)
            if key.withdrawing_s < inf:
                key.withdrawn_s = min(key.withdrawn_s, at_s)
