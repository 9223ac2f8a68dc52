"""Resources that tasks need and workers offer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    `processors_milli` counts thousandths of a core, `memory_mib` mebibytes
    and `accelerators` whole devices.
    """

    processors_milli: int
    memory_mib: int
    accelerators: int = 0

    def fits_in(self, free: 'Resources') -> bool:
        """Return whether `free` covers this amount in every dimension."""
        return (
            self.processors_milli <= free.processors_milli
            and self.memory_mib <= free.memory_mib
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum with `other`."""
        return Resources(
            self.processors_milli + other.processors_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference to `other`; dimensions may go negative."""
        return Resources(
            self.processors_milli - other.processors_milli,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def elementwise_max(self, other: 'Resources') -> 'Resources':
        """Return the larger amount in each dimension."""
        return Resources(
            max(self.processors_milli, other.processors_milli),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
        )

    def as_tuple(self) -> tuple[int, int, int]:
        """Return processors, memory and accelerators in this order."""
        return self.processors_milli, self.memory_mib, self.accelerators

    def is_positive(self) -> bool:
        """Return whether cores and memory are above 0 and accelerators >= 0."""
        return (
            self.processors_milli > 0
            and self.memory_mib > 0
            and self.accelerators >= 0
        )


NO_RESOURCES = Resources(0, 0, 0)
