"""Builds as deployed and runs the cases of the independent review.

Usage: python -m tests.review_runs [CASE ...]

Each case is run once as it stands and once with TROUBLE=0. Prints one line for
each run; exits with status 1 unless the rule held in all of them. The cases
write their records beside themselves, so copies of them are run.
"""

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Final, NamedTuple

ROOT: Final = Path(__file__).resolve().parents[1]
NEEDED: Final = ('deploy', 'src', 'standins', 'target')
"""What the cases use of the repository."""

CASES: Final = ('1', '2', '3', '4', '5')
HELD: Final = 0
BROKEN: Final = 1


class ReviewRun(NamedTuple):
    """One run of a case, with the trouble or without."""

    case: str
    trouble: str


def main(cases: list[str], root: Path = ROOT) -> int:
    """Build and run the cases; return the exit status."""
    build(root)
    folder = _copy_cases(root)
    runs = [
        ReviewRun(case, trouble)
        for case in cases or CASES
        for trouble in ('1', '0')
    ]
    statuses = [play(run, folder) for run in runs]
    held = statuses.count(HELD)
    _print_line(f'{held} of {len(runs)} runs held; records in {folder}')
    return 0 if held == len(runs) else 1


def build(root: Path) -> None:
    """Build as the deploy file says, then the stand-ins of the review.

    Raises `CalledProcessError` if one of them fails.
    """
    deploy = (root / 'deploy' / 'system.toml').read_text()
    command = tomllib.loads(deploy)['build']
    subprocess.run(['sh', '-c', command], cwd=root, check=True)
    subprocess.run(['sh', 'review/build.sh'], cwd=root, check=True)


def play(run: ReviewRun, folder: Path) -> int:
    """Run a case, print the outcome and return the exit status."""
    done = subprocess.run(
        ['sh', f'review/{run.case}/run.sh'],
        cwd=folder,
        env={**os.environ, 'TROUBLE': run.trouble},
        capture_output=True,
        text=True,
        check=False,
    )
    outcomes = {HELD: 'held', BROKEN: 'BROKEN'}
    outcome = outcomes.get(done.returncode, f'NOT RUN ({done.returncode})')
    _print_line(f'review/{run.case} TROUBLE={run.trouble}: {outcome}')
    if done.returncode != HELD:
        _print_line(done.stdout + done.stderr)
    return done.returncode


def _copy_cases(root: Path) -> Path:
    """Return a new folder with the cases and links to what they use."""
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    shutil.copytree(root / 'review', folder / 'review')
    for name in NEEDED:
        (folder / name).symlink_to(root / name)
    return folder


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
