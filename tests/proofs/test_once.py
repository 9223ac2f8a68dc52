"""Work that must run once never runs twice, despite deaths and races.

Instances and workers are killed or suspended, or act concurrently.
"""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import pytest

from gentianpulley.cfg import WorkClass
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import deadline_in
from gentianpulley.document import ActiveDocuments
from gentianpulley.job import (
    JobState,
    Placement,
    StoredJob,
    new_job,
    order_of,
    failure_result,
)
from gentianpulley.job_store import JobStore
from gentianpulley.logs import EventLog
from gentianpulley.record_gc import RecordGarbageCollector
from gentianpulley.request import Request
from gentianpulley.resources import Resources
from gentianpulley.result_code import OK
from gentianpulley.task import TaskOrder, TaskPhase
from gentianpulley.worker import Renewal, TaskList
from standins.platform import Platform
from standins.promises import (
    false_reports,
    incarnations_twice,
    overlapping,
    started_twice,
)
from standins.site import Site, wait_for
from standins.tcp_proxy import LinkState, TcpProxy
from standins.worker import Worker
from tests.owner_harness import OwnerHarness, build_owner, order
from tests.cluster_helpers import (
    RequestSpec,
    start_site,
    list_starts,
    status,
    submit,
)

ENTRIES = ('e-leith-0', 'e-leith-1', 'e-gorgie-0', 'e-gorgie-1')
BUILD = WorkClass(urgent=False, idempotent=False)
RUN = WorkClass(urgent=False, idempotent=True, resumable=True)


@pytest.fixture
def site() -> Iterator[Site]:
    running = start_site(workers=1, entries=2)
    yield running
    running.stop()


def new_stored(
    harness: OwnerHarness,
    key: str,
    work_class: WorkClass,
    keep_ms: int = 60_000,
) -> StoredJob:
    """Store the record of a new job and return it."""
    req = Request(
        request_key=key,
        work_class='last-build',
        team='clinic',
        need=Resources(1000, 100),
        deadline_ms=deadline_in(20_000),
        idempotent=work_class.idempotent,
        payload=b'{"run_ms": 300}',
    )
    job = new_job(req, work_class, 'dead.boot', deadline_in(keep_ms))
    return harness.jobs.create(job, req.payload, deadline_in(2000)).stored


def recorded_order(stored: StoredJob) -> TaskOrder:
    """Return the order for a queued job."""
    return order_of(stored, b'{"run_ms": 300}')


def busy_owners(site: Site) -> set[str]:
    """Return the entries that own a worker with a running task."""
    return {
        name
        for name in ENTRIES
        if site.is_running(name)
        for row in site.call(name, 'GET', '/v1/status')['workers']
        if row['tasks']
    }


def check_record(site: Site) -> None:
    """Check that the workers' record has no forbidden run."""
    record = site.record()
    assert not list(started_twice(record, ['last-build']))
    assert not list(overlapping(record, ['last-build', 'scaling-run']))
    assert not list(incarnations_twice(record))


@pytest.mark.proof('create-cas')
def test_same_key_at_every_entry_runs_once(site: Site) -> None:
    spec = RequestSpec('all', 'last-build', {'run_ms': 600})
    with ThreadPoolExecutor(len(ENTRIES)) as pool:
        answers = list(
            pool.map(lambda entry: submit(site, entry, spec), ENTRIES)
        )
    assert {answer['answer'] for answer in answers} == {answers[0]['answer']}
    check_record(site)


@pytest.mark.proof('adoption-reads-list')
def test_killed_owner_is_succeeded_without_a_second_start(
    site: Site,
) -> None:
    submit(
        site,
        'e-gorgie-0',
        RequestSpec('b', 'last-build', {'run_ms': 12_000}),
        0,
    )
    wait_for(lambda: busy_owners(site))
    time.sleep(1)
    for owner in busy_owners(site):
        site.processes[owner].kill()
    alive = [name for name in ENTRIES if site.is_running(name)]
    answer = status(site, alive[0], 'b', wait_ms=25_000)
    assert answer['outcome'] == 'done'
    check_record(site)


@pytest.mark.proof('succession')
def test_killed_coordinator_is_succeeded(site: Site) -> None:
    """A queued job survives the instance that accepted it."""
    fill = [
        RequestSpec(
            f'fill-{number}', 'scaling-run', {'run_ms': 4000}, 60_000, 1000
        )
        for number in range(2)
    ]
    for spec in fill:
        submit(site, 'e-leith-0', spec, 0)
    wait_for(lambda: len(site.record()) == 2)
    queued = RequestSpec('queued', 'last-build', {'run_ms': 100}, 60_000, 1000)
    answer = submit(site, 'e-gorgie-1', queued, 0)
    assert answer['outcome'] == 'pending'
    site.processes['e-gorgie-1'].kill()
    answer = status(site, 'e-leith-0', 'queued', wait_ms=25_000)
    assert answer['outcome'] == 'done'
    check_record(site)


