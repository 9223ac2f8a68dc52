"""The adapter to the store of the platform meets the store contract."""

import time
from collections.abc import Callable, Iterator

import pytest

from gentianpulley.counters import create_counters
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreCompactedError,
    StoreError,
    StoreUnreachableError,
)
from gentianpulley.http_conn import HttpAddress
from gentianpulley.platform import kv_store
from gentianpulley.platform.kv_store import connect_kv_store
from gentianpulley.store import ABSENT, Precondition, Put, Store, Transaction
from standins.grid_store import HOST, PAGE, GridStore
from standins.http_server import Call, Reply
from standins.ports import free_port
from tests.contracts.store_contract import StoreContract, put_one

LONG_TIMEOUT_MS = 10_000
DELAY_S = 0.8


@pytest.fixture
def server() -> Iterator[GridStore]:
    """Return a fake of the store of the platform."""
    served = GridStore()
    served.run_in_background()
    yield served
    served.shutdown()
    served.server_close()


class TestKvStore(StoreContract):
    """The adapter against the fake store."""

    @pytest.fixture
    def store(self, server: GridStore) -> Store:
        """Return an empty store."""
        return connect_kv_store(
            HttpAddress(HOST, server.port), create_counters()
        )

    @pytest.fixture
    def broken(
        self, server: GridStore, monkeypatch: pytest.MonkeyPatch
    ) -> Callable[[str], Store]:
        """Return a factory of stores with the named fault."""

        def build(fault: str) -> Store:
            if fault == 'down':
                # A late refusal is inconclusive for a writer.
                monkeypatch.setattr(
                    kv_store, 'COMMIT_TIMEOUT_MS', LONG_TIMEOUT_MS
                )
            if fault == 'unreachable':
                return connect_kv_store(
                    HttpAddress(HOST, free_port()), create_counters()
                )
            server.faults = {fault: 1}
            return connect_kv_store(
                HttpAddress(HOST, server.port), create_counters()
            )

        return build

    def test_a_long_range_is_read_in_pages(
        self, store: Store, server: GridStore
    ) -> None:
        count = 2 * PAGE + 1
        for number in range(count):
            server.put(f'many/{number:04}', {})
        found = store.read_prefix('many/')
        assert len({entry.key for entry in found.entries}) == count

    def test_dropped_history_is_told_apart(
        self, store: Store, server: GridStore
    ) -> None:
        server.faults = {'compacted': 1}
        with pytest.raises(StoreCompactedError):
            next(store.watch('a/', 1))

    def test_a_late_write_does_not_pass_a_newer_one(
        self, store: Store, server: GridStore
    ) -> None:
        server.faults = {'late': 1}
        late = Transaction((Precondition('k', ABSENT),), (Put('k', b'late'),))
        with pytest.raises(StoreAnswerLostError):
            store.commit(late)
        newer = Transaction((Precondition('k', ABSENT),), (Put('k', b'newer'),))
        assert store.commit(newer).applied
        for batch in store.watch('k', 0):
            bodies = [each.entry.body for each in batch.changes if each.entry]
            assert bodies == [b'newer']
            break

    def test_a_late_refusal_of_a_write_is_a_refusal(
        self,
        broken: Callable[[str], Store],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """On a slow machine it was reported as a lost response."""
        serve = GridStore.serve

        def serve_late(server: GridStore, call: Call) -> Reply:
            time.sleep(DELAY_S)
            return serve(server, call)

        monkeypatch.setattr(GridStore, 'serve', serve_late)
        with pytest.raises(StoreUnreachableError):
            put_one(broken('down'), '/a', b'one', ABSENT)

    @pytest.mark.parametrize('status', [400, 403, 500])
    def test_strange_answers_are_errors(
        self, store: Store, status: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(
            GridStore, 'serve', lambda *unused: Reply(status, b'{"x":')
        )
        with pytest.raises(StoreError, match=str(status)):
            store.read('k')
