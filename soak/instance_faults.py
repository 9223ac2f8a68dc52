"""Faults of instances: their processes and their links to the store."""

import random
import signal
from abc import abstractmethod
from typing import Final

from soak.fault import Fault
from soak.site import STOP_S, Instance, SoakSite
from standins.tcp_proxy import LinkState

NARROW_BYTES_S: Final = 200_000
HERD_SHARE: Final = 0.7
LEADER_SHARE: Final = 0.5


class InstanceFault(Fault):
    """A fault of one instance, often of the leader."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Create the fault; `strike` chooses the instance."""
        super().__init__(site, rng)
        self.instance: Instance = site.instances[0]

    def strike(self) -> str:
        """Choose an instance and inject the fault."""
        leader = self.site.leader if self.rng.random() < LEADER_SHARE else None
        self.instance = leader or self.rng.choice(self.site.instances)
        self.hit()
        return self.instance.name

    @abstractmethod
    def hit(self) -> None:
        """Inject the fault into the chosen instance."""


class Kill(InstanceFault):
    """The process is killed and stays down for a while."""

    def hit(self) -> None:
        """Kill the process."""
        self.instance.process.hold_down()
        self.instance.process.tell(signal.SIGKILL)

    def heal(self) -> None:
        """Restart the process."""
        self.instance.process.let_up()


class PlannedStop(InstanceFault):
    """The process gets SIGTERM and is restarted once it has ended."""

    def hit(self) -> None:
        """Tell it."""
        self.instance.process.hold_down()
        self.instance.process.tell(signal.SIGTERM)

    def heal(self) -> None:
        """Wait for the end of the process, then restart it."""
        self.instance.process.await_end(STOP_S)
        self.instance.process.let_up()


class Freeze(InstanceFault):
    """The process is suspended and resumed."""

    def hit(self) -> None:
        """Suspend the process."""
        self.instance.process.tell(signal.SIGSTOP)

    def heal(self) -> None:
        """Resume the process."""
        self.instance.process.tell(signal.SIGCONT)


class SettingsSignal(InstanceFault):
    """The process gets SIGHUP, as after a change of its settings."""

    def hit(self) -> None:
        """Tell it."""
        self.instance.process.tell(signal.SIGHUP)

    def heal(self) -> None:
        """Do nothing."""


class StoreLink(InstanceFault):
    """The link of one instance to the store fails in some way."""

    def hit(self) -> None:
        """Switch the link to a random failure state."""
        states = (LinkState.CUT, LinkState.SILENT, LinkState.ONE_WAY)
        self.instance.link.switch(self.rng.choice(states))

    def heal(self) -> None:
        """Restore the link."""
        self.instance.link.switch(LinkState.UP)


class StaleConns(InstanceFault):
    """Open connections to the store stop responding; new ones work."""

    def hit(self) -> None:
        """Silence the open connections."""
        self.instance.link.silence_open()

    def heal(self) -> None:
        """Do nothing."""


class NarrowLink(InstanceFault):
    """The link to the store has little bandwidth."""

    def hit(self) -> None:
        """Limit the bandwidth."""
        self.instance.link.narrow(NARROW_BYTES_S)

    def heal(self) -> None:
        """Remove the limit."""
        self.instance.link.widen()


class HerdKill(Fault):
    """Most processes are killed at once."""

    def strike(self) -> str:
        """Kill a random sample of the processes."""
        instances = self.site.instances
        count = max(1, round(HERD_SHARE * len(instances)))
        self._killed = self.rng.sample(instances, count)
        for instance in self._killed:
            instance.process.hold_down()
            instance.process.tell(signal.SIGKILL)
        return ', '.join(each.name for each in self._killed)

    def heal(self) -> None:
        """Restart the killed processes."""
        for instance in self._killed:
            instance.process.let_up()
