"""An accepted cfg never reverts on any instance, new or old."""

import time
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianpulley.cfg_folder import load_cfg_folder
from gentianpulley.document import Document, DocumentKind, ActiveDocuments
from gentianpulley.document_push import push_cfg
from gentianpulley.logs import EventLog
from standins.network import PLATFORM
from standins.site import Site, wait_for
from standins.tcp_proxy import LinkState
from tests.cluster_helpers import CFG_FOLDER, start_site, connect_to_store

BODIES = ('{}', '{"teams": {"t": {}}}', 'damaged')


@pytest.mark.proof('revision-order')
@given(
    st.lists(st.tuples(st.integers(1, 9), st.sampled_from(BODIES)), max_size=12)
)
def test_revisions_only_grow(arrivals: list[tuple[int, str]]) -> None:
    """Documents arrive late, twice, out of order or corrupt."""
    documents = ActiveDocuments(EventLog())
    highest = 0
    for revision, body in arrivals:
        documents.update(Document(DocumentKind.CFG, revision, 'c', body))
        document = documents.document(DocumentKind.CFG)
        active_revision = document.revision if document else 0
        assert active_revision >= highest
        highest = active_revision
        if body != 'damaged':
            assert active_revision >= revision


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=1, partitioned=True)
    yield running
    running.stop()


def revision_of(site: Site, entry: str) -> int:
    """Return the active cfg revision of an entry instance."""
    peer = site.call(entry, 'GET', '/v1/status')['peer']
    return int(peer['cfg_revision'])


@pytest.mark.proof('informed')
def test_new_instance_never_serves_an_older_cfg(site: Site) -> None:
    """It gets responses at once from a stale peer but late from the store."""
    assert site.network is not None
    site.network.set_link('leith', PLATFORM, LinkState.SILENT)
    site.network.set_link('leith', 'gorgie', LinkState.SILENT)
    site.network.set_link('gorgie', 'leith', LinkState.SILENT)
    time.sleep(1)
    push_cfg(connect_to_store(site), load_cfg_folder(CFG_FOLDER), None)
    wait_for(lambda: revision_of(site, 'e-gorgie-0') == 2)
    assert revision_of(site, 'e-leith-0') == 1
    site.set_faults(delay_ms=1200)
    site.network.set_link('gorgie', 'leith', LinkState.UP)
    site.processes['e-gorgie-0'].kill()
    site.start_entry('e-gorgie-1', 'gorgie')
    wait_for(lambda: site.answers('e-gorgie-1', '/readyz'))
    assert revision_of(site, 'e-gorgie-1') == 2


def test_restarted_site_starts_from_the_newest(site: Site) -> None:
    push_cfg(connect_to_store(site), load_cfg_folder(CFG_FOLDER), None)
    for name in ('e-leith-0', 'e-gorgie-0'):
        site.processes[name].kill()
        site.start_entry(name, site.domains[name])
    for entry in ('e-leith-0', 'e-gorgie-0'):
        wait_for(lambda: site.answers(entry, '/readyz'))
        assert revision_of(site, entry) == 2
