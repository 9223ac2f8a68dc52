"""Faults of workers: crashes, link failures and lost responses."""

import random
import time
from abc import abstractmethod
from typing import Final

from soak.fault import Fault
from soak.site import WORKER_MILLI, LinkedWorker, SoakSite
from standins.grid_worker import CALLS, LATE_S, EventKind
from standins.tcp_proxy import LinkState

MOST_LOST: Final = 6
HEARTBEAT_S: Final = 1.1
SHRUNK_MILLI: Final = (2000, 4000, 8000)


class WorkerFault(Fault):
    """A fault of one worker."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Choose a worker."""
        super().__init__(site, rng)
        self.linked: LinkedWorker = rng.choice(site.workers)

    def strike(self) -> str:
        """Inject the fault and return the worker id."""
        self.hit()
        return self.linked.worker.worker_id

    @abstractmethod
    def hit(self) -> None:
        """Inject the fault into the chosen worker."""


class WorkerCrash(WorkerFault):
    """The worker loses its state and restarts as a new incarnation."""

    def hit(self) -> None:
        """Crash the worker."""
        self.linked.worker.crash()

    def heal(self) -> None:
        """Do nothing."""


class WorkerLink(WorkerFault):
    """The link to the worker fails in some way; its runs continue."""

    def hit(self) -> None:
        """Switch the link to a random failure state."""
        states = (LinkState.CUT, LinkState.SILENT, LinkState.ONE_WAY)
        self.linked.link.switch(self.rng.choice(states))

    def heal(self) -> None:
        """Restore the link."""
        self.linked.link.switch(LinkState.UP)


class StaleWorkerConns(WorkerFault):
    """Open connections to the worker stop responding; new ones work."""

    def hit(self) -> None:
        """Silence the open connections."""
        self.linked.link.silence_open()

    def heal(self) -> None:
        """Do nothing."""


class Resize(WorkerFault):
    """The worker's capacity shrinks, and grows again."""

    def hit(self) -> None:
        """Shrink the capacity."""
        self.linked.worker.resize(self.rng.choice(SHRUNK_MILLI))

    def heal(self) -> None:
        """Restore the capacity."""
        self.linked.worker.resize(WORKER_MILLI)


class UnansweredOrders(WorkerFault):
    """The worker executes some orders without a response, or late."""

    def hit(self) -> None:
        """Lose or delay the next orders or their responses."""
        name = self.rng.choice(('lose_orders', 'late_orders'))
        self.linked.worker.faults[name] = self.rng.randint(1, MOST_LOST)

    def heal(self) -> None:
        """Clear the faults of the worker."""
        self.linked.worker.faults.clear()


class FormerCalls(WorkerFault):
    """The worker's next incarnation executes calls meant for this one.

    The store applies a registration of this incarnation as late, which the
    next one overwrites with its heartbeat.
    """

    def hit(self) -> None:
        """Delay the next calls, crash the worker, then write its former
        registration."""
        worker = self.linked.worker
        worker.faults['verbs'] = CALLS
        worker.faults['late_orders'] = self.rng.randint(1, MOST_LOST)
        former = worker.entry('ready')
        time.sleep(self.rng.uniform(0, LATE_S))
        worker.crash()
        time.sleep(self.rng.uniform(0, LATE_S))
        self.site.store.put(f'servers/{worker.worker_id}', former)
        time.sleep(HEARTBEAT_S)
        worker.register('ready')

    def heal(self) -> None:
        """Clear the faults of the worker."""
        self.linked.worker.faults.clear()


class Drain(WorkerFault):
    """The worker drains, leaves and returns as a new incarnation."""

    def hit(self) -> None:
        """Start to drain the worker."""
        self.linked.worker.register('draining')
        self.linked.worker.note(EventKind.CLOSED)

    def heal(self) -> None:
        """Restart the worker as a new incarnation."""
        self.linked.worker.note(EventKind.OPENED)
        self.linked.worker.crash()
