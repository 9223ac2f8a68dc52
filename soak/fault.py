"""A fault of a soak: it strikes something and is healed later.

A fault chooses its target when it strikes, so that it meets whatever other
faults have left.
"""

import random
from abc import ABC, abstractmethod

from soak.site import SoakSite


class Fault(ABC):
    """One fault; it is struck once and healed once."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Prepare for a site."""
        self.site = site
        self.rng = rng

    @abstractmethod
    def strike(self) -> str:
        """Begin; returns what was struck."""

    @abstractmethod
    def heal(self) -> None:
        """End it."""
