"""Operators' requests for maintenance waves, as instances follow them."""

import json
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.logs import EventLog
from gentianpulley.platform import operator_watch
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.platform.operator_watch import (
    CFG_KEY,
    WAVE_PREFIX,
    OperatorWatch,
)
from gentianpulley.store import Change, ChangeBatch, Entry, Snapshot

START_MS = 1_000_000
LATER_MS = 3000
WITHIN_MS = 60_000
KEY = f'{WAVE_PREFIX}1'


@dataclass
class _Store(KvStore):
    """A store with one entry or none, which changes once while watched."""

    entry: Entry | None = None
    change: Change | None = None

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return the entry before the change."""
        return Snapshot((self.entry,) if self.entry else (), 1)

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Report the change, then fail."""
        if self.change is not None:
            yield ChangeBatch((self.change,), self.change.revision)
        raise StoreAnswerLostError(prefix)


class _Listener(OperatorListener):
    """Keeps the requests as they were published last."""

    def __init__(self) -> None:
        self.requests: tuple[WaveRequest, ...] = ()
        self.calls: list[str] = []

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Record the call."""
        self.calls.append('closed domains')

    def replace_customers(self, customers: Customers) -> None:
        """Record the call."""
        self.calls.append('customers')

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Keep the requests."""
        self.requests = requests


class _Site:
    """A watch over a store, on a clock that stands still."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at_ms = START_MS
        monkeypatch.setattr(
            operator_watch, 'deadline_in', lambda within: self.at_ms + within
        )
        self.store = _Store()
        self.listener = _Listener()
        self._watch = OperatorWatch(
            self.store, QueueTable(EventLog()), self.listener, EventLog()
        )

    def follow(self) -> tuple[WaveRequest, ...]:
        """Read and watch until the watch fails; return the requests."""
        self._watch.step()
        return self.listener.requests


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> _Site:
    """Return a site whose operators have requested a wave of one machine."""
    created = _Site(monkeypatch)
    created.store.entry = _entry(1, 'm1')
    assert created.follow() == (_request('m1'),)
    created.at_ms += LATER_MS
    return created


def _entry(revision: int, *machines: str, at_most: int = 1) -> Entry:
    wave = {
        'wave': 1,
        'machines': machines,
        'within_s': WITHIN_MS / 1000,
        'at_most': at_most,
    }
    return Entry(KEY, json.dumps(wave).encode(), revision)


def _request(
    *machines: str, since_ms: int = START_MS, at_most: int = 1
) -> WaveRequest:
    return WaveRequest(1, machines, since_ms + WITHIN_MS, at_most)


@pytest.mark.parametrize('is_watched', [False, True])
def test_a_wave_that_is_rewritten_under_its_key_is_followed(
    site: _Site, *, is_watched: bool
) -> None:
    """The first request stayed until operators deleted the key."""
    changed = _entry(2, 'm1', 'm2', at_most=2)
    if is_watched:
        site.store.change = Change(KEY, changed, 2)
    else:
        site.store.entry = changed
    since_ms = START_MS + LATER_MS
    assert site.follow() == (
        _request('m1', 'm2', since_ms=since_ms, at_most=2),
    )


def test_a_wave_that_is_read_again_keeps_its_time(site: _Site) -> None:
    assert site.follow() == (_request('m1'),)


def test_a_wave_that_is_written_again_after_its_deletion_is_new(
    site: _Site,
) -> None:
    entry = site.store.entry
    site.store.entry = None
    assert site.follow() == ()
    site.store.entry = entry
    assert site.follow() == (_request('m1', since_ms=START_MS + LATER_MS),)


def test_a_wave_that_is_rewritten_with_damage_stays(site: _Site) -> None:
    site.store.entry = Entry(KEY, b'{', 2)
    assert site.follow() == (_request('m1'),)


def test_customers_are_known_before_the_instance_may_lead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader without ceilings starts what exceeds them."""
    site = _Site(monkeypatch)
    cfg = {'version': 1, 'tenants': [{'name': 'ada', 'api_keys': ['k']}]}
    site.store.entry = Entry(CFG_KEY, json.dumps(cfg).encode(), 1)
    site.follow()
    assert site.listener.calls == ['customers', 'closed domains']
