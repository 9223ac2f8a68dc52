"""Capacity of an instance, and its size as a leader.

A leader reads run lists from all workers and schedules for the whole cluster,
so its size is what its scarcest resource allows, in thousandths of a processor.
"""

from dataclasses import dataclass
from typing import Final

MILLI: Final = 1000
"""Thousandths in one processor."""

DEFAULT_PROCESSORS_MILLI: Final = 1000
"""Default if the settings do not define the processors."""

DEFAULT_LINK_BYTES_S: Final = 125_000_000
"""Default if the settings do not define the link, in bytes per second."""

DEFAULT_MEMORY_BYTES: Final = 1_000_000_000
"""Default if the settings do not define the memory."""

LINK_BYTES_S_PER_PROCESSOR: Final = 2_000_000
"""Link bandwidth that a leader can use with one processor, in bytes per
second."""

MEMORY_BYTES_PER_PROCESSOR: Final = 100_000_000
"""Memory that a leader can use with one processor, in bytes."""


@dataclass(frozen=True, slots=True)
class InstanceCapacity:
    """Processors in thousandths, link in bytes per second, memory in bytes."""

    processors_milli: int = DEFAULT_PROCESSORS_MILLI
    link_bytes_s: int = DEFAULT_LINK_BYTES_S
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def size_milli(self) -> int:
        """Return the size as a leader, in thousandths; never zero."""
        by_link = self.link_bytes_s * MILLI // LINK_BYTES_S_PER_PROCESSOR
        by_memory = self.memory_bytes * MILLI // MEMORY_BYTES_PER_PROCESSOR
        return max(1, min(self.processors_milli, by_link, by_memory))
