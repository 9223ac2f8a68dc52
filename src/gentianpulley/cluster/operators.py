"""Requests of operators apart from the cfg."""

from abc import ABC, abstractmethod

from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.machines import WaveRequest


class OperatorListener(ABC):
    """Receives the current requests of operators each time they change."""

    @abstractmethod
    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains in which nothing is started."""

    @abstractmethod
    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Set the maintenance waves to carry out."""

    def replace_customers(self, customers: Customers) -> None:
        """Set the customers of the cfg in force; by default of no effect.

        If a cfg is stored, this is called before the first call of
        `replace_closed_domains`, after which the instance may lead.
        """
