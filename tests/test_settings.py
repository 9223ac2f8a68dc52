"""Daemon settings: all errors are reported at once and nothing starts."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gentianpulley.errors import SettingsError
from gentianpulley.settings import load_cli_settings, load_daemon_settings

GOOD = {
    'instance': 'entry-1',
    'failure_domain': 'leith',
    'http': '127.0.0.1:8080',
    'peer': '127.0.0.1:9090',
    'store': '127.0.0.1:2379',
    'instance_list': '127.0.0.1:6443',
}

# name: (changes to valid settings, parts of the reported errors)
Changes = dict[str, Any]

Case = tuple[Changes, tuple[str, ...]]

INVALID_SETTINGS: dict[str, Case] = {
    'missing': ({'store': None}, ('missing key "store"',)),
    'unknown': ({'colour': 'blue'}, ('colour: unknown key',)),
    'address without a port': ({'http': 'localhost'}, ('http: "localhost"',)),
    'port not a number': ({'peer': 'h:x'}, ('peer: "h:x"',)),
    'wrong type': ({'http_threads': 'many'}, ('http_threads: Expected',)),
    'not positive': ({'drain_ms': 0}, ('drain_ms: must be greater',)),
    'empty name': ({'instance': ' '}, ('instance: must not be empty',)),
    'all at once': (
        {'instance': '', 'store': 'x', 'max_body_bytes': -1},
        ('instance:', 'store:', 'max_body_bytes:'),
    ),
}


def write(folder: Path, changes: dict[str, Any]) -> Path:
    """Write valid settings with changes; None removes a key."""
    settings = {
        name: member
        for name, member in {**GOOD, **changes}.items()
        if member is not None
    }
    path = folder / 'settings.jsonc'
    path.write_text(f'// settings\n{json.dumps(settings, indent=1)}')
    return path


def test_good_settings_are_read(tmp_path: Path) -> None:
    assert load_daemon_settings(write(tmp_path, {})).instance == 'entry-1'


@pytest.mark.parametrize('name', INVALID_SETTINGS)
def test_faults_are_listed(tmp_path: Path, name: str) -> None:
    changes, parts = INVALID_SETTINGS[name]
    with pytest.raises(SettingsError) as caught:
        load_daemon_settings(write(tmp_path, changes))
    for part in parts:
        assert part in caught.value.text


def test_cli_settings_are_checked(tmp_path: Path) -> None:
    path = tmp_path / 'cli.json'
    path.write_text('{"store": "x", "instance_list": "y"}')
    with pytest.raises(SettingsError) as caught:
        load_cli_settings(path)
    assert caught.value.text.count('host:port') == 2


@pytest.mark.parametrize(
    ('words', 'exit_status', 'part'),
    (
        ((), 64, 'usage'),
        (('/nonexistent.json',), 65, 'cannot read'),
        (('BAD',), 65, 'nothing was started'),
    ),
)
def test_daemon_refuses_to_start(
    tmp_path: Path, words: tuple[str, ...], exit_status: int, part: str
) -> None:
    bad = write(tmp_path, {'instance': '', 'store': 'x'})
    named = [str(bad) if word == 'BAD' else word for word in words]
    done = subprocess.run(
        [sys.executable, '-m', 'gentianpulley.daemon', *named],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == exit_status
    assert part in done.stderr
    assert not done.stdout
