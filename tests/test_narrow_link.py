"""An instance whose link to the store is narrow, with many stored jobs."""

import json
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from gentianpulley.cluster.job_storage import (
    cancellation_key,
    job_key,
    waiting_key,
)
from gentianpulley.cluster.job_watches import MAX_INDIVIDUAL_READS
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec, encode_job
from gentianpulley.platform.daemon import PlatformDaemon
from gentianpulley.platform.kv_store import connect_kv_store
from gentianpulley.resources import Resources
from gentianpulley.store import Store
from standins.grid_site import Site, cfg_document, wait_until
from standins.grid_store import HOST, GridStore
from standins.tcp_proxy import LinkState, TcpProxy
from tests.leader_bench import TIMING, create_leader

NARROW_BYTES_PER_S = 250_000
CROWDED_BYTES_PER_S = 100_000
NARROWER_BYTES_PER_S = 100_000
TERM_MS = 60_000
STORED_JOBS = 150
STORED_BYTES = 9000
MAX_CANCEL_S = 3
READ_STARTED_S = 0.5
MAX_NEW_JOB_S = 3
NEW_JOBS = 2 * MAX_INDIVIDUAL_READS
RUNNING_ID = '00000000000000a1'
NEW_ID = '00000000000000a2'
WORKER_SERVICE = 'fitting'


@dataclass(frozen=True)
class NarrowLinkCluster:
    """A cluster of one worker, and the link of its instances to the store."""

    site: Site
    link: TcpProxy

    def add_node(self) -> PlatformDaemon:
        """Start an entry instance behind the link."""
        return self.site.add_node(self.link.port)

    def running(self) -> list[str]:
        """Return the ids of the jobs whose tasks run."""
        tasks = self.site.workers['w1'].running()
        return [task.partition('.')[0] for task in tasks]