def test_frozen_instance_comes_back_harmless(site: Site) -> None:
    """An instance with work in flight freezes past its lease and resumes."""
    specs = [
        RequestSpec(f'{work_class}-{number}', work_class, {'run_ms': 2500})
        for number in range(3)
        for work_class in ('last-build', 'scaling-run')
    ]
    for spec in specs:
        submit(site, 'e-leith-0', spec, 0)
    site.processes['e-leith-0'].signal(signal.SIGSTOP)
    time.sleep(9)
    site.processes['e-leith-0'].signal(signal.SIGCONT)
    outcomes: dict[str, Any] = {}
    for spec in specs:
        answer = status(site, 'e-gorgie-0', spec.key, wait_ms=20_000)
        outcomes[spec.key] = answer['outcome']
    assert set(outcomes.values()) == {'done'}
    check_record(site)
    assert not list(false_reports(site.record(), outcomes))


def test_killed_worker_leaves_no_double_run(site: Site) -> None:
    """Workers die: a build ends unknown and never reruns, a run restarts."""
    submit(
        site, 'e-leith-0', RequestSpec('b', 'last-build', {'run_ms': 3000}), 0
    )
    submit(
        site, 'e-leith-0', RequestSpec('r', 'scaling-run', {'run_ms': 3000}), 0
    )
    wait_for(lambda: list_starts(site, 'b') and list_starts(site, 'r'))
    used = {list_starts(site, key)[0]['worker'] for key in ('b', 'r')}
    for worker in used:
        site.processes[worker].kill()
        site.start_worker(worker, site.domains[worker])
    run = status(site, 'e-gorgie-0', 'r', wait_ms=20_000)
    build = status(site, 'e-gorgie-0', 'b', wait_ms=10_000)
    assert run['outcome'] == 'done'
    assert build['outcome'] == 'unknown'
    assert len(list_starts(site, 'b')) <= 1


@pytest.mark.proof('epoch-fence')
def test_paused_owner_cannot_start_after_a_fence(
    platform: Platform, harness: OwnerHarness, worker: Worker
) -> None:
    """The owner passes every check, pauses, and sends too late."""
    successor = build_owner(platform, 'successor')
    harness.add_worker(worker.port, 1)
    successor.add_worker(worker.port, 2)
    report = harness.runner.run(order('late#1'), 100)
    assert report.phase is TaskPhase.NOT_RUN
    assert harness.fleet.find('worker-1') is None
    assert successor.runner.run(order('new#1'), 500).code is OK


@pytest.mark.proof('compare')
def test_two_successors_adopt_a_job_once(
    platform: Platform, harness: OwnerHarness
) -> None:
    stored = new_stored(harness, 'orphan', RUN)
    others = [build_owner(platform, f'o{number}').jobs for number in range(4)]

    def adopt(jobs: JobStore) -> StoredJob | None:
        return jobs.adopt(stored, f'{id(jobs)}.boot', deadline_in(5000))

    with ThreadPoolExecutor(4) as pool:
        adopted = list(pool.map(adopt, others))
    assert sum(job is not None for job in adopted) == 1


@pytest.mark.proof('compare')
def test_two_owners_place_a_job_once(
    platform: Platform, harness: OwnerHarness, worker: Worker
) -> None:
    """Two owners get the same order; one of them may start it."""
    stored = new_stored(harness, 'both', BUILD)
    other = build_owner(platform, 'other')
    harness.add_worker(worker.port, 1)
    placement = Placement('w-2', 'b', 'leith', 'other.boot', 1, 0)
    write_result = other.jobs.place(stored, placement).result()
    assert write_result.applied
    report = harness.runner.run(recorded_order(stored), 500)
    assert report.phase is TaskPhase.NOT_RUN


@pytest.mark.proof('compare')
def test_finished_job_never_comes_back(
    platform: Platform, harness: OwnerHarness, worker: Worker
) -> None:
    """A job cancelled by one instance is not started by another."""
    stored = new_stored(harness, 'gone', BUILD)
    ended = harness.jobs.finish_and_wait(
        stored, failure_result(OK), deadline_in(2000)
    )
    assert ended is not None
    harness.add_worker(worker.port, 1)
    report = harness.runner.run(recorded_order(stored), 500)
    assert report.phase is TaskPhase.NOT_RUN
    assert harness.jobs.adopt(stored, 'x.y', deadline_in(2000)) is None


