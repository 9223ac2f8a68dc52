"""Operators' keys that cannot be read are left out; the others count."""

import json
from collections.abc import Iterator, Sequence
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreUnreachableError
from gentianpulley.http_conn import parse_address
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.platform.operator_watch import (
    CFG_KEY,
    EVACUATE_PREFIX,
    WAVE_PREFIX,
    OperatorWatch,
)
from gentianpulley.store import Change, ChangeBatch, Entry, Snapshot
from tests.test_decoders import DEEP_BODIES, JSON

CFG: Final = {
    'version': 3,
    'routes': [{'name': 'q', 'host': 'h', 'prefix': '/', 'service': 's'}],
}
WAVE: Final = {'wave': 2, 'machines': ['m'], 'within_s': 5, 'at_most': 1}
HUGE_WAVES: Final = tuple(
    json.dumps({**WAVE, **changes}).encode()
    for changes in (
        {'within_s': 1e306},
        {'within_s': -1e306},
        {'within_s': 10**400},
        {'wave': 10**400},
        {'at_most': 10**400},
    )
)


class OperatorStore(KvStore):
    """A store that holds some keys, or tells of them in one change."""

    def __init__(self, entries: Sequence[Entry], *, is_news: bool) -> None:
        """Answer one read and one watch; fail after that."""
        super().__init__(parse_address('127.0.0.1:1'), create_counters())
        self._entries = tuple(entries)
        self._is_news = is_news

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return the entries, unless they come as news."""
        return Snapshot(() if self._is_news else self._entries, 1)

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Tell of the entries once."""
        if self._is_news:
            changes = [Change(each.key, each, 2) for each in self._entries]
            yield ChangeBatch(tuple(changes), 2)
        raise StoreUnreachableError('down')


class Listener(OperatorListener):
    """Notes what operators ask for."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self.domains: frozenset[str] = frozenset()
        self.waves: frozenset[int] = frozenset()

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Note the closed domains."""
        self.domains = domains

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Note the waves."""
        self.waves = frozenset(request.number for request in requests)


def _check_others_count(key: str, body: bytes, *, is_news: bool) -> None:
    """Let an operator's key hold any body, among good ones."""
    entries = [
        Entry(key, body, 1),
        Entry(f'{EVACUATE_PREFIX}a', b'', 1),
        Entry(f'{WAVE_PREFIX}2', json.dumps(WAVE).encode(), 1),
    ]
    if key != CFG_KEY:
        entries.append(Entry(CFG_KEY, json.dumps(CFG).encode(), 1))
    table = QueueTable(EventLog())
    listener = Listener()
    store = OperatorStore(entries, is_news=is_news)
    OperatorWatch(store, table, listener, EventLog()).step()
    assert listener.domains >= {'a'}
    assert 2 in listener.waves
    assert key == CFG_KEY or table.find('h', '/x') is not None


KEYS: Final = (f'{WAVE_PREFIX}1', CFG_KEY, 'op/other')
IS_NEWS: Final = pytest.mark.parametrize('is_news', [True, False])


@pytest.mark.proof('number-bounds')
@IS_NEWS
def test_a_wave_with_a_huge_number_kept_all_waves_from_beginning(
    *, is_news: bool
) -> None:
    for body in HUGE_WAVES:
        _check_others_count(f'{WAVE_PREFIX}1', body, is_news=is_news)


@IS_NEWS
@pytest.mark.parametrize('key', KEYS)
@settings(max_examples=100)
@given(found=JSON)
def test_any_value_of_an_operators_key(
    key: str, found: object, *, is_news: bool
) -> None:
    body = json.dumps(found).encode()
    _check_others_count(key, body, is_news=is_news)


@IS_NEWS
@pytest.mark.parametrize('key', KEYS)
@settings(max_examples=100)
@given(name=st.sampled_from(sorted(WAVE)), found=JSON)
def test_a_wave_with_one_field_of_another_type(
    key: str, name: str, found: object, *, is_news: bool
) -> None:
    body = json.dumps({**WAVE, 'wave': 1, name: found}).encode()
    _check_others_count(key, body, is_news=is_news)


@IS_NEWS
@pytest.mark.parametrize('key', KEYS)
def test_deeply_nested_keys(key: str, *, is_news: bool) -> None:
    for body in DEEP_BODIES:
        _check_others_count(key, body, is_news=is_news)
