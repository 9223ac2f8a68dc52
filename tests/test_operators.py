"""Operator changes: new placement rules, domains out of and back in service."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianpulley.start_gate import PROPAGATION_BOUND_MS
from standins.site import Site, wait_for
from tests.cluster_helpers import (
    CFG_FOLDER,
    RequestSpec,
    put_cfg,
    start_site,
    list_starts,
    status,
    submit,
)

BOUND_S = PROPAGATION_BOUND_MS / 1000


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1)
    yield running
    running.stop()


def add_file(site: Site, name: str, text: str) -> None:
    """Add one file to a copy of the cfg folder and activate it."""
    folder = site.folder / 'cfg'
    folder.mkdir(exist_ok=True)
    for path in CFG_FOLDER.iterdir():
        (folder / path.name).write_text(path.read_text())
    Path(folder / name).write_text(text)
    put_cfg(site, folder)


def domains_used(site: Site, keys: list[str]) -> set[str]:
    """Return the failure domains in which the requests started."""
    return {
        line['failure_domain']
        for key in keys
        for line in site.record()
        if line['event'] == 'start' and line['task_id'].startswith(f'{key}')
    }


def test_one_file_moves_placement(site: Site) -> None:
    submit(site, 'e-leith-0', RequestSpec('before-', task={'run_ms': 1}))
    add_file(
        site,
        '50-law.jsonc',
        '{"rules": {"law": {"data_tags": ["health"],'
        '"allow_domains": ["gorgie"]}}}',
    )
    time.sleep(BOUND_S)
    keys = [f'after-{number}-' for number in range(10)]
    for key in keys:
        ask = RequestSpec(key, task={'run_ms': 1}, data_tags=('health',))
        assert submit(site, 'e-leith-0', ask)['outcome'] == 'done'
    assert domains_used(site, ['before-']) == {'leith'}
    assert domains_used(site, keys) == {'gorgie'}
    untagged = RequestSpec('untagged-', task={'run_ms': 1})
    submit(site, 'e-leith-0', untagged)
    assert domains_used(site, ['untagged-']) == {'leith'}


FORBIDDING_RULES = {
    'closed everywhere': (
        '{"rules": {"a": {"data_tags": ["x"], "allow_domains": ["leith"]},'
        '"b": {"data_tags": ["x"], "deny_domains": ["leith"]}}}',
        'RULE_FORBIDS',
    ),
    'over': (
        '{"rules": {"a": {"not_after": "2020-01-01T00:00:00Z"}}}',
        'RULE_FORBIDS',
    ),
}


@pytest.mark.parametrize('name', FORBIDDING_RULES)
def test_forbidden_work_is_refused_as_not_run(site: Site, name: str) -> None:
    rule_file, code = FORBIDDING_RULES[name]
    add_file(site, '50-law.jsonc', rule_file)
    time.sleep(BOUND_S)
    for work_class in ('fit-preview', 'last-build'):
        ask = RequestSpec(f'no-{work_class}', work_class, data_tags=('x',))
        answer = submit(site, 'e-leith-0', ask)
        assert (answer['name'], answer['outcome']) == (code, 'not-run')
    assert not site.record()


def test_held_work_starts_when_the_hold_is_lifted(site: Site) -> None:
    add_file(site, '50-hold.jsonc', '{"rules": {"h": {"hold": true}}}')
    time.sleep(BOUND_S)
    ask = RequestSpec('held', 'last-build', {'run_ms': 1}, deadline_ms=60_000)
    answer = submit(site, 'e-leith-0', ask, wait_ms=500)
    assert answer['outcome'] == 'pending'
    assert not site.record()
    put_cfg(site)
    answer = status(site, 'e-gorgie-0', 'held', wait_ms=int(BOUND_S * 1000))
    assert answer['outcome'] == 'done'


def test_domain_out_moves_work_and_starts_nothing(site: Site) -> None:
    run = RequestSpec(
        'run', 'scaling-run', {'run_ms': 4000}, deadline_ms=60_000
    )
    submit(site, 'e-leith-0', run, wait_ms=0)
    wait_for(lambda: list_starts(site, 'run'))
    first = list_starts(site, 'run')[0]['failure_domain']
    time.sleep(1)
    out_ms = time.time_ns() // 1_000_000
    done = site.run_cli('domain', 'out', first)
    assert done.returncode == 0
    keys = [f'p-{number}' for number in range(20)]
    for key in keys:
        entry = f'e-{first}-0'
        answer = submit(site, entry, RequestSpec(key, task={'run_ms': 1}))
        assert answer['outcome'] == 'done'
    answer = status(site, 'e-leith-0', 'run', wait_ms=20_000)
    assert answer['outcome'] == 'done'
    late = [
        line
        for line in site.record()
        if line['event'] == 'start'
        and line['failure_domain'] == first
        and line['at_ms'] > out_ms + PROPAGATION_BOUND_MS
    ]
    assert not late
    starts = list_starts(site, 'run')
    assert [line['task_id'] for line in starts] == ['run#1', 'run#2']
    assert starts[1]['failure_domain'] != first
    assert int(starts[1]['checkpoint']) > 500
    assert resumed_fully(site)


def resumed_fully(site: Site) -> bool:
    """Return whether the resumed run took only its remaining time."""
    lines: list[dict[str, Any]] = [
        line for line in site.record() if line['task_id'] == 'run#2'
    ]
    took_ms = lines[-1]['at_ms'] - lines[0]['at_ms']
    return took_ms < 4000 - int(lines[0]['checkpoint']) + 500


def test_domain_in_takes_work_again(site: Site) -> None:
    site.run_cli('domain', 'out', 'leith')
    site.run_cli('domain', 'in', 'leith')
    ask = RequestSpec('back-', task={'run_ms': 1})
    assert submit(site, 'e-leith-0', ask)['outcome'] == 'done'
    assert domains_used(site, ['back-']) == {'leith'}
