"""The customers of a cfg, as an instance reads and follows them."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import eliot
import pytest

from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.logs import EventLog
from gentianpulley.platform import operator_watch
from gentianpulley.platform.kv_store import WATCH_WAIT_MS, KvStore
from gentianpulley.platform.operator_watch import CFG_KEY, OperatorWatch
from gentianpulley.resources import Resources
from gentianpulley.store import Change, ChangeBatch, Entry, Snapshot
from tests.test_operator_input import Listener

Lines = list[dict[str, Any]]

START_MS: Final = 1_000_000
KEY: Final = 'secret-key'
TENANT: Final = {
    'name': 'ada',
    'api_keys': [KEY, 'second'],
    'priority': 1,
    'weight': 8,
    'at_most': {'cpu': 2000, 'mem_mb': 300, 'gpus': 0},
}
OTHER: Final = {'name': 'bo', 'api_keys': ['third']}
ADA: Final = Customer(
    'ada', 8, Resources(2000, 300), frozenset((KEY, 'second'))
)


class _Clock:
    """The time of the watch; an answer takes `delay_ms`."""

    def __init__(self) -> None:
        self.at_ms = START_MS
        self.delay_ms = 0

    def now_ms(self) -> int:
        """Return the time."""
        return self.at_ms


@dataclass
class _Store(KvStore):
    """A store with one cfg, whose watch gives batches and then fails."""

    clock: _Clock
    cfg: bytes
    batches: tuple[ChangeBatch, ...] = ()

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return the cfg."""
        return Snapshot((Entry(CFG_KEY, self.cfg, 1),), 1)

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Return the batches, each after a delay."""
        for batch in self.batches:
            self.clock.at_ms += self.clock.delay_ms
            yield batch
        raise StoreAnswerLostError(prefix)


class _CustomerListener(Listener):
    """Notes all customers that were passed on."""

    def __init__(self) -> None:
        super().__init__()
        self.passed_on: list[Customers] = []

    def replace_customers(self, customers: Customers) -> None:
        """Note the customers."""
        self.passed_on.append(customers)


class _Instance:
    """A watch of the store and what it makes known."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = _Clock()
        monkeypatch.setattr(operator_watch, 'now_ms', self.clock.now_ms)
        self.store = _Store(self.clock, _cfg(1, TENANT, OTHER))
        self.table = QueueTable(EventLog())
        self.listener = _CustomerListener()
        self.watch = OperatorWatch(
            self.store, self.table, self.listener, EventLog()
        )

    def holder(self, key: str) -> str | None:
        """Return whose key it is by the cfg in force."""
        assert self.table.active is not None
        return self.table.active.keys.find_holder(key.encode())


@pytest.fixture
def instance(monkeypatch: pytest.MonkeyPatch) -> _Instance:
    """Return an instance that has read a cfg of two customers."""
    created = _Instance(monkeypatch)
    created.watch.step()
    return created


@pytest.fixture
def lines() -> Iterator[Lines]:
    """Return the log lines of the test."""
    written: Lines = []
    eliot.add_destinations(written.append)
    yield written
    eliot.remove_destination(written.append)


def _cfg(version: int, *tenants: Any) -> bytes:
    return json.dumps({'version': version, 'tenants': tenants}).encode()


def _news(*bodies: bytes) -> ChangeBatch:
    changes = (Change(CFG_KEY, Entry(CFG_KEY, each, 2), 2) for each in bodies)
    return ChangeBatch(tuple(changes), 2)


def test_customers_are_decoded_and_passed_on(instance: _Instance) -> None:
    customers = instance.listener.passed_on[-1]
    assert customers.version == 1
    assert customers.by_name['ada'] == ADA
    assert customers.by_name['bo'].weight == 1
    assert KEY not in repr(customers)
    assert [instance.holder(key) for key in (KEY, 'third', '', 'x')] == [
        'ada',
        'bo',
        None,
        None,
    ]


def test_an_older_cfg_that_arrives_late_brings_no_key_back(
    instance: _Instance,
) -> None:
    """Events may be repeated or reordered after a watch was lost."""
    withdrawn = {**TENANT, 'api_keys': ['second']}
    instance.store.batches = (
        _news(_cfg(3, withdrawn), _cfg(2, TENANT)),
        _news(_cfg(1, TENANT, OTHER)),
    )
    instance.watch.step()
    instance.watch.step()
    assert [instance.holder(key) for key in (KEY, 'second', 'third')] == [
        None,
        'ada',
        None,
    ]
    assert [each.version for each in instance.listener.passed_on] == [1, 3]


BAD_CFGS: Final = {
    'a key of two customers': _cfg(2, TENANT, {**OTHER, 'api_keys': [KEY]}),
    'no name': _cfg(2, {**TENANT, 'name': ''}),
    'name left out': _cfg(2, {'api_keys': [KEY]}),
    'one name twice': _cfg(2, TENANT, {**OTHER, 'name': 'ada'}),
    'negative weight': _cfg(2, {**TENANT, 'weight': -1}),
    'negative ceiling': _cfg(2, {**TENANT, 'at_most': {'mem_mb': -1}}),
    'huge ceiling': _cfg(2, {**TENANT, 'at_most': {'cpu': 10**30}}),
    'keys of another type': _cfg(2, {**TENANT, 'api_keys': KEY}),
    'a customer of another type': _cfg(2, KEY),
    'cut off': _cfg(2, TENANT)[:-20],
    'empty': b'',
}


@pytest.mark.proof('cfg-validation')
def test_a_bad_cfg_leaves_the_last_good_one_in_force(
    instance: _Instance, lines: Lines
) -> None:
    for name, body in BAD_CFGS.items():
        instance.store.batches = (_news(body),)
        lines.clear()
        instance.watch.step()
        assert instance.holder(KEY) == 'ada', name
        assert instance.holder('third') == 'bo', name
        assert lines, name
        assert KEY not in repr(lines), name
    assert len(instance.listener.passed_on) == 1
    instance.store.batches = (_news(_cfg(2, OTHER)),)
    instance.watch.step()
    assert instance.holder(KEY) is None


@pytest.mark.parametrize('body', [_cfg(2, TENANT), None])
@pytest.mark.proof('answer-age')
def test_an_answer_that_was_delayed_does_not_make_a_cfg_fresh(
    instance: _Instance, body: bytes | None
) -> None:
    """A paused process took an answer from before its pause for a new one."""
    instance.clock.delay_ms = 10_000
    instance.store.batches = (_news(body) if body else ChangeBatch((), 1),)
    instance.watch.step()
    assert instance.watch.known_until_ms <= START_MS + WATCH_WAIT_MS


def test_an_answer_in_time_makes_a_cfg_fresh(instance: _Instance) -> None:
    instance.clock.delay_ms = WATCH_WAIT_MS
    instance.store.batches = (ChangeBatch((), 1),) * 3
    instance.watch.step()
    assert instance.watch.known_until_ms == START_MS + 3 * WATCH_WAIT_MS
