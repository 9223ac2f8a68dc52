"""Looks and orders at workers that are slow, or that fail in between."""

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
from gentianpulley.errors import WorkerError, WorkerUnreachableError
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
from tests.scripted_server import (
    ConnectionEnd,
    Part,
    ScriptedServer,
    build_response,
    free_port,
    scripted_server,
)

LINKS = HttpWorkerClientFactory(TIMING.max_response_margin_ms)
START = StartOrder('w', RunKey(TaskId('a' * 16, 0, 0, 0), 1), '{}', '')
SENT = OrderContext(7, 5000)
LOOK = PollOrder(7, 0, 5000, 0)
LISTS = build_response(b'{"clock_ms":4,"born":1,"running":[],"ended":[]}')
REPLY = build_response(b'{"clock_ms":4,"born":1}')
LATE_S = 0.7
LATE_LIST_S = 1.3
LAPSE_S = 8.0


def _link(port: int) -> WorkerClient:
    return LINKS.connect(registration('w', address=f'{HOST}:{port}'))


def test_an_order_after_a_refused_look_has_a_known_outcome() -> None:
    """It failed as sent, with the look's pool: "Pool is closed"."""
    port = free_port()
    link = _link(port)
    with pytest.raises(WorkerUnreachableError):
        link.poll(LOOK)
    assert link.start(START, SENT).verdict is StartVerdict.NOT_SENT
    server = ScriptedServer(lambda _: (REPLY,), port)
    assert link.start(START, SENT).verdict is StartVerdict.ACCEPTED
    server.close()
    link.close()


def test_a_failed_look_breaks_no_order_under_way() -> None:
    def script(request: bytes) -> tuple[Part, ...]:
        return (ConnectionEnd.CLOSED,) if b'/hold' in request else (0.2, REPLY)

    with scripted_server(script) as server:
        link = _link(server.port)
        verdicts: list[StartVerdict] = []
        orders = threading.Thread(
            target=lambda: verdicts.extend(
                link.start(START, SENT).verdict for _ in range(4)
            )
        )
        orders.start()
        looks = 0
        while orders.is_alive():
            with pytest.raises(WorkerError):
                link.poll(LOOK)
            looks += 1
            time.sleep(0.01)
        assert len(verdicts) == 4
        assert set(verdicts) == {StartVerdict.ACCEPTED}
        assert server.conn_count == looks + 1
        link.close()


def test_a_list_that_comes_whole_but_late_is_used() -> None:
    parts = (0.3, LISTS[:30], 0.3, LISTS[30:])
    with scripted_server(lambda _: parts) as server:
        link = _link(server.port)
        assert link.poll(LOOK).clock_worker_ms == 4
        link.close()


def test_looks_wait_for_as_long_as_answers_have_taken() -> None:
    delays = iter((0.3, 0.6, LATE_S))
    with scripted_server(lambda _: (next(delays), LISTS)) as server:
        link = _link(server.port)
        for _ in range(3):
            assert link.poll(LOOK).clock_worker_ms == 4
        assert server.conn_count == 1
        link.close()


class SlowWorker(GridWorker):
    """Answers looks `late_s` after it wrote the list."""

    late_s: float = 0

    def serve(self, call: Call) -> Reply:
        """Answer one order."""
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


def _facts_of(worker: SlowWorker) -> WorkerRegistration:
    return registration(
        worker.worker_id, address=f'{HOST}:{worker.port}', incarnation_ms=0
    )


def _office(workers: list[SlowWorker]) -> SchedulerService:
    tenure = Leadership(now_ms() + 60_000, now_ms() + 60_000)
    scheduler = create_harness().scheduler
    office = SchedulerService(scheduler, tenure, create_counters(), EventLog())
    for worker in workers:
        known = _facts_of(worker)
        scheduler.update_worker(known, now_ms())
        session = open_session(
            office,
            scheduler.workers[worker.worker_id],
            LINKS.connect(known),
        )
        office.attach(worker.worker_id, session)
    return office


def _job(**work: Any) -> Job:
    spec = job(step(), submitted_ms=now_ms()).spec
    return create_job(
        replace(spec, payload=json.dumps(work)), is_inherited=False
    )


def test_a_done_task_whose_list_is_late_is_not_started_again(
    workers: list[SlowWorker],
) -> None:
    """The lists came, each too late, until the lease was taken for over."""
    office = _office(workers)
    wait_until(
        lambda: all(
            each.is_fenced for each in office.scheduler.workers.values()
        )
    )
    task = _job(ms=400)
    office.add_job(task)
    office.plan()
    wait_until(lambda: any(worker.started for worker in workers))
    for worker in workers:
        worker.late_s = LATE_LIST_S if worker.started else 0
    ends_s = time.monotonic() + LAPSE_S
    while not task.state.is_final and time.monotonic() < ends_s:
        office.plan()
        time.sleep(0.05)
    office.close()
    assert sum(len(worker.started) for worker in workers) == 1
    assert task.state.is_final