@pytest.mark.proof('compare')
def test_evicted_job_is_queued_again_once(
    platform: Platform, harness: OwnerHarness, worker: Worker
) -> None:
    """After a checkpoint and a requeue a second owner has a stale record."""
    stored = new_stored(harness, 'evicted', RUN)
    owned = harness.add_worker(worker.port, 1)
    harness.runner.run(recorded_order(stored), 0)
    entry = harness.fleet.table.find('evicted#1')
    assert entry is not None
    assert entry.stored is not None
    status_of = owned.conn.checkpoint('evicted#1', owned.epoch)
    other = build_owner(platform, 'other')
    for name, each in (('one.boot', harness), ('two.boot', other)):
        requeued = entry.stored.job.requeue(
            name, status_of.checkpoint, evicted=True
        )
        each.jobs.requeue(entry.stored, requeued, each.requeued.append)
    time.sleep(0.5)
    queued = (*harness.requeued, *other.requeued)
    assert len(queued) == 1
    assert queued[0].job.incarnation == 2
    assert queued[0].job.checkpoint == status_of.checkpoint


@pytest.mark.proof('stale-list')
def test_start_during_a_renewal_is_not_taken_for_lost(
    harness: OwnerHarness, worker: Worker
) -> None:
    """The worker's list is older than a start confirmed in the meantime."""
    reconciler = harness.reconciler(harness.add_worker(worker.port, 1))
    reconciler.step()
    owned = harness.fleet.find('worker-1')
    assert owned is not None
    stored = new_stored(harness, 'raced', RUN)
    renew = owned.conn.renew

    def renew_then_start(renewal: Renewal) -> TaskList:
        listed = renew(renewal)
        harness.runner.run(recorded_order(stored), 0)
        return listed

    setattr(owned.conn, 'renew', renew_then_start)
    reconciler.step()
    assert not harness.requeued
    entry = harness.fleet.table.find('raced#1')
    assert entry is not None
    assert not entry.ended.is_set()


def test_sweep_deletes_only_expired_records(
    platform: Platform, harness: OwnerHarness
) -> None:
    """Only finished records past their retention period are deleted."""
    for key, keep_ms, ends in (
        ('expired', -1, True),
        ('kept', 60_000, True),
        ('open', -1, False),
    ):
        stored = new_stored(harness, key, BUILD, keep_ms)
        if ends:
            harness.jobs.finish_and_wait(
                stored, failure_result(OK), deadline_in(2000)
            )
    log = EventLog()
    state = ControlState(ActiveDocuments(log), log)
    local_member = MemberRecord('e', 'b', 'leith', 'h:1', 'h:2')
    assert (
        RecordGarbageCollector(
            harness.store, state, local_member, log
        ).delete_expired()
        == 1
    )
    assert harness.jobs.read('expired') is None
    assert harness.jobs.read('kept') is not None
    assert harness.jobs.read('open') is not None


@pytest.mark.proof('stopped-is-cancelled')
def test_cancelled_run_never_comes_back(
    harness: OwnerHarness, worker: Worker, link: TcpProxy
) -> None:
    """The response to a cancellation is lost; a later list reports it."""
    reconciler = harness.reconciler(harness.add_worker(link.port, 1))
    reconciler.step()
    stored = new_stored(harness, 'cancelled', RUN)
    slow = replace(recorded_order(stored), payload=b'{"run_ms": 60000}')
    harness.runner.run(slow, 0)
    link.switch(LinkState.ONE_WAY)
    harness.runner.cancel('cancelled#1', 'worker-1')
    link.switch(LinkState.UP)
    reconciler.step()
    wait_for(lambda: _has_ended(harness, 'cancelled'), 5)
    ended = harness.jobs.read('cancelled')
    assert ended is not None
    # What goes back to its queue is stored so before anyone is told.
    assert ended.job.state is JobState.FINISHED
    assert not harness.requeued


def _has_ended(harness: OwnerHarness, key: str) -> bool:
    stored = harness.jobs.read(key)
    return stored is not None and stored.job.state is not JobState.PLACED


def test_order_sent_again_after_a_change_of_owner_starts_nothing(
    platform: Platform, worker: Worker
) -> None:
    harness = build_owner(platform)
    harness.add_worker(worker.port, 1)
    again = order('again#1', payload=b'{"run_ms": 60000}')
    assert harness.runner.run(again, 0).phase is TaskPhase.RUNNING
    harness.fleet.remove_worker('worker-1')
    harness.add_worker(worker.port, 2)
    assert harness.runner.run(again, 0).phase is TaskPhase.MOVED
    # A client that waits for the task gets the state its worker reports.
    seen = harness.runner.await_answer('again#1', 'worker-1', 0)
    assert seen.phase is TaskPhase.RUNNING
    harness.fleet.remove_worker('worker-1')
    assert harness.runner.run(again, 0).phase is TaskPhase.MOVED
