"""Polls of and orders to workers that are slow or fail in between."""

import json
import threading
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from gentianpulley.cluster.worker_protocol import (
    PollOrder,
    RunKey,
    OrderContext,
    StartOrder,
    StartVerdict,
    WorkerRegistration,
    WorkerClient,
)
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import (
    WorkerError,
    WorkerGoneError,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from gentianpulley.platform.worker_client import HttpWorkerClientFactory
from standins.grid_site import wait_until
from standins.grid_store import GridStore
from standins.grid_worker import HOST, GridWorker
from standins.http_server import Call, Reply
from tests.scheduling.harness import (
    TIMING,
    registration,
    create_harness,
    job,
    step,
)
from tests.task_runner import run
from tests.scripted_server import (
    ConnectionEnd,
    Part,
    ScriptedServer,
    build_response,
    free_port,
    scripted_server,
)

CLIENTS = HttpWorkerClientFactory(TIMING.max_response_margin_ms)
START = StartOrder('w', RunKey(TaskId('a' * 16, 0, 0, 0), 1), '{}', '')
CONTEXT = OrderContext(7, 5000)
POLL = PollOrder(7, 0, 5000, 0)
RUN_LISTS = build_response(b'{"clock_ms":4,"born":1,"running":[],"ended":[]}')
REPLY = build_response(b'{"clock_ms":4,"born":1}')
LATE_RESPONSE_S = 0.7
LATE_LIST_S = 1.3
LEASE_EXPIRY_S = 8.0


def _client(port: int) -> WorkerClient:
    return CLIENTS.connect(registration('w', address=f'{HOST}:{port}'))


def _close(client: WorkerClient) -> None:
    async def close() -> None:
        client.close()

    run(close())


def test_an_order_after_a_refused_look_has_a_known_outcome() -> None:
    """A start after a failed poll must not be reported as sent.

    It used to fail along with the connection pool of the poll ("Pool is
    closed"), and counted as sent.
    """
    port = free_port()
    client = _client(port)
    with pytest.raises(WorkerUnreachableError):
        run(client.poll(POLL))
    assert run(client.start(START, CONTEXT)).verdict is StartVerdict.NOT_SENT
    server = ScriptedServer(lambda _: (REPLY,), port)
    assert run(client.start(START, CONTEXT)).verdict is StartVerdict.ACCEPTED
    server.close()
    _close(client)


def test_a_failed_look_breaks_no_order_under_way() -> None:
    def script(request: bytes) -> tuple[Part, ...]:
        return (ConnectionEnd.CLOSED,) if b'/hold' in request else (0.2, REPLY)

    with scripted_server(script) as server:
        client = _client(server.port)
        verdicts: list[StartVerdict] = []
        orders = threading.Thread(
            target=lambda: verdicts.extend(
                run(client.start(START, CONTEXT)).verdict for _ in range(4)
            )
        )
        orders.start()
        poll_count = 0
        while orders.is_alive():
            with pytest.raises(WorkerError):
                run(client.poll(POLL))
            poll_count += 1
            time.sleep(0.01)
        assert len(verdicts) == 4
        assert set(verdicts) == {StartVerdict.ACCEPTED}
        assert server.conn_count == poll_count + 1
        _close(client)


def test_a_list_that_comes_whole_but_late_is_used() -> None:
    parts = (0.3, RUN_LISTS[:30], 0.3, RUN_LISTS[30:])
    with scripted_server(lambda _: parts) as server:
        client = _client(server.port)
        assert run(client.poll(POLL)).clock_worker_ms == 4
        _close(client)


def test_looks_wait_for_as_long_as_answers_have_taken() -> None:
    delays = iter((0.3, 0.6, LATE_RESPONSE_S))
    with scripted_server(lambda _: (next(delays), RUN_LISTS)) as server:
        client = _client(server.port)
        for _ in range(3):
            assert run(client.poll(POLL)).clock_worker_ms == 4
        assert server.conn_count == 1
        _close(client)


@pytest.mark.parametrize(
    ('response', 'error_type', 'verdict'),
    [
        (
            build_response(b'{"clock_ms":4,"born":2}', 421),
            WorkerReplacedError,
            StartVerdict.GONE,
        ),
        (
            RUN_LISTS.replace(b'"born":1', b'"born":2'),
            WorkerGoneError,
            StartVerdict.ACCEPTED,
        ),
    ],
)
def test_another_worker_is_told_from_another_life(
    response: bytes, error_type: type[WorkerGoneError], verdict: StartVerdict
) -> None:
    """The worker may start again under its id; another worker does not."""
    with scripted_server(lambda _: (response,)) as server:
        client = _client(server.port)
        with pytest.raises(WorkerGoneError) as raised:
            run(client.poll(POLL))
        assert raised.type is error_type
        assert run(client.start(START, CONTEXT)).verdict is verdict
        _close(client)


class SlowWorker(GridWorker):
    """Responds to polls `late_s` after it wrote the run lists."""

    late_s: float = 0

    def serve(self, call: Call) -> Reply:
        """Serve one order; delay the response to a poll."""
        reply = super().serve(call)
        if call.path.endswith('/hold'):
            time.sleep(self.late_s)
        return reply


@pytest.fixture
def workers() -> Iterator[list[SlowWorker]]:
    store = GridStore()
    running = [SlowWorker(store, worker_id) for worker_id in ('w1', 'w2')]
    for worker in running:
        worker.run_in_background()
    yield running
    for worker in running:
        worker.shutdown()
        worker.server_close()
    store.server_close()


def _registration_of(worker: SlowWorker) -> WorkerRegistration:
    return registration(
        worker.worker_id, address=f'{HOST}:{worker.port}', incarnation_ms=0
    )


def _service(workers: list[SlowWorker]) -> SchedulerService:
    leadership = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    scheduler = create_harness().scheduler
    service = SchedulerService(
        scheduler, leadership, create_counters(), EventLog()
    )
    for worker in workers:
        registered = _registration_of(worker)
        scheduler.update_worker(registered, now_ms())
        session = open_session(
            service,
            scheduler.workers[worker.worker_id],
            CLIENTS.connect(registered),
        )
        service.attach(worker.worker_id, session)
    return service


def _job(**work: Any) -> Job:
    spec = job(step(), submitted_ms=now_ms()).spec
    return create_job(
        replace(spec, payload=json.dumps(work)), is_inherited=False
    )


def test_a_done_task_whose_list_is_late_is_not_started_again(
    workers: list[SlowWorker],
) -> None:
    """Late run lists must not lead to a second start of a finished task.

    Each list used to arrive too late, until the lease was considered expired.
    """
    service = _service(workers)
    wait_until(
        lambda: all(
            each.is_fenced for each in service.scheduler.workers.values()
        )
    )
    task = _job(ms=400)
    service.add_job(task)
    service.plan()
    wait_until(lambda: any(worker.started for worker in workers))
    for worker in workers:
        worker.late_s = LATE_LIST_S if worker.started else 0
    deadline_s = time.monotonic() + LEASE_EXPIRY_S
    while not task.state.is_final and time.monotonic() < deadline_s:
        service.plan()
        time.sleep(0.05)
    service.close()
    assert sum(len(worker.started) for worker in workers) == 1
    assert task.state.is_final
