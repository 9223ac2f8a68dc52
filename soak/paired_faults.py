"""Pairs of faults that rarely meet when each is drawn by itself.

Two of them act amid a maintenance wave, which ends with the fault.
"""

import random
import signal
import time
from typing import Final

from soak.fault import Fault
from soak.site import POLL_S, STOP_S, Instance, LinkedWorker, SoakSite
from standins.tcp_proxy import LinkState

MAX_GAP_S: Final = 1.0
"""Maximum time between the two faults of a pair."""

MAX_CANCEL_GAP_S: Final = 3.0
"""A takeover lasts from the kill to about this long after it."""

MAX_DEADLY_WAIT_S: Final = 5.0
MAX_DEADLY_GAP_S: Final = 0.2
"""The leader stores what it suspects within some 50 ms."""

WAVE_S: Final = 6
WAVE_MACHINES: Final = 3
MOST_LOST: Final = 2


class LeaderKill(Fault):
    """The leader is killed, or another instance if none leads."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Create the fault; the leader is chosen when it is hit."""
        super().__init__(site, rng)
        self.instance: Instance = site.instances[0]

    def kill_leader(self) -> None:
        """Kill the leader's process; it stays down until `heal`."""
        self.instance = choose_leader(self.site, self.rng)
        self.instance.process.hold_down()
        self.instance.process.tell(signal.SIGKILL)

    def heal(self) -> None:
        """Restart the process once it has ended."""
        self.instance.process.await_end(STOP_S)
        self.instance.process.let_up()


class CrashAndKill(LeaderKill):
    """A worker crashes and the leader is killed, in either order."""

    def strike(self) -> str:
        """Inject both faults within a second."""
        linked: LinkedWorker = self.rng.choice(self.site.workers)
        is_crash_first = self.rng.random() < 1 / 2
        gap_s = self.rng.uniform(0, MAX_GAP_S)
        if is_crash_first:
            linked.worker.crash()
            time.sleep(gap_s)
        self.kill_leader()
        if not is_crash_first:
            time.sleep(gap_s)
            linked.worker.crash()
        return f'{linked.worker.worker_id}, {self.instance.name}'


class DeadlyAndKill(LeaderKill):
    """The leader is killed just after a task has crashed a worker."""

    def strike(self) -> str:
        """Wait for such a crash for a while, then kill the leader."""
        known = self.site.count_deadly_crashes()
        until_s = time.monotonic() + MAX_DEADLY_WAIT_S
        while time.monotonic() < until_s:
            if self.site.count_deadly_crashes() > known:
                break
            time.sleep(POLL_S)
        time.sleep(self.rng.uniform(0, MAX_DEADLY_GAP_S))
        self.kill_leader()
        return self.instance.name


class CancelAmidTakeover(LeaderKill):
    """The leader is killed, and each caller cancels a job meanwhile."""

    def strike(self) -> str:
        """Kill the leader, then let the callers cancel."""
        self.kill_leader()
        time.sleep(self.rng.uniform(0, MAX_CANCEL_GAP_S))
        self.site.cancel_requests += 1
        return self.instance.name


class CutAmidWave(Fault):
    """The leader is cut off from the store amid a maintenance wave."""

    def strike(self) -> str:
        """Request a wave, then cut the link of the leader."""
        self._key = self.site.request_wave(
            self.rng.sample(self.site.workers, WAVE_MACHINES), WAVE_S
        )
        time.sleep(self.rng.uniform(0, MAX_GAP_S))
        self._instance = choose_leader(self.site, self.rng)
        self._instance.link.switch(LinkState.CUT)
        return f'{self._instance.name}, {self._key}'

    def heal(self) -> None:
        """Restore the link and withdraw the wave."""
        self._instance.link.switch(LinkState.UP)
        self.site.store.remove(self._key)


class UnansweredUpkeep(Fault):
    """The platform starts maintenance without a response in time."""

    def strike(self) -> str:
        """Request a wave whose first orders get no response."""
        machines = self.site.machines
        machines.faults['lose_orders'] = self.rng.randint(1, MOST_LOST)
        self._key = self.site.request_wave(
            self.rng.sample(self.site.workers, WAVE_MACHINES), WAVE_S
        )
        return self._key

    def heal(self) -> None:
        """Answer orders again and withdraw the wave."""
        self.site.machines.faults.clear()
        self.site.store.remove(self._key)


def choose_leader(site: SoakSite, rng: random.Random) -> Instance:
    """Return the instance that leads now, or any if none does."""
    return site.leader or rng.choice(site.instances)
