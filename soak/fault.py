"""Base class of the faults of a soak test, which are injected and healed.

A fault chooses its target when it is injected, so that it hits the system in
the state that other faults have left.
"""

import random
from abc import ABC, abstractmethod

from soak.site import SoakSite


class Fault(ABC):
    """One fault; it is injected once and healed once."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Create a fault for a cluster without injecting it."""
        self.site = site
        self.rng = rng

    @abstractmethod
    def strike(self) -> str:
        """Inject the fault and return the name of its target."""

    @abstractmethod
    def heal(self) -> None:
        """End the fault."""
