"""`make soak`: a site of real processes under a random series of faults.

Usage: python -m soak [--seed N] [--seconds S] [--instances N] [--workers N]

The same seed draws the same faults and jobs; how they meet still depends on
the machine. Prints every fault and breach, and ends with status 1 if a promise
was broken. The logs of the instances stay in a folder that is named then.
"""

import argparse
import random
import signal
import sys
import threading
import time
from contextlib import ExitStack
from operator import attrgetter
from typing import Final

from soak.answer_promises import ANSWER_CHECKS
from soak.callers import FINAL_STATES, Caller, Story
from soak.process import ENTRY_PROGRAM
from soak.record import SoakRecord
from soak.run_promises import RUN_CHECKS
from soak.schedule import FaultRunner, draw_episodes
from soak.site import SiteSize, SoakSite, create_soak_site

CALLERS: Final = 4
SETTLE_S: Final = 30.0
POLL_S: Final = 0.3
WATCH_S: Final = 0.1
SEED_BITS: Final = 32


class Soak:
    """One run of a soak."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        """Prepare the callers."""
        self._site = site
        self._rng = rng
        self._callers = [
            Caller(site, rng.getrandbits(SEED_BITS)) for _ in range(CALLERS)
        ]
        self._is_over = threading.Event()

    def play(self, seconds: float) -> list[str]:
        """Play the faults, wait for what was accepted, and check."""
        with ExitStack() as ending:
            ending.callback(self._site.close)
            ending.callback(self._is_over.set)
            self._site.start()
            threading.Thread(target=self._revive, daemon=True).start()
            record = self._play(seconds)
        _tell(_summary(record))
        return [
            *breaches(record),
            *self._process_troubles(),
        ]

    def _play(self, seconds: float) -> SoakRecord:
        runner = self._disturb(seconds)
        self._site.heal()
        self._settle()
        return self._record(runner)

    def _disturb(self, seconds: float) -> FaultRunner:
        """Let callers call while faults come; returns after both."""
        runner = FaultRunner(
            self._site, draw_episodes(self._rng, seconds), _tell
        )
        for caller in self._callers:
            caller.start()
        runner.start()
        time.sleep(seconds)
        for each in self._callers:
            each.finish()
        runner.join()
        return runner

    def _revive(self) -> None:
        while not self._is_over.wait(WATCH_S):
            for instance in self._site.instances:
                instance.process.revive()

    def _settle(self) -> None:
        """Ask for all accepted jobs until they have ended."""
        deadline_s = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline_s and self._ask():
            time.sleep(POLL_S)

    def _ask(self) -> bool:
        """Ask once for each job that goes on; tells whether there are any."""
        awaited = False
        for caller in self._callers:
            for story in filter(_is_awaited, caller.stories):
                awaited = True
                caller.ask(story)
        return awaited

    def _record(self, runner: FaultRunner) -> SoakRecord:
        events = [
            event
            for linked in self._site.workers
            for event in tuple(linked.worker.events)
        ]
        events.sort(key=attrgetter('at_s'))
        stories = {
            story.plan.job_id: story
            for caller in self._callers
            for story in caller.stories
        }
        faults = tuple(runner.disruptions.values())
        return SoakRecord(tuple(events), stories, faults)

    def _process_troubles(self) -> list[str]:
        processes = {
            instance.name: instance.process for instance in self._site.instances
        }
        return [
            f'{name}: {process.own_ends} ends of its own, '
            f'{process.late_stops} stops after the grace'
            for name, process in processes.items()
            if process.own_ends or process.late_stops
        ]


def breaches(record: SoakRecord) -> list[str]:
    """Return a line for each breach of any promise."""
    checks = (*RUN_CHECKS, *ANSWER_CHECKS)
    return [line for check in checks for line in check(record)]


def main() -> int:
    """Run one soak and return the exit status."""
    args = _parse()
    # Ends the processes of the site as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    _tell(f'seed {args.seed}, {args.seconds:.0f} s')
    rng = random.Random(args.seed)
    size = SiteSize(args.instances, args.workers)
    site = create_soak_site(size, rng, args.program)
    found = Soak(site, rng).play(args.seconds)
    for line in found:
        _tell(f'BROKEN: {line}')
    if found:
        _tell(f'seed {args.seed}: logs in {site.folder}')
        return 1
    _tell(f'seed {args.seed}: all promises held')
    return 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='soak')
    size = SiteSize()
    seed = random.SystemRandom().getrandbits(SEED_BITS)
    parser.add_argument('--seed', type=int, default=seed)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--instances', type=int, default=size.instances)
    parser.add_argument('--workers', type=int, default=size.workers)
    parser.add_argument('--program', default=ENTRY_PROGRAM)
    return parser.parse_args()


def _is_awaited(story: Story) -> bool:
    if not story.accepted_s or story.is_cancel_sent or story.plan.is_endless:
        return False
    return story.answers[-1].state not in FINAL_STATES


def _summary(record: SoakRecord) -> str:
    accepted = [story for story in record.stories.values() if story.accepted_s]
    starts = sum(1 for _ in record.starts())
    return (
        f'{len(record.stories)} jobs, {len(accepted)} accepted, '
        f'{starts} starts, {len(record.disruptions)} faults'
    )


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
