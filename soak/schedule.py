"""Random schedule of overlapping faults, reproducible from a seed."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from types import MappingProxyType
from typing import Final

from soak.fault import Fault
from soak.instance_faults import (
    Freeze,
    HerdKill,
    Kill,
    NarrowLink,
    PlannedStop,
    SettingsSignal,
    StaleConns,
    StoreLink,
)
from soak.paired_faults import (
    CancelAmidTakeover,
    CrashAndKill,
    CutAmidWave,
    DeadlyAndKill,
    UnansweredUpkeep,
)
from soak.site import SoakSite
from soak.site_faults import (
    CfgChange,
    Evacuation,
    ForgottenHistory,
    StoreFault,
)
from soak.worker_faults import (
    Drain,
    FormerCalls,
    Resize,
    StaleWorkerConns,
    UnansweredOrders,
    WorkerCrash,
    WorkerLink,
)

MEAN_GAP_S: Final = 1.5
MEAN_PAIR_GAP_S: Final = 8.0
MEAN_LATER_GAP_S: Final = 4.0
SHORTEST_S: Final = 0.2
LONGEST_S: Final = 6.0
FIRST_S: Final = 2.0
SEED_BITS: Final = 32

FAULTS: Final = MappingProxyType(
    {
        kind.__name__: kind
        for kind in (
            Kill,
            PlannedStop,
            Freeze,
            SettingsSignal,
            StoreLink,
            StaleConns,
            NarrowLink,
            HerdKill,
            StoreFault,
            ForgottenHistory,
            WorkerCrash,
            WorkerLink,
            StaleWorkerConns,
            UnansweredOrders,
            Drain,
            Evacuation,
            CfgChange,
        )
    }
)

PAIRS: Final = MappingProxyType(
    {
        kind.__name__: kind
        for kind in (
            CancelAmidTakeover,
            CrashAndKill,
            CutAmidWave,
            UnansweredUpkeep,
        )
    }
)


LATER_FAULTS: Final = MappingProxyType(
    {kind.__name__: kind for kind in (DeadlyAndKill, Resize)}
)
"""Faults that were added after the others."""

LATEST_FAULTS: Final = MappingProxyType({FormerCalls.__name__: FormerCalls})
"""Faults that were added after those, with draws of their own."""


@dataclass(frozen=True, slots=True)
class Episode:
    """A scheduled fault, in seconds from the start of the soak test."""

    begins_s: float
    ends_s: float
    kind: str
    seed: int


@dataclass(frozen=True, slots=True)
class Disruption:
    """An injected fault and its target, in monotonic time."""

    kind: str
    target: str
    begins_s: float
    ends_s: float = inf


def draw_episodes(
    rng: random.Random, seconds: float, *, has_former_calls: bool = True
) -> list[Episode]:
    """Return the faults of a soak test; all start within `seconds`.

    Pairs and later faults are drawn last, so that a seed draws the same single
    faults as before there were any.
    """
    latest = sorted(LATEST_FAULTS) if has_former_calls else []
    return [
        *_draw(rng, seconds, sorted(FAULTS), MEAN_GAP_S),
        *_draw(rng, seconds, sorted(PAIRS), MEAN_PAIR_GAP_S),
        *_draw(rng, seconds, sorted(LATER_FAULTS), MEAN_LATER_GAP_S),
        *_draw(rng, seconds, latest, MEAN_LATER_GAP_S),
    ]


def _draw(
    rng: random.Random, seconds: float, kinds: list[str], mean_gap_s: float
) -> list[Episode]:
    episodes: list[Episode] = []
    at_s = FIRST_S
    while kinds and at_s < seconds:
        ends_s = at_s + rng.uniform(SHORTEST_S, LONGEST_S)
        kind = rng.choice(kinds)
        episodes.append(Episode(at_s, ends_s, kind, rng.getrandbits(SEED_BITS)))
        at_s += rng.expovariate(1 / mean_gap_s)
    return episodes


class FaultRunner:
    """Runs each episode in its own thread and records the disruptions."""

    def __init__(
        self,
        site: SoakSite,
        episodes: list[Episode],
        print_line: Callable[[str], None],
    ) -> None:
        """Create the threads; `print_line` gets a line for each fault."""
        self.disruptions: dict[Episode, Disruption] = {}
        self._site = site
        self._print_line = print_line
        self._start_s = time.monotonic()
        self._threads = [
            threading.Thread(target=self._run, args=(episode,), daemon=True)
            for episode in episodes
        ]

    def start(self) -> None:
        """Start the threads."""
        self._start_s = time.monotonic()
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until all faults have been healed."""
        for thread in self._threads:
            thread.join()

    def _run(self, episode: Episode) -> None:
        rng = random.Random(episode.seed)
        self._sleep_until(episode.begins_s)
        kinds = {**FAULTS, **PAIRS, **LATER_FAULTS, **LATEST_FAULTS}
        fault: Fault = kinds[episode.kind](self._site, rng)
        begins_s = time.monotonic()
        target = fault.strike()
        self._print_line(f'{episode.begins_s:6.1f} {episode.kind}: {target}')
        disruption = Disruption(episode.kind, target, begins_s)
        self.disruptions[episode] = disruption
        self._sleep_until(episode.ends_s)
        fault.heal()
        ends_s = time.monotonic()
        self.disruptions[episode] = Disruption(
            episode.kind, target, begins_s, ends_s
        )

    def _sleep_until(self, at_s: float) -> None:
        remaining_s = self._start_s + at_s - time.monotonic()
        time.sleep(max(0, remaining_s))
