"""Every caller gets the complete answer to its own request."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from hashlib import sha256

import msgspec
import pytest

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import WorkerSilentError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.http_worker import HttpWorkerConnector
from gentianpulley.worker import TaskState, TaskStatus
from standins.http_server import Call, Reply, StandinServer
from standins.network import DomainView
from standins.ports import HOST
from standins.site import Site
from tests.contracts.worker_contract import command
from tests.cluster_helpers import RequestSpec, answer_bytes, start_site, submit

COMPLETE = b'the whole answer'
VALID = TaskStatus(
    'mine#1',
    TaskState.FINISHED,
    COMPLETE,
    sha256(COMPLETE).hexdigest(),
    len(COMPLETE),
)

MALFORMED = {
    'of another task': replace(VALID, task_id='other#1'),
    'cut short': replace(VALID, answer=COMPLETE[:5]),
    'changed': replace(VALID, answer=COMPLETE.upper()),
    'cut short with its length': replace(VALID, answer=COMPLETE[:5], length=5),
}


class _FixedWorker(StandinServer):
    status = VALID

    def serve(self, call: Call) -> Reply:
        """Return the status for every call."""
        return Reply(200, msgspec.json.encode(self.status))


@pytest.fixture
def fixed() -> Iterator[_FixedWorker]:
    server = _FixedWorker(HOST, 0)
    server.run_in_background()
    yield server
    server.shutdown()
    server.server_close()


@pytest.mark.proof('answer-check')
@pytest.mark.parametrize('name', MALFORMED)
def test_damaged_answer_is_never_passed_on(
    fixed: _FixedWorker, name: str
) -> None:
    conn = HttpWorkerConnector().connect(HttpAddress(HOST, fixed.port))
    assert conn.status('mine#1', 0).answer == COMPLETE
    fixed.status = MALFORMED[name]
    with pytest.raises(WorkerSilentError):
        conn.status('mine#1', 0)
    late = replace(command('mine#1'), start_before_ms=deadline_in(1000))
    with pytest.raises(WorkerSilentError):
        conn.start(late, 0)


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=2, entries=1, partitioned=True)
    yield running
    running.stop()


def silence_all(view: DomainView) -> None:
    """Permanently stop responses on all open connections of a domain."""
    for proxy in view.proxies.values():
        proxy.silence_open()


def test_silent_connections_cross_no_answers(site: Site) -> None:
    """All open connections stop responding under load; new ones work."""
    specs = [
        RequestSpec(
            f'p-{number}',
            task={'run_ms': 50 + 10 * (number % 20), 'echo': f'e{number}'},
            deadline_ms=15_000,
        )
        for number in range(60)
    ]

    def send(spec: RequestSpec) -> bool:
        entry = 'e-leith-0' if len(spec.key) % 2 else 'e-gorgie-0'
        answer = submit(site, entry, spec)
        body = answer_bytes(answer)
        echo = spec.task['echo'].encode()
        return body.startswith(spec.key.encode()) and echo + b':' in body

    assert site.network is not None
    with ThreadPoolExecutor(12) as pool:
        futs = [pool.submit(send, spec) for spec in specs]
        for _ in range(2):
            time.sleep(0.4)
            for view in site.network.views.values():
                silence_all(view)
        assert all(fut.result() for fut in futs)
