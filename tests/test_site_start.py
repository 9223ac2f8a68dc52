"""How a stand-in site starts: its ports, its sources, and what it tells."""

from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from standins.site import Site, wait_for

SOURCES: Final = Path(__file__).resolve().parent.parent / 'src'


@pytest.fixture
def site() -> Iterator[Site]:
    running = Site()
    running.start_platform()
    yield running
    running.stop()


def test_processes_run_the_sources_of_this_tree(site: Site) -> None:
    """They ran what was installed: tests in a clone proved nothing of it."""
    site.daemon_module = 'tests.source_teller'
    told = site.start_entry('e', 'leith')
    wait_for(told.lines)
    assert told.lines()[0]['sources'] == str(SOURCES / 'gentianpulley')
