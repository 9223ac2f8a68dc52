"""Maintenance waves around a change of leader: no machine too many is down."""

import pytest

from gentianpulley.cluster import maintenance_loop
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.leader_store import create_leader_store
from gentianpulley.cluster.machines import MachineState, WaveRequest
from gentianpulley.cluster.wave_records import (
    UNKNOWN_PROGRESS,
    WAVE_PREFIX,
    WaveProgress,
    WaveRecords,
)
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Precondition, Put, Transaction
from tests.scheduling.harness import (
    START_MS,
    TIMING,
    create_harness,
    job,
    step,
)
from tests.scheduling.upkeep_site import (
    FIRST_ORDER_MS,
    KEY_MS,
    LATE_MS,
    LEADERSHIP_MS,
    PASS_MS,
    MemoryStore,
    Platform,
    StoreLink,
    UpkeepSite,
)

MACHINES = ('m1', 'm2', 'm3', 'm4')
WITHIN_MS = 60_000
LONG_MS = 30_000
MANY = 1000
STATUS_KEY = 'status/wave/1'
COMPLETED = b'True'


def _request(
    *machine_ids: str, number: int = 1, at_most: int = 1
) -> WaveRequest:
    return WaveRequest(number, machine_ids, START_MS + WITHIN_MS, at_most)


def _site(
    monkeypatch: pytest.MonkeyPatch, *requests: WaveRequest
) -> UpkeepSite:
    platform = Platform(MACHINES)
    monkeypatch.setattr(maintenance_loop, 'now_ms', lambda: platform.at_ms)
    monkeypatch.setattr(maintenance_loop, 'RETRY_DELAY_S', 0)
    return UpkeepSite(platform, requests)


def _begun_machines(site: UpkeepSite) -> list[str]:
    return [begun.machine_id for begun in site.platform.begun]


def _most_down(site: UpkeepSite) -> int:
    return max(len(begun.others_down) + 1 for begun in site.platform.begun)


@pytest.mark.parametrize('cut_after_ms', range(0, 2 * KEY_MS, PASS_MS))
def test_a_leader_without_the_store_begins_no_upkeep_beside_the_next(
    monkeypatch: pytest.MonkeyPatch, cut_after_ms: int
) -> None:
    """It went on for the rest of its leadership, and nobody knew."""
    site = _site(monkeypatch, _request(*MACHINES))
    first = site.elect(create_harness())
    site.run(cut_after_ms, first)
    first.link.is_cut = True
    site.run(KEY_MS, first)
    second = site.elect(create_harness())
    site.run(LONG_MS, first, second)
    assert _most_down(site) == 1
    assert sorted(_begun_machines(site)) == sorted(MACHINES)


@pytest.mark.proof('wave-intent')
def test_a_leader_that_cannot_record_an_upkeep_begins_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = _site(monkeypatch, _request(*MACHINES, at_most=2))
    first = site.elect(create_harness())
    site.run(FIRST_ORDER_MS, first)
    first.link.is_cut = True
    site.run(2 * LEADERSHIP_MS, first)
    assert _begun_machines(site) == ['m1']


