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
        """Choose nothing yet."""
        super().__init__(site, rng)
        self.instance: Instance = site.instances[0]

    def strike(self) -> str:
        """Choose an instance and strike it."""
        leader = self.site.leader if self.rng.random() < LEADER_SHARE else None
        self.instance = leader or self.rng.choice(self.site.instances)
        self.hit()
        return self.instance.name

    @abstractmethod
    def hit(self) -> None:
        """Strike the chosen instance."""


class Kill(InstanceFault):
    """The process is killed and stays away for a while."""

    def hit(self) -> None:
        """Kill it."""
        self.instance.process.hold_down()
        self.instance.process.tell(signal.SIGKILL)

    def heal(self) -> None:
        """Start it again."""
        self.instance.process.let_up()


class PlannedStop(InstanceFault):
    """The process is told to stop, and is started once it has."""

    def hit(self) -> None:
        """Tell it."""
        self.instance.process.hold_down()
        self.instance.process.tell(signal.SIGTERM)

    def heal(self) -> None:
        """Start it again, when it has ended."""
        self.instance.process.await_end(STOP_S)
        self.instance.process.let_up()


class Freeze(InstanceFault):
    """The process stands still and wakes again."""

    def hit(self) -> None:
        """Let it stand still."""
        self.instance.process.tell(signal.SIGSTOP)

    def heal(self) -> None:
        """Wake it."""
        self.instance.process.tell(signal.SIGCONT)


class SettingsSignal(InstanceFault):
    """The process is told that its settings have changed."""

    def hit(self) -> None:
        """Tell it."""
        self.instance.process.tell(signal.SIGHUP)

    def heal(self) -> None:
        """Do nothing."""


class StoreLink(InstanceFault):
    """The link of one instance to the store fails in some way."""

    def hit(self) -> None:
        """Let the link fail."""
        states = (LinkState.CUT, LinkState.SILENT, LinkState.ONE_WAY)
        self.instance.link.switch(self.rng.choice(states))

    def heal(self) -> None:
        """Mend the link."""
        self.instance.link.switch(LinkState.UP)


class StaleConns(InstanceFault):
    """Open connections to the store go silent; new ones work."""

    def hit(self) -> None:
        """Silence them."""
        self.instance.link.silence_open()

    def heal(self) -> None:
        """Do nothing."""


class NarrowLink(InstanceFault):
    """The link to the store carries little."""

    def hit(self) -> None:
        """Narrow it."""
        self.instance.link.narrow(NARROW_BYTES_S)

    def heal(self) -> None:
        """Widen it."""
        self.instance.link.widen()


class HerdKill(Fault):
    """Most processes are killed at once."""

    def strike(self) -> str:
        """Kill them."""
        instances = self.site.instances
        count = max(1, round(HERD_SHARE * len(instances)))
        self._killed = self.rng.sample(instances, count)
        for instance in self._killed:
            instance.process.hold_down()
            instance.process.tell(signal.SIGKILL)
        return ', '.join(each.name for each in self._killed)

    def heal(self) -> None:
        """Start them again."""
        for instance in self._killed:
            instance.process.let_up()
