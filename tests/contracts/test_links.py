"""Direct and relayed links under the contract of links to workers."""

from collections.abc import Iterator

import pytest

from gentianpulley.cluster.link import WorkerFacts, WorkerLink
from gentianpulley.platform.worker_link import HttpWorkerLinks
from standins.grid_store import GridStore
from standins.relay_site import RelaySite
from tests.contracts.link_contract import LinkContract


class TestDirectLink(LinkContract):
    """Calls that go to the worker."""

    def open_link(self, known: WorkerFacts, store: GridStore) -> WorkerLink:
        return HttpWorkerLinks().connect(known)


class TestRelayedLink(LinkContract):
    """Calls that go through a relay over loopback."""

    @pytest.fixture(autouse=True)
    def relay(self, grid_store: GridStore) -> Iterator[RelaySite]:
        self._site = RelaySite(grid_store)
        yield self._site
        calls = self._site.served.count('relay_calls_served')
        self._site.close()
        assert calls, 'nothing went through the relay'

    def open_link(self, known: WorkerFacts, store: GridStore) -> WorkerLink:
        return self._site.connect(known)