@pytest.mark.proof('wave-intent')
def test_a_successor_counts_an_order_that_had_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It ordered another machine down, and the late order began meanwhile."""
    site = _site(monkeypatch, _request('m1', 'm2'))
    site.platform.states['m1'] = MachineState.MOVING
    site.platform.unanswered = 2
    first = site.elect(create_harness())
    site.run(FIRST_ORDER_MS, first)
    assert site.platform.unanswered == 1
    site.platform.states['m1'] = MachineState.UP
    second = site.elect(create_harness())
    site.run(LATE_MS + LONG_MS, second)
    assert _most_down(site) == 1
    assert _begun_machines(site) == ['m2', 'm1']


def _damage_record(site: UpkeepSite) -> None:
    put = Put(f'{WAVE_PREFIX}1', b'{')
    site.store.commit(Transaction((), (put,)))


@pytest.mark.parametrize('number', [1, 2])
@pytest.mark.proof('wave-unknown')
def test_a_successor_with_a_damaged_record_waits_for_any_order(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """It took nothing for ordered, and a late order began beside its own."""
    site = _site(monkeypatch, _request('m1', 'm2'))
    site.platform.unanswered = 1
    site.run(FIRST_ORDER_MS, site.elect(create_harness()))
    assert not site.platform.unanswered
    site.run(LATE_MS - 2 * FIRST_ORDER_MS)
    _damage_record(site)
    site.platform.states['m1'] = MachineState.MOVING
    site.requests = (_request('m1', 'm2', number=number),)
    second = site.elect(create_harness())
    site.run(FIRST_ORDER_MS + PASS_MS, second)
    site.platform.states['m1'] = MachineState.UP
    site.run(LONG_MS, second)
    assert _most_down(site) == 1
    assert set(_begun_machines(site)) == {'m1', 'm2'}
    assert site.store.entries[f'status/wave/{number}'].body == COMPLETED


@pytest.mark.proof('wave-unknown')
def test_a_damaged_record_stays_until_nothing_can_be_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The leader after the next one has to wait as well."""
    site = _site(monkeypatch, _request('m1', number=2))
    _damage_record(site)
    site.run(LATE_MS, site.elect(create_harness()))
    assert f'{WAVE_PREFIX}1' in site.store.entries
    second = site.elect(create_harness())
    site.run(LATE_MS, second)
    assert not site.platform.ordered_ms
    site.run(LATE_MS, second)
    assert len(site.platform.ordered_ms) == 1
    assert f'{WAVE_PREFIX}1' not in site.store.entries


@pytest.mark.proof('certainty')
def test_a_leader_whose_key_may_be_gone_repeats_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What that ends adds to what its successor lets go."""
    site = _site(monkeypatch, _request('m1'))
    site.platform.unanswered = MANY
    first = site.elect(create_harness())
    site.run(FIRST_ORDER_MS, first)
    first.link.is_cut = True
    cut_ms = site.platform.at_ms
    site.run(2 * LEADERSHIP_MS, first)
    assert cut_ms <= max(site.platform.ordered_ms) < cut_ms + KEY_MS


@pytest.mark.proof('certainty')
def test_a_leader_whose_key_may_be_gone_stops_nothing_for_a_wave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = _site(monkeypatch, _request('m1'))
    harness = create_harness('m1-1')
    spec = step(1, is_endless=True, estimated_ms=0)
    harness.scheduler.add_job(job(spec))
    assert harness.start_all()
    first = site.elect(harness)
    site.run(FIRST_ORDER_MS - PASS_MS, first)
    first.link.is_cut = True
    site.platform.at_ms += KEY_MS
    site.run(LEADERSHIP_MS, first)
    worker = harness.scheduler.workers['m1-1']
    assert worker.is_leaving
    assert [each.is_stopping for each in worker.reservations.values()] == [
        False
    ]


@pytest.mark.proof('wave-former-stops')
def test_a_new_leader_waits_for_the_stops_of_the_former_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A listing shows what is being stopped as at work."""
    site = _site(monkeypatch, _request('m1'))
    leader = site.elect(create_harness())
    elected_ms = site.platform.at_ms
    site.run(LONG_MS, leader)
    assert site.platform.ordered_ms[0] > elected_ms + TIMING.stop_ms


def test_a_new_leader_reports_a_completed_wave_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = _site(monkeypatch, _request('m1'))
    site.run(LONG_MS, site.elect(create_harness()))
    assert site.store.entries[STATUS_KEY].body == COMPLETED
    second = site.elect(create_harness())
    site.run(PASS_MS, second)
    assert site.store.entries[STATUS_KEY].body == COMPLETED
    assert len(site.platform.ordered_ms) == 1


