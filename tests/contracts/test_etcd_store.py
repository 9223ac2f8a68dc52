"""The etcd adapter meets the store contract."""

from collections.abc import Callable, Iterator

import pytest

from gentianpulley.etcd_store import connect_store
from gentianpulley.http_conn import HttpAddress
from gentianpulley.store import Store
from standins.platform import HOST, Platform
from standins.ports import free_port
from tests.contracts.store_contract import StoreContract


@pytest.fixture
def platform() -> Iterator[Platform]:
    server = Platform(HOST, 0)
    server.run_in_background()
    yield server
    server.shutdown()
    server.server_close()


class TestEtcdStore(StoreContract):
    """The adapter against the fake platform."""

    @pytest.fixture
    def store(self, platform: Platform) -> Store:
        return connect_store(HttpAddress(HOST, platform.port))

    @pytest.fixture
    def broken(self, platform: Platform) -> Callable[[str], Store]:
        def build(fault: str) -> Store:
            if fault == 'unreachable':
                return connect_store(HttpAddress(HOST, free_port()))
            platform.faults = {fault: 1}
            return connect_store(HttpAddress(HOST, platform.port))

        return build
