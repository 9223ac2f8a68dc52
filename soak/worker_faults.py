"""Faults of workers: their lives, their links and their answers."""

import random
from abc import abstractmethod
from typing import Final

from soak.fault import Fault
from soak.site import LinkedWorker, SoakSite
from standins.grid_worker import EventKind
from standins.tcp_proxy import LinkState

MOST_LOST: Final = 6


class WorkerFault(Fault):
    """A fault of one worker."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Choose a worker."""
        super().__init__(site, rng)
        self.linked: LinkedWorker = rng.choice(site.workers)

    def strike(self) -> str:
        """Strike the chosen worker."""
        self.hit()
        return self.linked.worker.worker_id

    @abstractmethod
    def hit(self) -> None:
        """Strike the chosen worker."""


class WorkerCrash(WorkerFault):
    """The worker forgets everything and begins a new life."""

    def hit(self) -> None:
        """Crash it."""
        self.linked.worker.crash()

    def heal(self) -> None:
        """Do nothing."""


class WorkerLink(WorkerFault):
    """The link to the worker fails in some way; its runs go on."""

    def hit(self) -> None:
        """Let the link fail."""
        states = (LinkState.CUT, LinkState.SILENT, LinkState.ONE_WAY)
        self.linked.link.switch(self.rng.choice(states))

    def heal(self) -> None:
        """Mend the link."""
        self.linked.link.switch(LinkState.UP)


class StaleWorkerConns(WorkerFault):
    """Open connections to the worker go silent; new ones work."""

    def hit(self) -> None:
        """Silence them."""
        self.linked.link.silence_open()

    def heal(self) -> None:
        """Do nothing."""


class UnansweredOrders(WorkerFault):
    """The worker carries out some orders without an answer, or late."""

    def hit(self) -> None:
        """Let the next orders go unanswered."""
        name = self.rng.choice(('lose_orders', 'late_orders'))
        self.linked.worker.faults[name] = self.rng.randint(1, MOST_LOST)

    def heal(self) -> None:
        """Answer all orders."""
        self.linked.worker.faults.clear()


class Drain(WorkerFault):
    """The worker drains, leaves, and comes back as a new life."""

    def hit(self) -> None:
        """Let it drain."""
        self.linked.worker.register('draining')
        self.linked.worker.note(EventKind.CLOSED)

    def heal(self) -> None:
        """Let it come back."""
        self.linked.worker.note(EventKind.OPENED)
        self.linked.worker.crash()
