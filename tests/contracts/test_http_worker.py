"""Runs the worker connection contract against the HTTP adapter."""

from collections.abc import Callable, Iterator

import pytest

from gentianpulley.http_conn import HttpAddress
from gentianpulley.http_worker import HttpWorkerConnector
from gentianpulley.worker import WorkerConn
from standins.ports import HOST, free_port
from standins.tcp_proxy import LinkState, TcpProxy
from standins.worker import Worker, WorkerSettings
from tests.contracts.worker_contract import WorkerContract

STATES = {'silent': LinkState.SILENT, 'answer lost': LinkState.ONE_WAY}


@pytest.fixture
def running() -> Iterator[Worker]:
    server = Worker(WorkerSettings('worker-1', 'leith', 'rack-1', 0))
    server.run_in_background()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def proxy(running: Worker) -> Iterator[TcpProxy]:
    link = TcpProxy(running.port)
    yield link
    link.close()


class TestHttpWorker(WorkerContract):
    """The adapter against the fake worker."""

    @pytest.fixture
    def worker(self, running: Worker) -> WorkerConn:
        return _connect(running.port)

    @pytest.fixture
    def broken(self, proxy: TcpProxy) -> Callable[[str], WorkerConn]:
        def build(fault: str) -> WorkerConn:
            if fault == 'unreachable':
                return _connect(free_port())
            conn = _connect(proxy.port)
            conn.describe()
            if fault in STATES:
                proxy.switch(STATES[fault])
            else:
                proxy.silence_open()
            return conn

        return build


def _connect(port: int) -> WorkerConn:
    return HttpWorkerConnector().connect(HttpAddress(HOST, port))
