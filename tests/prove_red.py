"""Runs every proof with each of its guards off; passes if all then fail.

Usage: python -m tests.prove_red [PART-OF-A-NAME]
"""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Final

import pytest

from tests.guards import VARIABLE

AT_ONCE: Final = 3
TESTS_FAILED: Final = 1


@dataclass(frozen=True)
class RedRun:
    """One proof with one guard off."""

    test: str
    guard: str


class _Collector:
    """Collects the proofs and their guards."""

    def __init__(self) -> None:
        self.runs: list[RedRun] = []

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Note the guards of each proof."""
        for item in items:
            for marker in item.iter_markers('proof'):
                runs = [RedRun(item.nodeid, guard) for guard in marker.args]
                self.runs.extend(runs)


def main() -> int:
    """Run all and print one line for each."""
    collector = _Collector()
    pytest.main(['--collect-only', '-qq', '--no-summary'], [collector])
    part = sys.argv[1] if len(sys.argv) > 1 else ''
    runs = [run for run in collector.runs if part in f'{run}']
    with ThreadPoolExecutor(AT_ONCE) as pool:
        went_red = list(pool.map(_goes_red, runs))
    for run, red in zip(runs, went_red, strict=True):
        print('red  ' if red else 'GREEN', run.guard, run.test)
    count = sum(went_red)
    print(f'{count} passed, {len(runs) - count} failed')
    return 0 if all(went_red) and runs else 1


def _goes_red(run: RedRun) -> bool:
    """Tell whether the proof fails, and not for want of running."""
    done = subprocess.run(
        [sys.executable, '-m', 'pytest', '-x', run.test],
        env={**os.environ, VARIABLE: run.guard},
        capture_output=True,
        text=True,
        check=False,
    )
    broke = 'error' in done.stdout.rpartition('\n=')[2].lower()
    return done.returncode == TESTS_FAILED and not broke


if __name__ == '__main__':
    sys.exit(main())
