"""The contract that every store adapter must satisfy."""

import time
from abc import ABC, abstractmethod
from collections.abc import Callable

import pytest

from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreUnreachableError,
)
from gentianpulley.store import (
    ABSENT,
    Change,
    Precondition,
    ConditionalWrite,
    Put,
    Store,
    Transaction,
    WriteResult,
)


def put_one(store: Store, key: str, body: bytes, expected: int) -> WriteResult:
    """Write one key if its revision is `expected`."""
    write = ConditionalWrite(key, expected, (Put(key, body),))
    return store.write((write,))[0]


class StoreContract(ABC):
    """The tests that every store must pass."""

    @pytest.fixture
    @abstractmethod
    def store(self) -> Store:
        """Return an empty store."""

    @pytest.fixture
    @abstractmethod
    def broken(self) -> Callable[[str], Store]:
        """Return a factory of stores with the named fault."""

    def test_absent_key_reads_as_none(self, store: Store) -> None:
        assert store.read('/none') is None

    def test_write_is_read_back_at_its_revision(self, store: Store) -> None:
        outcome = put_one(store, '/a', b'one', ABSENT)
        entry = store.read('/a')
        assert entry is not None
        assert (entry.body, entry.revision) == (b'one', outcome.revision)

    @pytest.mark.parametrize(
        ('expected_offset', 'applied'),
        ((0, True), (-1, False), (1, False)),
        ids=('at the revision', 'older revision', 'newer revision'),
    )
    def test_compare_and_swap(
        self, store: Store, expected_offset: int, applied: bool
    ) -> None:
        revision = put_one(store, '/a', b'one', ABSENT).revision
        outcome = put_one(store, '/a', b'two', revision + expected_offset)
        assert outcome.applied is applied
        entry = store.read('/a')
        assert entry is not None
        assert (entry.body == b'two') is applied
        assert outcome.applied or outcome.current == entry

    def test_create_fails_if_the_key_exists(self, store: Store) -> None:
        put_one(store, '/a', b'one', ABSENT)
        outcome = put_one(store, '/a', b'two', ABSENT)
        assert not outcome.applied
        assert outcome.current is not None
        assert outcome.current.body == b'one'

    def test_writes_of_one_call_are_independent(self, store: Store) -> None:
        put_one(store, '/a', b'one', ABSENT)
        outcomes = store.write(
            [
                ConditionalWrite('/a', ABSENT, (Put('/a', b'x'),)),
                ConditionalWrite('/b', ABSENT, (Put('/b', b'y'),), ('/c',)),
            ]
        )
        assert [outcome.applied for outcome in outcomes] == [False, True]
        assert store.read('/b') is not None

    def test_write_deletes_with_its_puts(self, store: Store) -> None:
        put_one(store, '/index/a', b'', ABSENT)
        revision = put_one(store, '/a', b'one', ABSENT).revision
        write = ConditionalWrite(
            '/a', revision, (Put('/a', b'two'),), ('/index/a',)
        )
        assert store.write((write,))[0].applied
        assert store.read('/index/a') is None

    @pytest.mark.parametrize(
        ('guards', 'applied'),
        (
            ((('/a', 0), ('/none', ABSENT)), True),
            ((('/a', -1), ('/none', ABSENT)), False),
            ((('/a', 0), ('/none', 5)), False),
        ),
        ids=('all hold', 'first fails', 'second fails'),
    )
    def test_transaction_needs_all_guards(
        self,
        store: Store,
        guards: tuple[tuple[str, int], ...],
        applied: bool,
    ) -> None:
        revision = put_one(store, '/a', b'one', ABSENT).revision
        offsets = {'/a': revision, '/none': 0}
        commit = store.commit(
            Transaction(
                tuple(
                    Precondition(key, offsets[key] + offset)
                    for key, offset in guards
                ),
                (Put('/a', b'two'), Put('/b', b'new')),
            )
        )
        assert commit.applied is applied
        assert (store.read('/b') is not None) is applied
        entry = store.read('/a')
        assert entry is not None
        assert (entry.body == b'two') is applied
        assert applied or commit.current == (entry,)

    def test_prefix_reads_only_its_keys(self, store: Store) -> None:
        for key in ('/p/a', '/p/b', '/q/a'):
            put_one(store, key, b'', ABSENT)
        found = store.read_prefix('/p/')
        assert [entry.key for entry in found.entries] == ['/p/a', '/p/b']

    def test_lapsed_lease_deletes_its_keys(self, store: Store) -> None:
        lease = store.grant_lease(1)
        put = Put('/leased', b'', lease.lease_id)
        store.write((ConditionalWrite('/leased', ABSENT, (put,)),))
        assert store.read('/leased') is not None
        time.sleep(1.6)
        assert store.read('/leased') is None
        assert store.keep_alive(lease) is None

    def test_renewed_lease_keeps_its_keys(self, store: Store) -> None:
        lease = store.grant_lease(1)
        put = Put('/leased', b'', lease.lease_id)
        store.write((ConditionalWrite('/leased', ABSENT, (put,)),))
        for _ in range(4):
            time.sleep(0.4)
            assert store.keep_alive(lease) is not None
        assert store.read('/leased') is not None

    def test_revoked_lease_deletes_its_keys_at_once(self, store: Store) -> None:
        lease = store.grant_lease(30)
        put = Put('/leased', b'', lease.lease_id)
        store.write((ConditionalWrite('/leased', ABSENT, (put,)),))
        store.revoke(lease)
        assert store.read('/leased') is None

    def test_watch_yields_changes_after_a_revision(self, store: Store) -> None:
        put_one(store, '/w/old', b'', ABSENT)
        revision = store.read_prefix('/w/').revision
        put_one(store, '/w/new', b'1', ABSENT)
        put_one(store, '/other', b'', ABSENT)
        lease = store.grant_lease(30)
        put = Put('/w/leased', b'', lease.lease_id)
        store.write((ConditionalWrite('/w/leased', ABSENT, (put,)),))
        store.revoke(lease)
        seen = _collect_changes(store, '/w/', revision, 3)
        assert [(change.key, change.entry is None) for change in seen] == [
            ('/w/new', False),
            ('/w/leased', False),
            ('/w/leased', True),
        ]

    def test_calls_are_counted(self, store: Store) -> None:
        before = store.call_count()
        store.read('/a')
        store.read_prefix('/a')
        assert store.call_count() == before + 2

    @pytest.mark.parametrize(
        ('fault', 'error'),
        (
            ('unreachable', StoreUnreachableError),
            ('down', StoreUnreachableError),
            ('lose_answers', StoreAnswerLostError),
            ('drop_requests', StoreAnswerLostError),
        ),
    )
    def test_failing_write_raises(
        self,
        broken: Callable[[str], Store],
        fault: str,
        error: type[StoreError],
    ) -> None:
        with pytest.raises(error):
            put_one(broken(fault), '/a', b'one', ABSENT)

    def test_silent_watch_ends(self, broken: Callable[[str], Store]) -> None:
        with pytest.raises(StoreError):
            _collect_changes(broken('silent_watches'), '/w/', 0, 1)


def _collect_changes(
    store: Store, prefix: str, revision: int, count: int
) -> list[Change]:
    seen: list[Change] = []
    for batch in store.watch(prefix, revision):
        seen.extend(batch.changes)
        if len(seen) >= count:
            break
    return seen
