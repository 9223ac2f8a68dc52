"""What each customer has running, and whether a start fits its ceiling.

Handles customers that submit more than they may have running at a time. A run
counts from its order until its end is certain, whatever becomes of its job.
What a new leader inherits and has not seen yet counts as well.
"""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import NO_RESOURCES, Resources


@dataclass(slots=True)
class Holding:
    """The runs of one customer, and what they need in all.

    The processors of best-effort tasks count, although no worker reserves them.
    """

    runs: int = 0
    processors_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def add(self, need: Resources, count: int = 1) -> None:
        """Add runs that need as much each; a negative count removes them."""
        self.runs += count
        self.processors_milli += count * need.processors_milli
        self.memory_mib += count * need.memory_mib
        self.accelerators += count * need.accelerators

    def plus(self, other: 'Holding') -> 'Holding':
        """Return the sum with another holding."""
        return Holding(
            self.runs + other.runs,
            self.processors_milli + other.processors_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def as_resources(self) -> Resources:
        """Return what the runs need, without their number."""
        return Resources(
            self.processors_milli, self.memory_mib, self.accelerators
        )


_NOTHING: Final = Holding()
_UNLIMITED: Final = sys.maxsize


@dataclass(frozen=True, slots=True)
class _Room:
    """What a customer may have running in addition; negative if none."""

    left: Resources
    has_runs: bool

    def allows(self, spec: StepSpec) -> bool:
        """Return whether one more start of a step fits."""
        if self.has_runs and not spec.is_gang:
            return spec.resources.fits_in(self.left)
        count = spec.task_count if spec.is_gang else 1
        need = Holding()
        need.add(spec.resources, count if self.has_runs else count - 1)
        return need.as_resources().fits_in(self.left)


class CustomerUsage:
    """What customers have running under one leader, and their ceilings."""

    def __init__(self) -> None:
        """Start without runs and without customers."""
        self._runs: dict[str, Holding] = {}
        self._rooms: dict[str, _Room] = {}
        self._limited: frozenset[str] = frozenset()
        self._unseen: Mapping[str, Holding] = {}
        self._customers = Customers()

    @property
    def customers(self) -> Customers:
        """The customers of the newest cfg, and those that left it."""
        return self._customers

    def replace_customers(self, customers: Customers) -> None:
        """Apply these customers' ceilings and weights from now on."""
        self._customers = customers
        self._rooms.clear()
        self._limited = frozenset(
            name
            for name, customer in customers.by_name.items()
            if customer.ceiling != NO_RESOURCES
        )

    def replace_unseen(self, unseen: Mapping[str, Holding]) -> None:
        """Count these inherited tasks instead of those set before."""
        if unseen != self._unseen:
            self._unseen = unseen
            self._rooms.clear()

    def add_run(self, customer: str, need: Resources) -> None:
        """Count a run from now on; nothing counts without a customer."""
        if customer:
            self._runs.setdefault(customer, Holding()).add(need)
            self._rooms.pop(customer, None)

    def remove_run(self, customer: str, need: Resources) -> None:
        """Stop counting a run."""
        if customer:
            holding = self._runs[customer]
            holding.add(need, -1)
            self._rooms.pop(customer, None)
            if not holding.runs:
                self._runs.pop(customer)

    def held_by(self, customer: str) -> Holding:
        """Return what a customer has running or may have running unseen."""
        holding = self._runs.get(customer, _NOTHING)
        unseen = self._unseen.get(customer)
        return holding.plus(unseen) if unseen else holding

    def weight_of(self, customer: str) -> int:
        """Return the weight of a customer; it is 1 if none is known."""
        known = self._customers.by_name.get(customer)
        return max(1, known.weight) if known else 1

    def ceiling_of(self, customer: str) -> Resources:
        """Return the ceiling of a customer, zero where it has none."""
        known = self._customers.by_name.get(customer)
        return known.ceiling if known else NO_RESOURCES

    def allows(self, step: StepRun) -> bool:
        """Return whether its customer's ceiling has room for a step's start.

        A gang needs room for all members. A customer with nothing running may
        exceed its ceiling by one task, which could not run otherwise.
        """
        customer = step.job.spec.customer
        if customer not in self._limited:
            return True
        return self._room_of(customer).allows(step.spec)

    def exceeds_ceiling(self, customer: str) -> bool:
        """Return whether a customer has more running than its ceiling."""
        if customer not in self._limited:
            return False
        return not NO_RESOURCES.fits_in(self._room_of(customer).left)

    def holdings(self) -> Iterator[tuple[str, Holding]]:
        """Yield all customers that are known or have something running."""
        for name in sorted(
            {*self._customers.by_name, *self._runs, *self._unseen}
        ):
            yield name, self.held_by(name)

    def _room_of(self, customer: str) -> _Room:
        room = self._rooms.get(customer)
        if room is None:
            held = self.held_by(customer)
            limit = Resources(
                *(
                    each or _UNLIMITED
                    for each in self.ceiling_of(customer).as_tuple()
                )
            )
            left = limit.minus(held.as_resources())
            room = _Room(left, has_runs=held.runs > 0)
            self._rooms[customer] = room
        return room


def remember_former(former: Customers, current: Customers) -> Customers:
    """Return the customers of a cfg, and those that left it before.

    Runs of a customer that left go on, so its last ceiling stays in force. The
    keys are left out, as only entry instances need them.
    """
    by_name = dict(former.by_name)
    for name, customer in current.by_name.items():
        by_name[name] = Customer(name, customer.weight, customer.ceiling)
    return Customers(current.version, by_name)
