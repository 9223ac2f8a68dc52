"""Random pairs of faults under load; the seed is printed."""

import os
import random
import signal
import time
from collections.abc import Callable

import pytest

from standins.network import PLATFORM
from standins.promises import (
    Capacity,
    false_reports,
    incarnations_twice,
    overcommitted,
    overlapping,
    started_twice,
)
from standins.site import Site
from standins.tcp_proxy import LinkState
from tests.background_load import BackgroundLoad
from tests.cluster_helpers import start_site

SEEDS = [int(seed) for seed in os.environ.get('SEEDS', '1 2 12').split()]
CAPACITY = Capacity(64_000, 250_000)
ENTRIES = ('e-leith-0', 'e-leith-1', 'e-gorgie-0', 'e-gorgie-1')
FAULT_S = 4.0

Fault = Callable[[Site, random.Random], Callable[[], None]]


def kill_entry(site: Site, rng: random.Random) -> Callable[[], None]:
    """Kill an entry and replace it under the same name."""
    name = rng.choice(ENTRIES)
    site.processes[name].kill()
    return lambda: _restart(site, name)


def freeze_entry(site: Site, rng: random.Random) -> Callable[[], None]:
    """Suspend an entry and resume it."""
    name = rng.choice(ENTRIES)
    site.processes[name].signal(signal.SIGSTOP)
    return lambda: site.processes[name].signal(signal.SIGCONT)


def kill_worker(site: Site, rng: random.Random) -> Callable[[], None]:
    """Kill a worker and replace it under the same name."""
    name = rng.choice([name for name in site.processes if name[0] == 'w'])
    site.processes[name].kill()

    def replace() -> None:
        site.start_worker(name, site.domains[name])

    return replace


def store_down(site: Site, rng: random.Random) -> Callable[[], None]:
    """Take the store down, make it lose responses or delay it."""
    faults = rng.choice(
        ({'down': True}, {'lose_answers': 2}, {'delay_ms': 700})
    )
    site.set_faults(**faults)
    return site.set_faults


def cut_link(site: Site, rng: random.Random) -> Callable[[], None]:
    """Break one link in one direction, in one of three ways."""
    assert site.network is not None
    network = site.network
    source = rng.choice(('leith', 'gorgie'))
    other = 'gorgie' if source == 'leith' else 'leith'
    target = rng.choice((other, source, PLATFORM))
    state = rng.choice((LinkState.CUT, LinkState.SILENT, LinkState.ONE_WAY))
    network.set_link(source, target, state)
    return lambda: network.set_link(source, target, LinkState.UP)


def stale_conns(site: Site, rng: random.Random) -> Callable[[], None]:
    """Permanently stop responses on all open connections of a domain."""
    assert site.network is not None
    view = site.network.views[rng.choice(('leith', 'gorgie'))]
    for proxy in view.proxies.values():
        proxy.silence_open()
    return lambda: None


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    freeze_entry,
    kill_worker,
    store_down,
    cut_link,
    stale_conns,
)


def _restart(site: Site, name: str) -> None:
    site.start_entry(name, site.domains[name])


@pytest.mark.parametrize('seed', SEEDS)
def test_pair_of_faults_breaks_no_promise(seed: int) -> None:
    rng = random.Random(seed)
    first, second = rng.sample(FAULTS, 2)
    print(f'seed {seed}: {first.__name__} and {second.__name__}')
    site = start_site(workers=1, entries=2, partitioned=True)
    try:
        with BackgroundLoad(site, ENTRIES) as load:
            time.sleep(1)
            heal_first = first(site, rng)
            time.sleep(rng.uniform(0, FAULT_S))
            heal_second = second(site, rng)
            time.sleep(FAULT_S)
            heal_first()
            heal_second()
            time.sleep(2)
        record = site.record()
    finally:
        site.stop()
    assert not list(overcommitted(record, CAPACITY))
    assert not list(started_twice(record, ['last-build']))
    assert not list(overlapping(record, ['last-build']))
    assert not list(incarnations_twice(record))
    assert not list(false_reports(record, load.outcomes()))
    assert load.count('done', 'fit-preview') > 20
