"""The command line against a running cluster."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.site import Site
from tests.cluster_helpers import CFG_FOLDER, start_site

UNREACHABLE_CLUSTER = {'store': '127.0.0.1:1', 'instance_list': '127.0.0.1:1'}


@pytest.fixture(scope='module')
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1)
    yield running
    running.stop()


def cli_json(site: Site, *args: str) -> Any:
    """Run a command with --json and return its decoded output."""
    done = site.run_cli(*args, '--json')
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def payload(site: Site, text: str) -> str:
    """Write a payload file and return its path."""
    path = site.folder / 'payload.json'
    path.write_text(text)
    return str(path)


def folder_with(site: Site, name: str, text: str) -> str:
    """Return a copy of the cfg folder with one more file."""
    folder = site.folder / name
    folder.mkdir(exist_ok=True)
    for path in CFG_FOLDER.iterdir():
        (folder / path.name).write_text(path.read_text())
    (folder / '50-more.jsonc').write_text(text)
    return str(folder)


# name: (arguments, exit status, part of the output)
Case = tuple[tuple[str, ...], int, str]

COMMANDS: dict[str, Case] = {
    'status': (('status',), 0, 'e-leith-0'),
    'cfg status': (('cfg', 'status'), 0, 'in force on every'),
    'cfg check': (('cfg', 'check', str(CFG_FOLDER)), 0, 'valid'),
    'cfg check of nothing': (('cfg', 'check', '/nonexistent'), 60, 'no .json'),
    'cfg diff without change': (('cfg', 'diff', str(CFG_FOLDER)), 0, ''),
    'cfg push of a stale revision': (
        ('cfg', 'push', str(CFG_FOLDER), '--expect', '99'),
        61,
        'another change was accepted first',
    ),
    'domain list': (('domain', 'list'), 0, 'gorgie'),
    'unknown domain': (('domain', 'out', 'nowhere'), 63, 'no failure domain'),
    'cancel of an unknown key': (('cancel', 'none'), 28, 'UNKNOWN_KEY'),
    'submit of an unknown class': (('submit', 'no', '-'), 21, 'no class'),
    'submit of a missing file': (
        ('submit', 'fit-preview', '/nonexistent'),
        20,
        'cannot read',
    ),
    'submit with a bad number': (
        ('submit', 'fit-preview', '/dev/null', '--memory', 'much'),
        20,
        '--memory takes a whole number',
    ),
    'report burn': (('report', 'burn'), 0, 'burn 5m'),
    'help': (('help', 'submit'), 0, 'Request key'),
}


@pytest.mark.parametrize('name', COMMANDS)
def test_command(site: Site, name: str) -> None:
    args, exit_status, part = COMMANDS[name]
    done = site.run_cli(*args)
    assert done.returncode == exit_status, done.stderr
    assert part in f'{done.stdout}{done.stderr}'


def test_unreachable_platform_has_its_code(site: Site) -> None:
    path = site.folder / 'nowhere.json'
    path.write_text(json.dumps(UNREACHABLE_CLUSTER))
    done = site.run_cli('cfg', 'status', '--settings', str(path))
    assert done.returncode == 66
    assert 'STORE_FAILED' in done.stderr


def test_submit_and_cancel(site: Site) -> None:
    task = payload(site, '{"run_ms": 20, "echo": "cli"}')
    output = site.folder / 'answer'
    response = cli_json(
        site, 'submit', 'fit-preview', task, '-k', 'cli-1', '-o', str(output)
    )
    assert response['outcome'] == 'done'
    assert b'cli' in output.read_bytes()
    slow = payload(site, '{"run_ms": 20000}')
    submitted = cli_json(
        site, 'submit', 'scaling-run', slow, '-k', 'cli-2', '--no-wait'
    )
    assert submitted['outcome'] == 'pending'
    done = site.run_cli('cancel', 'cli-2', '--json')
    assert json.loads(done.stdout)[0]['name'] == 'STOPPED'
    assert done.returncode == 51


def test_push_shows_where_it_is_in_force(site: Site) -> None:
    folder = folder_with(site, 'team', '{"teams": {"new": {}}}')
    diff = site.run_cli('cfg', 'diff', folder).stdout
    assert '+    "new": {' in diff
    rollout = cli_json(site, 'cfg', 'push', folder)
    names = {row['instance'] for row in rollout['in_force']}
    assert names == {'e-leith-0', 'e-gorgie-0'}
    assert not rollout['not_yet']


def test_faulty_folder_changes_nothing(site: Site) -> None:
    before = cli_json(site, 'cfg', 'status')['revision']
    folder = folder_with(site, 'faulty', '{"rules": {"r": {"classes": ["x"]}}}')
    done = site.run_cli('cfg', 'push', folder)
    assert done.returncode == 60
    assert '50-more.jsonc:1: rules.r.classes: "x"' in done.stderr
    assert cli_json(site, 'cfg', 'status')['revision'] == before


@pytest.fixture
def dead_entry(site: Site) -> Iterator[str]:
    site.start_entry('e-dead', 'leith').kill()
    yield 'e-dead'
    site.unlist('e-dead')


def test_unreachable_instance_is_named(site: Site, dead_entry: str) -> None:
    """A dead instance that is still listed is reported, never omitted."""
    done = site.run_cli('status')
    assert done.returncode == 64
    assert f'{dead_entry}: UNREACHABLE' in done.stdout
    pushed = site.run_cli('domain', 'in', 'leith', '-t', '1')
    assert pushed.returncode == 62
    assert f'{dead_entry}: NOT CONFIRMED' in pushed.stdout
    report = site.run_cli('report', 'burn', '--json')
    assert report.returncode == 64
    missing = json.loads(report.stdout)['unreachable']
    assert [row['instance'] for row in missing] == [dead_entry]


def test_burn_page_is_self_contained(site: Site) -> None:
    task = payload(site, '{"run_ms": 1}')
    cli_json(site, 'submit', 'fit-preview', task)
    page = site.folder / 'burn.html'
    cli_json(site, 'report', 'burn', '--html', str(page))
    text = Path(page).read_text()
    assert text.startswith('<!doctype html>')
    assert 'src=' not in text
    assert 'fit-preview' in text