def test_a_deposed_leader_orders_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = _site(monkeypatch, _request(*MACHINES))
    first = site.elect(create_harness())
    site.elect(create_harness())
    site.run(KEY_MS, first)
    assert not site.platform.begun
    assert first.leadership.is_over()


def test_an_upkeep_whose_record_had_no_answer_begins_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = _site(monkeypatch, _request('m1', 'm2'))
    first = site.elect(create_harness())
    first.link.is_late = True
    site.run(FIRST_ORDER_MS, first)
    assert not site.platform.begun
    first.link.is_late = False
    for write in first.link.late_writes:
        site.store.commit(write)
    site.run(LONG_MS, first)
    assert _begun_machines(site) == ['m1', 'm2']
    assert _most_down(site) == 1


@pytest.mark.parametrize('at_most', [1, 2])
def test_waves_that_share_machines_count_them_together(
    monkeypatch: pytest.MonkeyPatch, at_most: int
) -> None:
    """A machine that was down for one wave did not count for the other."""
    site = _site(
        monkeypatch,
        _request('m1', 'm2', 'm3', at_most=at_most),
        _request('m2', 'm3', 'm4', number=2, at_most=at_most),
    )
    leader = site.elect(create_harness())
    site.run(LONG_MS, leader)
    assert sorted(_begun_machines(site)) == sorted(
        ('m1', 'm2', 'm3', 'm2', 'm3', 'm4')
    )
    shared = {'m2', 'm3'}
    for begun in site.platform.begun:
        own = begun.others_down & (shared | {begun.machine_id})
        assert len(own) < at_most


def _records(
    store: MemoryStore,
) -> tuple[WaveRecords, StoreLink]:
    link = StoreLink(store)
    leader = Precondition(LEADER_KEY, store.revision)
    return WaveRecords(create_leader_store(link, leader), EventLog()), link


def _store_with_leader() -> MemoryStore:
    store = MemoryStore()
    store.commit(Transaction((), (Put(LEADER_KEY, b''),)))
    return store


@pytest.mark.proof('wave-late-write')
def test_a_record_that_is_written_late_replaces_no_newer_one() -> None:
    store = _store_with_leader()
    records, link = _records(store)
    link.is_late = True
    with pytest.raises(StoreAnswerLostError):
        records.save(1, WaveProgress(ordered=('a',)))
    link.is_late = False
    newer = WaveProgress(ordered=('b',), started=('a',))
    records.save(1, newer)
    for write in link.late_writes:
        store.commit(write)
    assert records.load()[1] == newer


def test_a_record_whose_answer_was_lost_is_written_again() -> None:
    store = _store_with_leader()
    records, link = _records(store)
    progress = WaveProgress(ordered=('a',))
    link.is_late = True
    with pytest.raises(StoreAnswerLostError):
        records.save(1, progress)
    link.is_late = False
    store.commit(link.late_writes[0])
    with pytest.raises(StoreError):
        records.save(1, progress)
    records.save(1, progress)
    revision = store.revision
    records.save(1, progress)
    assert store.revision == revision
    assert records.load() == {1: progress}


@pytest.mark.parametrize(
    ('body', 'progress'),
    [
        (b'["a","b"]', WaveProgress(started=('a', 'b'))),
        (b'{"ordered":["a"],"started":[]}', WaveProgress(ordered=('a',))),
        (b'{"ordered":1,"started":[]}', UNKNOWN_PROGRESS),
        (b'[[]]', UNKNOWN_PROGRESS),
        (b'{', UNKNOWN_PROGRESS),
    ],
)
def test_records_of_older_releases_and_damaged_ones_are_read(
    body: bytes, progress: WaveProgress
) -> None:
    store = _store_with_leader()
    records, _ = _records(store)
    store.commit(Transaction((), (Put(f'{WAVE_PREFIX}other', body),)))
    store.commit(Transaction((), (Put(f'{WAVE_PREFIX}1', body),)))
    assert records.load() == {1: progress}
