"""Runs the HTTP front contract against the CherryPy front."""

from collections.abc import Iterator

import pytest

from gentianpulley.http_conn import HttpAddress
from standins.ports import HOST
from standins.site import Site
from tests.contracts.front_contract import FrontContract
from tests.cluster_helpers import start_site


@pytest.fixture(scope='module')
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1)
    yield running
    running.stop()


class TestHttpFront(FrontContract):
    """The front of a daemon in a small cluster."""

    @pytest.fixture
    def address(self, site: Site) -> HttpAddress:
        return HttpAddress(HOST, site.processes['e-leith-0'].port)
