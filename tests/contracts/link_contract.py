"""What every link to a worker has to do, whatever way its calls take."""

import json
from abc import ABC, abstractmethod
from dataclasses import replace

import pytest

from gentianpulley.cluster.job_book import job_key
from gentianpulley.cluster.link import (
    EndCause,
    Listing,
    LookOrder,
    PaceOrder,
    RunKey,
    Sent,
    StartOrder,
    StartVerdict,
    StopOrder,
    WorkerFacts,
    WorkerLink,
)
from gentianpulley.errors import (
    WorkerFencedError,
    WorkerGoneError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.jobs.spec import TaskId, encode_job
from standins.grid_site import wait_until
from standins.grid_store import GridStore
from standins.grid_worker import HOST, GridWorker
from tests.scheduling.site import facts, job, step
from tests.scripted_server import free_port

SENT = Sent(7, 60_000)
LOOK = LookOrder(7, 0, 60_000, 0)
PAYLOAD = json.dumps({'ms': 60_000, 'note': 'x' * 200})
QUICK = json.dumps({'ms': 50, 'saves': 1, 'note': 'x' * 200})


def start_order(
    number: int = 0, payload: str = PAYLOAD, run: int = 1
) -> StartOrder:
    """Return a start of a task of the one job."""
    key = RunKey(TaskId('a' * 16, 0, 0, number), run)
    return StartOrder('w1', key, payload, '')


def store_job(store: GridStore, payload: str = PAYLOAD) -> None:
    """Store the job of all starts."""
    spec = replace(job(step(10)).spec, payload=payload)
    store.put(job_key(spec.job_id), encode_job(spec))


def worker_facts(worker: GridWorker, port: int = 0) -> WorkerFacts:
    """Return what a leader knows of a worker, whose life it does not tell."""
    address = f'{HOST}:{port or worker.port}'
    return facts(worker.worker_id, address=address, born_ms=0)


class LinkContract(ABC):
    """Looks and orders, and what their failures say."""

    @abstractmethod
    def open_link(self, known: WorkerFacts, store: GridStore) -> WorkerLink:
        """Return a link to a grid_worker."""

    def test_runs_are_started_listed_and_end(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        store_job(grid_store, QUICK)
        link = self.open_link(worker_facts(grid_worker), grid_store)
        assert link.look(LOOK).running == ()
        for number in range(3):
            reply = link.start(start_order(number, QUICK), SENT)
            assert reply.verdict is StartVerdict.ACCEPTED
            assert reply.clock_worker_ms
        ends = _ends(link)
        assert {row.number for row in ends.ended} == {1, 2, 3}
        assert {row.cause for row in ends.ended} == {EndCause.DONE}
        assert {row.checkpoint for row in ends.ended} == {'saved-1'}
        after = link.look(replace(LOOK, acked_number=3))
        assert after.ended == ()
        assert after.born_ms == ends.born_ms

    def test_the_whole_list_follows_what_runs(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        store_job(grid_store)
        link = self.open_link(worker_facts(grid_worker), grid_store)
        link.look(LOOK)
        for number in range(4):
            link.start(start_order(number), SENT)
            assert _ordinals(link.look(LOOK)) == set(range(number + 1))
        link.stop(StopOrder('w1', start_order(1).key), SENT)
        _ends(link, 1)
        assert _ordinals(link.look(LOOK)) == {0, 2, 3}
        link.pace(PaceOrder('w1', start_order(2).key, 20), SENT)
        rows = {row.key: row for row in link.look(LOOK).running}
        assert rows[start_order(2).key].progress_percent == 100
        assert rows[start_order(2).key].gauge == 10

    def test_a_lower_token_is_fenced(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        store_job(grid_store)
        link = self.open_link(worker_facts(grid_worker), grid_store)
        link.look(replace(LOOK, token=9))
        with pytest.raises(WorkerFencedError):
            link.look(LOOK)
        reply = link.start(start_order(), SENT)
        assert reply.verdict is StartVerdict.FENCED
        with pytest.raises(WorkerFencedError):
            link.stop(StopOrder('w1', start_order().key), SENT)

    def test_another_worker_at_the_address_is_gone(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        known = replace(worker_facts(grid_worker), worker_id='w0')
        link = self.open_link(known, grid_store)
        with pytest.raises(WorkerGoneError):
            link.look(LOOK)
        reply = link.start(start_order(payload='{}'), SENT)
        assert reply.verdict is StartVerdict.GONE
        assert not grid_worker.started

    def test_another_life_at_the_address_is_gone(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        link = self.open_link(worker_facts(grid_worker), grid_store)
        born_ms = link.look(LOOK).born_ms
        link = self.open_link(
            replace(worker_facts(grid_worker), born_ms=born_ms), grid_store
        )
        grid_worker.crash()
        with pytest.raises(WorkerGoneError):
            link.look(LOOK)

    def test_a_barred_run_does_not_start(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        link = self.open_link(worker_facts(grid_worker), grid_store)
        link.stop(StopOrder('w1', start_order().key), SENT)
        reply = link.start(start_order(payload='{}'), SENT)
        assert reply.verdict is StartVerdict.OUTDATED

    def test_nothing_is_sent_where_nobody_listens(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        link = self.open_link(
            worker_facts(grid_worker, free_port()), grid_store
        )
        with pytest.raises(WorkerUnreachableError):
            link.look(LOOK)
        reply = link.start(start_order(payload='{}'), SENT)
        assert reply.verdict is StartVerdict.NOT_SENT

    def test_a_start_without_an_answer_is_lost_and_then_known(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        store_job(grid_store)
        link = self.open_link(worker_facts(grid_worker), grid_store)
        grid_worker.faults = {'lose_orders': 1}
        reply = link.start(start_order(), SENT)
        assert reply.verdict is StartVerdict.LOST
        again = link.start(start_order(), SENT)
        assert again.verdict is StartVerdict.ACCEPTED
        assert len(grid_worker.started) == 1

    def test_a_silent_worker_is_silent(
        self, grid_worker: GridWorker, grid_store: GridStore
    ) -> None:
        link = self.open_link(worker_facts(grid_worker), grid_store)
        grid_worker.faults = {'silent': 1}
        with pytest.raises(WorkerSilentError):
            link.look(LOOK)


def _ends(link: WorkerLink, count: int = 3) -> Listing:
    """Look until so many ends are listed."""
    listings = [link.look(LOOK)]

    def is_listed() -> bool:
        listings.append(link.look(LOOK))
        return len(listings[-1].ended) >= count

    wait_until(is_listed)
    return listings[-1]


def _ordinals(listing: Listing) -> set[int]:
    return {row.key.task_id.ordinal for row in listing.running}
