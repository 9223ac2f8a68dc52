"""`make review` fails unless the rule held in each run of each case."""

from pathlib import Path

import pytest

from tests.review_runs import main


def _write(path: Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """Return a folder with a case that writes a record and holds."""
    _write(tmp_path / 'deploy' / 'system.toml', 'build = "true"')
    _write(tmp_path / 'review' / 'build.sh', 'true')
    _write(tmp_path / 'review' / '1' / 'run.sh', 'echo > review/1/record.txt')
    return tmp_path


@pytest.mark.parametrize(
    ('command', 'status', 'outcomes'),
    [
        ('exit 0', 0, ('TROUBLE=1: held', 'TROUBLE=0: held')),
        ('exit $TROUBLE', 1, ('TROUBLE=1: BROKEN', 'TROUBLE=0: held')),
        ('exit 2', 1, ('TROUBLE=1: NOT RUN (2)', 'TROUBLE=0: NOT RUN (2)')),
    ],
)
def test_the_status_tells_whether_all_runs_held(
    root: Path,
    capsys: pytest.CaptureFixture[str],
    command: str,
    status: int,
    outcomes: tuple[str, ...],
) -> None:
    _write(root / 'review' / '2' / 'run.sh', command)
    assert main(['1', '2'], root) == status
    printed = capsys.readouterr().out
    for outcome in outcomes:
        assert f'review/2 {outcome}' in printed


def test_the_cases_are_left_as_they_are(root: Path) -> None:
    assert not main(['1'], root)
    assert not (root / 'review' / '1' / 'record.txt').exists()
