"""What an instance has to work with, and how capacities compare.

A leader reads lists from all workers and places for the whole site, so its
size is what the scarcest of its resources allows, in thousandths of a
processor.
"""

from dataclasses import dataclass
from typing import Final

MILLI: Final = 1000
"""Thousandths in one processor."""

DEFAULT_PROCESSORS_MILLI: Final = 1000
"""Taken where the settings name no processors."""

DEFAULT_LINK_BYTES_S: Final = 125_000_000
"""Taken where the settings name no link, in bytes a second."""

DEFAULT_MEMORY_BYTES: Final = 1_000_000_000
"""Taken where the settings name no memory."""

LINK_BYTES_S_PER_PROCESSOR: Final = 2_000_000
"""Bytes a second that a leader can use with one processor."""

MEMORY_BYTES_PER_PROCESSOR: Final = 100_000_000
"""Bytes of memory that a leader can use with one processor."""


@dataclass(frozen=True, slots=True)
class InstanceCapacity:
    """Processors in thousandths, the link in bytes a second, and memory."""

    processors_milli: int = DEFAULT_PROCESSORS_MILLI
    link_bytes_s: int = DEFAULT_LINK_BYTES_S
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def size_milli(self) -> int:
        """Return how large a leader this makes; never zero."""
        by_link = self.link_bytes_s * MILLI // LINK_BYTES_S_PER_PROCESSOR
        by_memory = self.memory_bytes * MILLI // MEMORY_BYTES_PER_PROCESSOR
        return max(1, min(self.processors_milli, by_link, by_memory))
