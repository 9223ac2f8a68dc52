"""What operators ask for beside the cfg."""

from abc import ABC, abstractmethod

from gentianpulley.cluster.machines import WaveRequest


class OperatorListener(ABC):
    """Is told what operators ask for now, each time that it changes."""

    @abstractmethod
    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains."""

    @abstractmethod
    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these waves of upkeep."""
