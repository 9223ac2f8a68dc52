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
"""Time in which the starts fill the link."""

STOPPED_S = 1.0
"""Bound on a cancellation: seen by a watch, and one stop is sent."""


@dataclass
class SharedSite:
    """A site whose leader has one link for all that it calls."""

    site: Site
    links: list[TcpProxy] = field(default_factory=list)

    def reach(self, port: int) -> int:
        """Return the port at which the link leads to another one."""
        link = TcpProxy(port)
        if self.links:
            link.share(self.links[0])
        else:
            link.narrow(LINK_BYTES_PER_S)
        self.links.append(link)
        return link.port

    def running(self) -> list[str]:
        """Return the ids of the jobs of all tasks that run."""
        return [
            task.partition('.')[0]
            for worker in self.site.workers.values()
            for task in worker.running()
        ]

    def store_job(self, job_id: str, count: int, payload_bytes: int) -> None:
        """Accept a job of tasks that last, each with such a payload."""
        payload = json.dumps({'ms': 60_000, 'pad': 'x' * payload_bytes})
        policy = QueuePolicy('queue', 'fitting', 0, 3, 2, 1000)
        steps = (StepSpec(count, Resources(1000, 100, 0), 60_000),)
        spec = JobSpec(job_id, payload, policy, steps, 1)
        self.site.store.put(job_key(job_id), encode_job(spec))


@pytest.fixture
def shared() -> Iterator[SharedSite]:
    """Return a site that is led over the link, without jobs."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    made = SharedSite(Site(store))
    store_port = made.reach(store.port)
    for number in range(WORKERS):
        worker = made.site.add_worker(f'w{number}')
        worker.register('ready', addr=f'{HOST}:{made.reach(worker.port)}')
    node = made.site.add_node(store_port, link_mbps=LINK_MBPS)
    wait_until(lambda: node.is_leading)
    yield made
    made.site.close()
    for link in made.links:
        link.close()


def test_a_stop_does_not_wait_behind_the_starts_on_the_link(
    shared: SharedSite,
) -> None:
    """Starts filled the link: stops, looks and renewals came seconds late."""
    shared.store_job(LONG_ID, 1, 0)
    wait_until(lambda: LONG_ID in shared.running())
    for number in range(BULK_JOBS):
        shared.store_job(f'{number:016x}', BULK_WIDTH, BULK_BYTES)
    time.sleep(BULK_S)
    began = len(shared.running())
    shared.site.store.put(cancellation_key(LONG_ID), b'')
    wait_until(lambda: LONG_ID not in shared.running(), STOPPED_S, 'a stop')
    time.sleep(BULK_S)
    carried = (len(shared.running()) - began) * BULK_BYTES
    assert carried > LINK_BYTES_PER_S * BULK_S / 3
