"""The customers of a cfg: their keys, shares and ceilings."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
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


def create_customers(version: int, customers: Iterable[Customer]) -> Customers:
    """Return the customers of a cfg version.

    Raises `ValueError` with the reason, which contains no key, if they
    contradict each other or one of them is invalid.
    """
    by_name: dict[str, Customer] = {}
    held_keys: set[str] = set()
    for customer in customers:
        error = _error(customer, by_name, held_keys)
        if error:
            raise ValueError(error)
        held_keys |= customer.keys
        weight = max(MIN_WEIGHT, customer.weight)
        by_name[customer.name] = replace(customer, weight=weight)
    return Customers(version, by_name)


def _error(
    customer: Customer, by_name: Mapping[str, Customer], held_keys: set[str]
) -> str:
    """Return why a customer is invalid beside others, or an empty text."""
    name = customer.name
    if not name:
        return 'a customer has no name'
    if name in by_name:
        return f'two customers are named {name}'
    if customer.weight < 0:
        return f'customer {name} has a negative weight'
    if min(customer.ceiling.as_tuple()) < 0:
        return f'customer {name} has a negative ceiling'
    if not held_keys.isdisjoint(customer.keys):
        return f'customer {name} has a key of another customer'
    return ''
