"""A leader whose calls to the store and to all workers share a narrow link."""

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from gentianpulley.cluster.job_storage import cancellation_key, job_key
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec, encode_job
from gentianpulley.resources import Resources
from standins.grid_site import Site, cfg_document, wait_until
from standins.grid_store import HOST, GridStore
from standins.tcp_proxy import TcpProxy

LINK_MBPS = 0.5
LINK_BYTES_PER_S = 62_500
WORKERS = 24
BULK_JOBS = 20
BULK_WIDTH = 20
BULK_BYTES = 4000
LONG_ID = '00000000000000a1'
BULK_S = 2.0
"""Time for which the starts fill the link."""

MAX_CANCEL_S = 1.0
"""Limit of a cancellation: a watch reports it and one stop is sent."""


@dataclass
class SharedLinkCluster:
    """A cluster whose leader has one link for all its calls."""

    site: Site
    links: list[TcpProxy] = field(default_factory=list)

    def forward(self, port: int) -> int:
        """Return a port from which the link forwards to another port."""
        link = TcpProxy(port)
        if self.links:
            link.share(self.links[0])
        else:
            link.narrow(LINK_BYTES_PER_S)
        self.links.append(link)
        return link.port

    def running(self) -> list[str]:
        """Return the job id of each running task."""
        return [
            task.partition('.')[0]
            for worker in self.site.workers.values()
            for task in worker.running()
        ]

    def store_job(self, job_id: str, count: int, payload_bytes: int) -> None:
        """Store a job of long tasks, each with a payload of this size."""
        payload = json.dumps({'ms': 60_000, 'pad': 'x' * payload_bytes})
        policy = QueuePolicy('queue', 'fitting', 0, 3, 2, 1000)
        steps = (StepSpec(count, Resources(1000, 100, 0), 60_000),)
        spec = JobSpec(job_id, payload, policy, steps, 1)
        self.site.store.put(job_key(job_id), encode_job(spec))


@pytest.fixture
def shared() -> Iterator[SharedLinkCluster]:
    """Return a cluster without jobs whose leader uses the link."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    cluster = SharedLinkCluster(Site(store))
    store_port = cluster.forward(store.port)
    for number in range(WORKERS):
        worker = cluster.site.add_worker(f'w{number}')
        worker.register('ready', addr=f'{HOST}:{cluster.forward(worker.port)}')
    instance = cluster.site.add_node(store_port, link_mbps=LINK_MBPS)
    wait_until(lambda: instance.is_leading)
    yield cluster
    cluster.site.close()
    for link in cluster.links:
        link.close()


def test_a_stop_does_not_wait_behind_the_starts_on_the_link(
    shared: SharedLinkCluster,
) -> None:
    """Starts filled the link: stops, polls and renewals came seconds late."""
    shared.store_job(LONG_ID, 1, 0)
    wait_until(lambda: LONG_ID in shared.running())
    for number in range(BULK_JOBS):
        shared.store_job(f'{number:016x}', BULK_WIDTH, BULK_BYTES)
    time.sleep(BULK_S)
    started_before = len(shared.running())
    shared.site.store.put(cancellation_key(LONG_ID), b'')
    wait_until(lambda: LONG_ID not in shared.running(), MAX_CANCEL_S, 'a stop')
    time.sleep(BULK_S)
    transferred_bytes = (len(shared.running()) - started_before) * BULK_BYTES
    assert transferred_bytes > LINK_BYTES_PER_S * BULK_S / 3
