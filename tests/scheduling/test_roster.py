"""What a leader tells its successor of workers where something may run."""

import pytest

from gentianpulley.cluster.roster import (
    Roster,
    decode_roster,
    encode_roster,
)
from tests.scheduling.site import START_MS, TIMING, hand_site

BEFORE_MS = 1000
NOBODY: frozenset[str] = frozenset()
OF_LAST_REIGN = frozenset(('gone', 'w1'))


@pytest.mark.parametrize(
    ('after_ms', 'left_ms'),
    [
        (0, {'gone': TIMING.handover_ms}),
        (4000, {'gone': TIMING.handover_ms - 4000}),
        (TIMING.handover_ms, {'gone': 0}),
        (TIMING.handover_ms + 1, {}),
    ],
)
def test_a_reign_tells_what_is_left_to_wait_for(
    after_ms: int, left_ms: dict[str, int]
) -> None:
    site = hand_site('w1', roster=OF_LAST_REIGN)
    roster = site.scheduler.roster(OF_LAST_REIGN, NOBODY, START_MS + after_ms)
    assert roster == Roster(frozenset(('w1',)), left_ms)


def test_a_report_counts_whom_inherited_work_waits_for() -> None:
    site = hand_site('w1', roster=OF_LAST_REIGN)
    assert site.scheduler.report(START_MS).workers['missing'] == 1
    over_ms = START_MS + TIMING.handover_ms + 1
    assert 'missing' not in site.scheduler.report(over_ms).workers


def test_a_worker_about_to_be_used_is_told_as_used() -> None:
    site = hand_site(roster=OF_LAST_REIGN)
    used = frozenset(('gone',))
    roster = site.scheduler.roster(OF_LAST_REIGN, used, START_MS)
    assert roster == Roster(used, {'w1': TIMING.handover_ms})


@pytest.mark.parametrize(
    ('reigned_ms', 'is_silent', 'is_known'),
    [
        (TIMING.handover_ms, True, False),
        (TIMING.handover_ms, False, True),
        (0, True, True),
    ],
)
def test_a_worker_that_left_is_dropped_once_its_lease_is_over(
    reigned_ms: int, is_silent: bool, is_known: bool
) -> None:
    """It stood on the roster for a whole handover, longer than two reigns."""
    site = hand_site('w1')
    site.at_ms += reigned_ms
    site.list_runs('w1')
    site.scheduler.unlist_worker('w1', site.at_ms)
    site.at_ms += TIMING.lease_ms + BEFORE_MS
    if not is_silent:
        site.list_runs('w1')
    site.scheduler.note_lapses(site.at_ms)
    assert ('w1' in site.scheduler.workers) == is_known


@pytest.mark.parametrize(
    ('body', 'roster'),
    [
        (b'["w1","w2"]', Roster(frozenset(('w1', 'w2')))),
        (encode_roster(Roster()), Roster()),
        (
            encode_roster(Roster(frozenset(('w1',)), {'gone': 500})),
            Roster(frozenset(('w1',)), {'gone': 500}),
        ),
    ],
)
def test_rosters_of_older_releases_are_read(
    body: bytes, roster: Roster
) -> None:
    assert decode_roster(body) == roster
