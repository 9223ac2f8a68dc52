"""`make soak`: inject random faults into a cluster of real processes.

Usage: python -m soak [--seed N] [--seconds S] [--instances N] [--workers N]

The same seed draws the same faults and jobs, but their interleaving still
depends on the machine. Prints every fault and violation. If a guarantee was
violated, prints the folder with the logs of the instances and exits with
status 1.
"""

import argparse
import random
import signal
import sys
import threading
import time
from contextlib import ExitStack
from itertools import chain
from operator import attrgetter
from typing import Final

from soak.answer_promises import ANSWER_CHECKS
from soak.callers import FINAL_STATES, Caller, Story
from soak.key_callers import KeyCaller
from soak.key_promises import KEY_CHECKS
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
    """One soak test run."""

    def __init__(
        self, site: SoakSite, rng: random.Random, *, has_former_calls: bool
    ) -> None:
        """Create the callers."""
        self._site = site
        self._has_former_calls = has_former_calls
        self._rng = rng
        self._callers: list[Caller] = [
            Caller(site, rng.getrandbits(SEED_BITS)) for _ in range(CALLERS)
        ]
        self._key_callers: list[KeyCaller] = []
        self._is_over = threading.Event()

    def play(self, seconds: float) -> list[str]:
        """Inject the faults, wait for the accepted jobs, and check."""
        with ExitStack() as cleanup:
            cleanup.callback(self._site.close)
            cleanup.callback(self._is_over.set)
            self._site.start()
            threading.Thread(
                target=self._restart_processes, daemon=True
            ).start()
            record = self._run(seconds)
        _print_line(_summary(record))
        return [
            *breaches(record),
            *self._process_failures(),
        ]

    def _run(self, seconds: float) -> SoakRecord:
        runner = self._run_faults(seconds)
        self._site.heal()
        self._await_jobs()
        return self._record(runner)

    def _run_faults(self, seconds: float) -> FaultRunner:
        """Run the callers and the faults; returns when both are done."""
        episodes = draw_episodes(
            self._rng, seconds, has_former_calls=self._has_former_calls
        )
        runner = FaultRunner(self._site, episodes, _print_line)
        # Drawn last, so that a seed draws the same faults and jobs as before.
        seed = self._rng.getrandbits(SEED_BITS)
        self._key_callers.append(KeyCaller(self._site, seed))
        self._callers.extend(self._key_callers)
        for caller in self._callers:
            caller.start()
        runner.start()
        time.sleep(seconds)
        for each in self._callers:
            each.finish()
        runner.join()
        return runner

    def _restart_processes(self) -> None:
        while not self._is_over.wait(WATCH_S):
            for instance in self._site.instances:
                instance.process.revive()

    def _await_jobs(self) -> None:
        """Poll all accepted jobs until they have ended or time is up."""
        deadline_s = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline_s and self._poll_jobs():
            time.sleep(POLL_S)

    def _poll_jobs(self) -> bool:
        """Poll each unfinished job once; returns whether there are any."""
        awaited = False
        for caller in self._callers:
            for story in filter(_is_unfinished, caller.stories):
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
        calls = (caller.key_calls for caller in self._key_callers)
        return SoakRecord(tuple(events), stories, faults, tuple(chain(*calls)))

    def _process_failures(self) -> list[str]:
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
    """Return a line for each violation of a guarantee."""
    checks = (*RUN_CHECKS, *ANSWER_CHECKS, *KEY_CHECKS)
    return [line for check in checks for line in check(record)]


def main() -> int:
    """Run one soak and return the exit status."""
    args = _parse()
    # SIGTERM raises KeyboardInterrupt, so that the instances are ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    _print_line(f'seed {args.seed}, {args.seconds:.0f} s')
    rng = random.Random(args.seed)
    size = SiteSize(args.instances, args.workers)
    site = create_soak_site(size, rng, args.program)
    soak = Soak(site, rng, has_former_calls=not args.no_former_calls)
    violations = soak.play(args.seconds)
    for line in violations:
        _print_line(f'BROKEN: {line}')
    if violations:
        _print_line(f'seed {args.seed}: logs in {site.folder}')
        return 1
    _print_line(f'seed {args.seed}: all promises held')
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
    parser.add_argument(
        '--no-former-calls',
        action='store_true',
        help='let no call reach the next incarnation of its worker',
    )
    return parser.parse_args()


def _is_unfinished(story: Story) -> bool:
    if not story.accepted_s or story.is_cancel_sent or story.plan.is_endless:
        return False
    return story.answers[-1].state not in FINAL_STATES


def _summary(record: SoakRecord) -> str:
    accepted = [story for story in record.stories.values() if story.accepted_s]
    starts = sum(1 for _ in record.starts())
    return (
        f'{len(record.stories)} jobs, {len(accepted)} accepted, '
        f'{starts} starts, {len(record.disruptions)} faults, '
        f'{len(record.key_calls)} calls with keys'
    )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
