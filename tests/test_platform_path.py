"""Jobs on entry instances, store and workers, including their failures."""

import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from http.client import HTTPException

import pytest

from gentianpulley.cluster.load_digest import LOAD_KEY
from gentianpulley.platform.daemon import PlatformDaemon
from standins.grid_store import GridStore
from standins.grid_site import (
    GRACE_S,
    PLAIN,
    ROUTES,
    Site,
    call,
    cfg_document,
    fetch,
    job_body,
    state_of,
    wait_until,
)

JOB = '/batch/00000000000000a1'
HALF_OF_DEADLINE_S = 1.5


@pytest.fixture
def site() -> Iterator[Site]:
    """Return a cluster of two workers and two entry instances."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    running = Site(store)
    for worker_id in ('w1', 'w2'):
        running.add_worker(worker_id)
    for _ in range(2):
        running.add_node()
    yield running
    running.close()


def _wait_completed(site: Site, path: str = JOB, seconds: float = 12) -> None:
    wait_until(
        lambda: state_of(site.nodes[1], path) == 'completed',
        seconds,
        f'{path} completed',
    )


def _done(site: Site) -> list[str]:
    return [task for each in site.workers.values() for task in each.done]


def test_steps_run_in_order_and_the_job_completes(site: Site) -> None:
    steps = ({'count': 3}, {'count': 2, 'after': [0]})
    assert call(site.nodes[0], 'POST', JOB, job_body(*steps, ms=50))[0] == 200
    _wait_completed(site)
    order = _done(site)
    assert len(order) == len(set(order)) == 5
    first = [task for task in order if task.split('.')[2] == '0']
    assert len(first) == 3


@pytest.mark.proof('accepted-before')
def test_only_new_jobs_of_a_closed_queue_are_refused(site: Site) -> None:
    """Guards against a refusal of a job whose first answer was lost, and of
    calls other than submissions."""
    accepted = '/batch/00000000000000a2'
    assert call(site.nodes[0], 'POST', accepted, job_body(ms=50))[0] == 200
    closed = {'r-batch': {'delay_ms': 90_000, 'free_in_ms': 4000}}

    def is_refused() -> bool:
        document = {'token': 1 << 40, 'seq': time.time_ns(), 'closed': closed}
        site.store.put(LOAD_KEY, document)
        time.sleep(0.2)
        return call(site.nodes[0], 'POST', JOB, job_body(ms=50))[0] == 429

    wait_until(is_refused)
    assert call(site.nodes[0], 'POST', accepted, job_body(ms=50))[0] == 200
    assert call(site.nodes[0], 'GET', accepted)[0] == 200
    assert call(site.nodes[0], 'GET', '/batch/')[0] == 200
    assert call(site.nodes[0], 'DELETE', accepted)[0] == 200
    assert site.store.item(f'gp/job/spec/{JOB[-16:]}') is None
    wait_until(
        lambda: call(site.nodes[0], 'POST', JOB, job_body(ms=50))[0] == 200
    )


def test_one_id_at_two_nodes_is_one_job(site: Site) -> None:
    body = job_body(ms=50)
    statuses = [
        call(node, 'POST', JOB, body)[0] for node in (*site.nodes, *site.nodes)
    ]
    assert set(statuses) == {200}
    _wait_completed(site)
    assert len(_done(site)) == 1


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('GET', '/batch/00000000000000ff', None, 410),
        ('DELETE', '/batch/00000000000000ff', None, 410),
        ('POST', '/unknown/00000000000000ff', {}, 404),
        ('POST', '/batch/no-id', {}, 404),
        ('PUT', '/batch/00000000000000ff', {}, 405),
        ('POST', '/batch/00000000000000ff', {}, 400),
        ('POST', '/batch/00000000000000ff', b'{"phases"', 400),
        ('POST', '/batch/00000000000000ff', {'phases': []}, 400),
        ('POST', '/batch/00000000000000ff', {'phases': [{'count': 0}]}, 400),
        (
            'POST',
            '/batch/00000000000000ff',
            {'phases': [{'count': 1, 'after': [0]}]},
            400,
        ),
        (
            'POST',
            '/batch/00000000000000ff',
            {'phases': [{'count': 1, 'cpu': 'many'}]},
            400,
        ),
        # More tasks than the memory of any leader can hold.
        (
            'POST',
            '/batch/00000000000000ff',
            {'phases': [{'count': 10_000} for _ in range(5)]},
            400,
        ),
        (
            'POST',
            '/batch/00000000000000ff',
            {
                'phases': [{'count': 100}],
                'times': 500,
                'first_ms': 1,
                'interval_ms': 1,
            },
            400,
        ),
        ('POST', '/batch/00000000000000ff', b'x' * 10_001, 413),
    ],
)
def test_requests_that_cannot_be_served(
    site: Site, method: str, path: str, body: object, status: int
) -> None:
    assert call(site.nodes[0], method, path, body)[0] == status


def test_a_cancelled_job_is_stopped_everywhere(site: Site) -> None:
    path = '/batch/00000000000000a2'
    steps = {'count': 4, 'long_running': True}
    assert call(site.nodes[0], 'POST', path, job_body(steps, ms=60_000))
    wait_until(
        lambda: (
            sum(len(worker.running()) for worker in site.workers.values()) == 4
        )
    )
    assert call(site.nodes[1], 'DELETE', path)[0] == 200
    wait_until(
        lambda: not any(worker.running() for worker in site.workers.values())
    )
    wait_until(lambda: state_of(site.nodes[0], path) == 'cancelled')


def test_waiting_counts_jobs_that_have_not_begun(site: Site) -> None:
    big = {'cpu': 64_000}
    for number in range(4):
        path = f'/quick/000000000000000{number}'
        call(site.nodes[0], 'POST', path, job_body(big, ms=3000))
    wait_until(
        lambda: call(site.nodes[1], 'GET', '/quick/')[1] == {'waiting': 2}
    )
    max_running = max(len(worker.running()) for worker in site.workers.values())
    assert max_running == 1


def test_failed_tasks_are_tried_until_the_last_attempt(site: Site) -> None:
    path = '/quick/00000000000000b1'
    work = job_body(ms=20, fail=1)
    assert call(site.nodes[0], 'POST', path, work)[0] == 200
    wait_until(lambda: state_of(site.nodes[0], path) == 'failed')
    runs = [run for worker in site.workers.values() for run in worker.started]
    assert len(runs) == 2


@pytest.mark.parametrize('fault', ['lose_orders', 'late_orders'])
def test_an_order_without_an_answer_runs_once(site: Site, fault: str) -> None:
    for worker in site.workers.values():
        worker.faults = {fault: 1}
    call(site.nodes[0], 'POST', JOB, job_body({'count': 4}, ms=100))
    _wait_completed(site)
    time.sleep(1.5)
    assert len(_done(site)) == len(set(_done(site))) == 4


def test_the_successor_adopts_what_runs(site: Site) -> None:
    work = job_body({'count': 4}, ms=2500)
    assert call(site.nodes[0], 'POST', JOB, work)[0] == 200
    wait_until(
        lambda: (
            sum(len(worker.running()) for worker in site.workers.values()) == 4
        ),
        what='four tasks at work',
    )
    site.take_leader().shut_down()
    (other,) = site.nodes
    wait_until(lambda: other.is_leading, what='a successor leads')
    wait_until(
        lambda: state_of(other, JOB) == 'completed', what='the job completed'
    )
    assert sum(len(worker.started) for worker in site.workers.values()) == 4


def test_a_reborn_worker_has_lost_its_runs(site: Site) -> None:
    call(site.nodes[0], 'POST', JOB, job_body({'count': 6}, ms=1500))
    wait_until(lambda: site.workers['w1'].running())
    site.workers['w1'].crash()
    _wait_completed(site)
    assert len(set(_done(site))) == 6


@pytest.mark.proof('answered-incarnations')
@pytest.mark.parametrize('is_complete', [True, False])
def test_a_registration_written_late_ended_an_incarnation_at_work(
    site: Site, *, is_complete: bool
) -> None:
    """Its tasks were started elsewhere as well; also by another writer's entry,
    without the fields that tell incarnations apart (review cases 10 and 6)."""
    worker = site.workers['w1']
    former = worker.entry('ready')
    if not is_complete:
        former = {**former, 'born': 0, 'addr': '127.0.0.1:9'}
    worker.crash()
    call(site.nodes[0], 'POST', JOB, job_body({'count': 8}, ms=1500))
    wait_until(worker.running)
    site.store.put('servers/w1', former)
    _wait_completed(site)
    runs = [run for each in site.workers.values() for run in each.started]
    assert len(runs) == 8


def test_a_task_crashes_worker_after_worker(site: Site) -> None:
    """Callers see the end of its job, and another one is done meanwhile."""
    path = '/quick/00000000000000b3'
    assert call(site.nodes[0], 'POST', path, job_body(crash=1))[0] == 200
    call(site.nodes[0], 'POST', JOB, job_body({'count': 6}, ms=100))
    wait_until(lambda: state_of(site.nodes[1], path) == 'failed')
    _wait_completed(site)
    runs = [run for worker in site.workers.values() for run in worker.started]
    assert sum(task.startswith('00000000000000b3') for task, _ in runs) == 3


def test_a_worker_that_has_shrunk_gets_no_more_than_it_holds(
    site: Site,
) -> None:
    for worker in site.workers.values():
        worker.resize(1000)
    time.sleep(0.5)
    call(site.nodes[0], 'POST', JOB, job_body({'count': 8, 'cpu': 500}, ms=50))
    most = 0
    while state_of(site.nodes[0], JOB) != 'completed':
        running = [len(each.running()) for each in site.workers.values()]
        most = max(most, *running)
    assert most <= 2


def test_a_silent_worker_is_replaced_after_its_lease(site: Site) -> None:
    call(site.nodes[0], 'POST', JOB, job_body({'count': 6}, ms=800))
    wait_until(lambda: site.workers['w1'].running())
    site.workers['w1'].faults = {'silent': 1}
    _wait_completed(site, seconds=20)


def test_a_draining_worker_gets_nothing_more(site: Site) -> None:
    site.workers['w1'].register('draining')
    time.sleep(0.5)
    started_count = len(site.workers['w1'].started)
    call(site.nodes[0], 'POST', JOB, job_body({'count': 6}, ms=50))
    _wait_completed(site)
    assert len(site.workers['w1'].started) == started_count


def test_an_evacuated_domain_gets_nothing_until_it_is_back(
    site: Site,
) -> None:
    site.add_worker('w3', zone='b')
    site.store.put('op/evacuate/a', {})
    time.sleep(0.5)
    started_count = sum(
        len(site.workers[name].started) for name in ('w1', 'w2')
    )
    call(site.nodes[0], 'POST', JOB, job_body({'count': 6}, ms=50))
    _wait_completed(site)
    assert len(site.workers['w3'].started) == 6
    site.store.remove('op/evacuate/a')
    time.sleep(0.5)
    path = '/batch/00000000000000c1'
    call(site.nodes[0], 'POST', path, job_body({'count': 6}, ms=50))
    _wait_completed(site, path)
    after = sum(len(site.workers[name].started) for name in ('w1', 'w2'))
    assert after > started_count


def test_a_newer_cfg_is_in_force_and_an_older_one_is_not(site: Site) -> None:
    added = ('r-new', 'fit.example', '/new/', 1, 2, PLAIN)
    site.store.put('op/config', cfg_document(9, (*ROUTES, added)))
    wait_until(lambda: call(site.nodes[0], 'GET', '/new/')[0] == 200, 2)
    site.store.put('op/config', cfg_document(5, ROUTES))
    time.sleep(0.5)
    assert call(site.nodes[0], 'GET', '/new/')[0] == 200
    site.store.put('op/config', cfg_document(10, (added,)))
    wait_until(lambda: call(site.nodes[0], 'GET', '/batch/')[0] == 404, 2)


@pytest.mark.parametrize(
    'entry',
    [
        b'not json',
        {'service': 'fitting'},
        {'service': 7, 'addr': 'x', 'zone': 'a', 'state': 'ready'},
        {
            'service': 'fitting',
            'addr': '127.0.0.1:1',
            'zone': 'a',
            'state': 'dancing',
        },
    ],
)
def test_entries_of_other_writers_are_no_workers(
    site: Site, entry: object
) -> None:
    site.store.put('servers/strange', entry)
    call(site.nodes[0], 'POST', JOB, job_body({'count': 3}, ms=20))
    _wait_completed(site)


def test_a_store_that_is_down_means_not_accepted(site: Site) -> None:
    site.store.faults = {'down': 1}
    assert call(site.nodes[0], 'POST', JOB, job_body())[0] == 503
    site.store.faults = {}
    assert call(site.nodes[0], 'GET', JOB)[0] == 410


def test_a_caller_hears_in_time_that_the_store_is_silent(site: Site) -> None:
    """A caller must learn of an unresponsive store early enough to retry.

    Callers used to wait for 2.4 of their 3 s, which left too little time to try
    another instance.
    """
    site.store.faults = {'drop_requests': 9}
    started_s = time.monotonic()
    status, _ = call(site.nodes[0], 'POST', JOB, job_body(ms=20))
    assert status == 504
    assert time.monotonic() - started_s < HALF_OF_DEADLINE_S
    site.store.faults = {}


def test_a_lost_answer_of_the_store_is_settled(site: Site) -> None:
    site.store.faults = {'lose_answers': 1}
    assert call(site.nodes[0], 'POST', JOB, job_body(ms=20))[0] == 200
    _wait_completed(site)
    assert len(_done(site)) == 1


@pytest.mark.parametrize('fault', ['silent_watches', 'compacted'])
def test_broken_watches_are_read_anew(site: Site, fault: str) -> None:
    site.store.faults = {fault: 1}
    time.sleep(1)
    call(site.nodes[0], 'POST', JOB, job_body(ms=20))
    site.store.faults = {}
    _wait_completed(site)


def test_a_planned_stop_ends_within_the_grace_without_the_store(
    site: Site,
) -> None:
    """A shutdown must not exceed the grace period when the store is silent.

    In a scenario that stopped isolated instances, one had to be killed.
    """
    leading = site.take_leader()
    site.store.faults = {'silent': 1}
    waiting = threading.Thread(target=_ignore_response, args=(leading,))
    waiting.start()
    time.sleep(0.1)
    started_s = time.monotonic()
    leading.shut_down()
    assert time.monotonic() - started_s < GRACE_S
    site.store.faults = {}
    waiting.join()


def _ignore_response(node: PlatformDaemon) -> None:
    with suppress(OSError, HTTPException):
        call(node, 'GET', JOB)


def test_metrics_and_readiness_are_served(site: Site) -> None:
    node = site.nodes[0]
    call(node, 'POST', JOB, job_body(ms=20))
    _wait_completed(site)
    status, text = fetch(node.metrics_address, '/metrics')
    assert status == 200
    assert 'gentianpulley_front_post_us_count 1' in text
    assert 'gentianpulley_store_txn_calls_total' in text
    assert fetch(node.readiness_address, '/gentianpulley/ready')[0] == 200


def test_a_node_without_the_store_is_not_ready(site: Site) -> None:
    site.store.faults = {'down': 1}
    wait_until(
        lambda: (
            fetch(site.nodes[0].readiness_address, '/gentianpulley/ready')[0]
            == 503
        )
    )


@pytest.mark.proof('number-bounds')
def test_a_job_with_a_huge_number_holds_up_no_other(site: Site) -> None:
    """No new job was taken up any more, and no other instance could lead."""
    path = '/batch/00000000000000d1'
    huge = job_body({'est_runtime_ms': 10**400}, ms=20)
    assert call(site.nodes[0], 'POST', path, huge)[0] == 400
    call(site.nodes[0], 'POST', JOB, job_body(ms=20))
    _wait_completed(site)
