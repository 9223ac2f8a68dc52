"""Fixtures of the proofs."""

from collections.abc import Iterator

import pytest

from standins.platform import HOST, Platform
from standins.tcp_proxy import TcpProxy
from standins.worker import Worker
from tests.owner_harness import OwnerHarness, build_owner, start_worker


@pytest.fixture
def platform() -> Iterator[Platform]:
    server = Platform(HOST, 0)
    server.run_in_background()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def worker() -> Iterator[Worker]:
    server = start_worker(processors_milli=4000)
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def link(worker: Worker) -> Iterator[TcpProxy]:
    proxy = TcpProxy(worker.port)
    yield proxy
    proxy.close()


@pytest.fixture
def harness(platform: Platform) -> Iterator[OwnerHarness]:
    owner = build_owner(platform)
    yield owner
    owner.writer.stop()
