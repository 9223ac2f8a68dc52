"""Runs every proof once per guard, with that guard off; passes if all fail.

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

MAX_PARALLEL_RUNS: Final = 3
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
        """Record the guards of each proof."""
        for item in items:
            for marker in item.iter_markers('proof'):
                runs = [RedRun(item.nodeid, guard) for guard in marker.args]
                self.runs.extend(runs)


def main() -> int:
    """Run all proofs and print one line for each run."""
    collector = _Collector()
    pytest.main(['--collect-only', '-qq', '--no-summary'], [collector])
    part = sys.argv[1] if len(sys.argv) > 1 else ''
    runs = [run for run in collector.runs if part in f'{run}']
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        results = list(pool.map(_proof_fails, runs))
    for run, has_failed in zip(runs, results, strict=True):
        print('red  ' if has_failed else 'GREEN', run.guard, run.test)
    count = sum(results)
    print(f'{count} passed, {len(runs) - count} failed')
    return 0 if all(results) and runs else 1


def _proof_fails(run: RedRun) -> bool:
    """Return whether the proof ran and failed, rather than hit an error."""
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
