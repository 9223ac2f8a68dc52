"""No instance gets more work than its capacity."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianpulley.reservations import WorkerReservations
from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.task import TaskPhase
from gentianpulley.worker import TaskState, TaskSummary, WorkerDescription
from gentianpulley.worker_reconciler import WorkerReconciler
from standins.promises import Capacity, false_reports, overcommitted
from standins.site import Site, wait_for
from standins.tcp_proxy import LinkState, TcpProxy
from standins.worker import Worker
from tests.owner_harness import OwnerHarness, order
from tests.cluster_helpers import RequestSpec, start_site, list_starts, submit

OTHERS = {
    'e-leith-0': 'e-leith-1',
    'e-leith-1': 'e-leith-0',
    'e-gorgie-0': 'e-gorgie-1',
    'e-gorgie-1': 'e-gorgie-0',
}
SMALL = Capacity(processors_milli=6000, memory_mib=6000)


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(
        workers=1, entries=2, processors_milli=6000, memory_mib=6000
    )
    yield running
    running.stop()


def burst(site: Site, entry: str, count: int) -> dict[str, str]:
    """Send many previews at once and return their outcomes."""
    specs = [
        RequestSpec(
            f'b-{entry}-{number}',
            task={'run_ms': 150},
            processors_milli=2500,
            deadline_ms=6000,
        )
        for number in range(count)
    ]
    with ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(lambda spec: submit(site, entry, spec), specs))
    return {answer['request_key']: answer['outcome'] for answer in answers}


@pytest.mark.proof('ledger-capacity')
def test_burst_never_overcommits(site: Site) -> None:
    outcomes = burst(site, 'e-leith-0', 24)
    assert not list(overcommitted(site.record(), SMALL))
    assert not list(false_reports(site.record(), outcomes))
    assert 'done' in outcomes.values()


@pytest.mark.proof('takeover-adoption')
def test_take_over_counts_what_runs(site: Site) -> None:
    """The owner dies while its worker is full; the successor counts that."""
    fill = RequestSpec('fill', 'scaling-run', {'run_ms': 30_000}, 5000, 5000)
    submit(site, 'e-leith-0', fill, wait_ms=0)
    wait_for(lambda: list_starts(site, 'fill'))
    worker = list_starts(site, 'fill')[0]['worker']
    owner = owner_of(site, worker)
    other = OTHERS[owner]
    site.processes[owner].kill()
    wait_for(lambda: owner_of(site, worker) == other, 20)
    burst(site, other, 6)
    assert not list(overcommitted(site.record(), SMALL))


def owner_of(site: Site, worker: str) -> str:
    """Return the entry that owns a worker, or an empty string."""
    for name in site.processes:
        if name.startswith('e-') and site.is_running(name):
            status = site.call(name, 'GET', '/v1/status')
            owned = {row['name'] for row in status['workers'] if row['is_open']}
            if worker in owned:
                return name
    return ''


@pytest.mark.proof('unknown-keeps-share')
def test_unknown_start_keeps_its_share(
    harness: OwnerHarness, worker: Worker, link: TcpProxy
) -> None:
    """A start with a lost response keeps its capacity until a list shows it."""
    owned = harness.add_worker(link.port, 1)
    reconciler = harness.reconciler(owned)
    link.switch(LinkState.ONE_WAY)
    payload = b'{"run_ms": 60000}'
    lost = harness.runner.run(order('lost#1', 3000, payload), 10)
    assert lost.phase is TaskPhase.RUNNING
    link.switch(LinkState.UP)
    assert harness.runner.run(order('next#1', 3000), 10).phase is (
        TaskPhase.NOT_RUN
    )
    reconciler.step()
    assert owned.view() is not None
    listed = owned.renew(())
    assert [task.task_id for task in listed.tasks] == ['lost#1']
    assert harness.runner.run(order('fits#1', 1000), 500).phase is (
        TaskPhase.FINISHED
    )


@pytest.mark.proof('silent-is-unknown')
def test_lost_start_answer_is_never_not_run(
    harness: OwnerHarness, worker: Worker, link: TcpProxy
) -> None:
    """`NOT_RUN` is reported only for work that certainly did not run."""
    reconciler = harness.reconciler(harness.add_worker(link.port, 1))
    link.switch(LinkState.ONE_WAY)
    sent = order('lost#1', payload=b'{"run_ms": 3500}')
    report = harness.runner.run(sent, 10)
    assert report.phase is TaskPhase.RUNNING
    link.switch(LinkState.UP)
    wait_for(lambda: _stepped(reconciler, harness, sent.task_id), 8)
    report = harness.runner.await_answer('lost#1', 'worker-1', 5000)
    assert report.phase is TaskPhase.FINISHED


def test_start_that_never_arrived_is_proved_not_run(
    harness: OwnerHarness, worker: Worker, link: TcpProxy
) -> None:
    reconciler = harness.reconciler(harness.add_worker(link.port, 1))
    link.switch(LinkState.SILENT)
    harness.runner.run(order('gone#1', 3000), 10)
    link.switch(LinkState.UP)
    reconciler.step()
    assert harness.runner.run(order('next#1', 3000), 10).phase is (
        TaskPhase.NOT_RUN
    )
    time.sleep(2.6)
    reconciler.step()
    assert harness.runner.run(order('later#1', 3000), 500).phase is (
        TaskPhase.FINISHED
    )
    assert harness.fleet.table.find('gone#1') is None


def _stepped(
    reconciler: WorkerReconciler, harness: OwnerHarness, task_id: str
) -> bool:
    reconciler.step()
    entry = harness.fleet.table.find(task_id)
    return entry is not None and entry.is_confirmed


NEED = st.builds(
    Resources,
    st.integers(1, 5),
    st.integers(1, 5),
    st.integers(0, 2),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('admit', 'adopt', 'release')),
        st.integers(0, 6),
        NEED,
    ),
    max_size=40,
)


@given(STEPS)
def test_ledger_admits_only_what_fits(
    steps: list[tuple[str, int, Resources]],
) -> None:
    """An admission never exceeds the capacity, in any order of steps."""
    capacity = Resources(10, 10, 3)
    reservations = WorkerReservations(
        WorkerDescription('w', 'b', 'd', 'r', capacity, 4, 64)
    )
    rows: dict[str, Resources] = {}
    for action, number, need in steps:
        task_id = f't{number}'
        if action == 'release':
            reservations.release(task_id)
            rows.pop(task_id, None)
        elif action == 'adopt':
            task = TaskSummary(task_id, TaskState.RUNNING, 'c', need)
            reservations.add_running((task,))
            rows.setdefault(task_id, need)
        elif reservations.admit(task_id, need) and task_id not in rows:
            rows[task_id] = need
            used = _sum(rows)
            assert used.fits_in(capacity)
            assert len(rows) <= 4
        assert reservations.free == capacity.minus(_sum(rows))


def _sum(rows: dict[str, Resources]) -> Resources:
    total = NO_RESOURCES
    for need in rows.values():
        total = total.plus(need)
    return total