@pytest.fixture
def narrow() -> Iterator[NarrowLinkCluster]:
    """Return a cluster with many stored jobs that no worker can run."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    for number in range(STORED_JOBS):
        _store_job(store, f'{number:016x}', 'elsewhere', 'x' * STORED_BYTES)
    site = Site(store)
    site.add_worker('w1')
    link = TcpProxy(store.port)
    yield NarrowLinkCluster(site, link)
    site.close()
    link.close()


def _store_job(
    store: GridStore, job_id: str, service: str, payload: str
) -> None:
    policy = QueuePolicy('queue', service, 0, 3, 2, 1000)
    steps = (StepSpec(1, Resources(4000, 100, 0), 1000),)
    spec = JobSpec(job_id, payload, policy, steps, 1)
    store.put(waiting_key(policy.queue, job_id), b'')
    store.put(job_key(job_id), encode_job(spec))


def _store_long_job(store: GridStore, job_id: str) -> None:
    _store_job(store, job_id, WORKER_SERVICE, json.dumps({'ms': 60_000}))


def _drop_history(narrow: NarrowLinkCluster, *, is_whole: bool) -> None:
    """Drop the history; if many jobs are new, all jobs are read then."""
    store = narrow.site.store
    if is_whole:
        narrow.link.switch(LinkState.CUT)
        for number in range(NEW_JOBS):
            _store_job(store, f'f{number:015x}', 'elsewhere', '')
        store.forget_history()
        narrow.link.switch(LinkState.UP)
    store.forget_history()


def test_a_new_job_is_learned_without_a_read_of_all_jobs(
    narrow: NarrowLinkCluster,
) -> None:
    """A new job used to wait for a read of all jobs, though only it was new."""
    store = narrow.site.store
    instance = narrow.add_node()
    wait_until(lambda: instance.is_leading)
    narrow.link.narrow(NARROW_BYTES_PER_S)
    store.forget_history()
    _store_long_job(store, NEW_ID)
    store.forget_history()
    wait_until(
        lambda: narrow.running() == [NEW_ID],
        MAX_NEW_JOB_S,
        'the job to be read',
    )


@pytest.mark.parametrize('is_whole', [False, True])
def test_a_leader_learns_of_jobs_again_after_the_history_was_dropped(
    narrow: NarrowLinkCluster, *, is_whole: bool
) -> None:
    store = narrow.site.store
    instance = narrow.add_node()
    wait_until(lambda: instance.is_leading)
    _store_long_job(store, RUNNING_ID)
    wait_until(lambda: narrow.running() == [RUNNING_ID])
    narrow.link.narrow(NARROW_BYTES_PER_S)
    _drop_history(narrow, is_whole=is_whole)
    store.put(cancellation_key(RUNNING_ID), b'')
    _store_long_job(store, NEW_ID)
    store.forget_history()
    wait_until(lambda: narrow.running() == [NEW_ID], 12, 'the jobs to be read')
    assert instance.is_leading


@pytest.mark.parametrize('is_read_before', [True, False])
def test_a_cancellation_is_learned_while_all_jobs_are_read_again(
    narrow: NarrowLinkCluster, *, is_read_before: bool
) -> None:
    """Here reading all jobs takes longer than a cancellation may take."""
    store = narrow.site.store
    instance = narrow.add_node()
    wait_until(lambda: instance.is_leading)
    _store_long_job(store, RUNNING_ID)
    wait_until(lambda: narrow.running() == [RUNNING_ID])
    narrow.link.narrow(CROWDED_BYTES_PER_S)
    _drop_history(narrow, is_whole=True)
    if is_read_before:
        threading.Event().wait(READ_STARTED_S)
    store.put(cancellation_key(RUNNING_ID), b'')
    wait_until(lambda: not narrow.running(), MAX_CANCEL_S, 'the job is stopped')


@pytest.mark.parametrize('is_whole', [False, True])
def test_a_job_that_is_read_after_its_cancellation_never_runs(
    narrow: NarrowLinkCluster, *, is_whole: bool
) -> None:
    store = narrow.site.store
    instance = narrow.add_node()
    wait_until(lambda: instance.is_leading)
    narrow.link.narrow(NARROW_BYTES_PER_S)
    store.put(cancellation_key(RUNNING_ID), b'')
    _drop_history(narrow, is_whole=is_whole)
    threading.Event().wait(READ_STARTED_S)
    _store_long_job(store, RUNNING_ID)
    _store_long_job(store, NEW_ID)
    wait_until(lambda: narrow.running() == [NEW_ID], 12, 'the jobs to be read')
    started = narrow.site.workers['w1'].started
    assert {name.partition('.')[0] for name, _ in started} == {NEW_ID}


def test_an_instance_behind_a_narrow_link_takes_over(
    narrow: NarrowLinkCluster,
) -> None:
    _store_long_job(narrow.site.store, NEW_ID)
    narrow.link.narrow(NARROW_BYTES_PER_S)
    instance = narrow.add_node()
    wait_until(lambda: narrow.running() == [NEW_ID], 12, 'the job runs')
    # A job may start while the last renewal during loading is in flight.
    wait_until(lambda: instance.is_leading, 1, 'the instance leads')
    assert len(narrow.site.workers['w1'].started) == 1


def _client(port: int) -> Store:
    return connect_kv_store(HttpAddress(HOST, port), create_counters())


def _long_leadership() -> Leadership:
    until_ms = deadline_in(TERM_MS)
    return Leadership(until_ms, until_ms)


def test_what_runs_outlasts_a_loading_longer_than_its_lease(
    narrow: NarrowLinkCluster,
) -> None:
    """Leases were renewed only after loading, and expired meanwhile."""
    store = narrow.site.store
    _store_long_job(store, RUNNING_ID)
    first = create_leader(store, _client(store.port), _long_leadership())
    first.open()
    wait_until(lambda: narrow.running() == [RUNNING_ID])
    first.close()
    narrow.link.narrow(NARROWER_BYTES_PER_S)
    second = create_leader(store, _client(narrow.link.port), _long_leadership())
    started_s = time.monotonic()
    second.open()
    took_ms = (time.monotonic() - started_s) * MS_PER_SECOND
    second.close()
    assert took_ms > TIMING.lease_ms
    assert narrow.running() == [RUNNING_ID]
    assert len(narrow.site.workers['w1'].started) == 1
