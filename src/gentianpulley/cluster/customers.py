"""The customers of a cfg: their keys, shares and ceilings."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.resources import NO_RESOURCES, Resources

MIN_WEIGHT: Final = 1
"""Weight of a customer whose cfg gives none or zero."""


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of a cfg.

    `weight` is its share when capacity is short, and the number of jobs a
    second that it is owed. `ceiling` is what it may have running in all; a
    resource of 0 has no limit. `keys` are the keys that its calls may carry.
    """

    name: str
    weight: int = MIN_WEIGHT
    ceiling: Resources = NO_RESOURCES
    keys: frozenset[str] = field(default=frozenset(), repr=False)


@dataclass(frozen=True, slots=True)
class Customers:
    """All customers of one cfg version, by name."""

    version: int = 0
    by_name: Mapping[str, Customer] = field(default_factory=dict)
