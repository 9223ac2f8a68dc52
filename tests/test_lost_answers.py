"""The answer of one call is dropped at each hop, or its effect comes late.

What callers are told is compared with what the workers recorded.
"""

import json
import socket
import threading
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

import pytest

from gentianpulley.cluster.handover_state import ROSTER_KEY
from gentianpulley.cluster.job_storage import (
    CANCELLATION_PREFIX,
    LEADER_KEY,
    RECORD_PREFIX,
    SPEC_PREFIX,
    cancellation_key,
    job_key,
)
from gentianpulley.cluster.takeover_offers import create_leased_key
from gentianpulley.cluster.timing import LEADER_TTL_S
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.platform.daemon import PlatformDaemon
from gentianpulley.platform.kv_store import connect_kv_store
from standins.grid_site import (
    Site,
    call,
    cfg_document,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import HOST, LATE_S, GridStore
from standins.grid_worker import EventKind

STEPS: Final = ({'count': 2}, {'count': 1, 'after': [0]})
TASK_COUNT: Final = 3
SETTLE_S: Final = 0.3
OK: Final = 200
GONE: Final = 410
REFUSED: Final = 503
TIMED_OUT: Final = 504
MAX_TRIES: Final = 4
_NUMBERS: Final = count(1)

NO_STORE_FAULT: Final[dict[str, Any]] = {}


@dataclass(frozen=True)
class Hop:
    """The faults of the store, or of every worker, for the next call."""

    store: dict[str, Any] = field(default_factory=dict)
    worker: dict[str, Any] = field(default_factory=dict)

    @property
    def settle_s(self) -> float:
        """Return how long after the call its effect may come."""
        is_late = 'late' in self.store or 'late_orders' in self.worker
        return LATE_S + SETTLE_S if is_late else SETTLE_S


def _store_hop(fault: str, prefix: str) -> Hop:
    return Hop(store={fault: 1, 'keys': prefix})


def _worker_hop(fault: str, verb: str) -> Hop:
    return Hop(worker={fault: 1, 'verbs': (verb,)})


def _case(name: str, hop: Hop, *guards: str) -> Any:
    marks = [pytest.mark.proof(guard) for guard in guards]
    return pytest.param(hop, id=name, marks=marks)


JOB_HOPS: Final = (
    _case(
        'submission lost',
        _store_hop('lose_answers', SPEC_PREFIX),
        'unanswered-write',
    ),
    _case('submission late', _store_hop('late', SPEC_PREFIX), 'job-once'),
    _case(
        'record lost', _store_hop('lose_answers', RECORD_PREFIX), 'record-again'
    ),
    _case('record late', _store_hop('late', RECORD_PREFIX)),
    _case('start lost', _worker_hop('lose_orders', 'run-start')),
    _case(
        'start late', _worker_hop('late_orders', 'run-start'), 'lost-is-unsent'
    ),
    _case('start dropped', _worker_hop('drop_orders', 'run-start')),
    _case('poll lost', _worker_hop('lose_orders', 'hold'), 'saved-first'),
    _case('poll late', _worker_hop('late_orders', 'hold')),
)

CANCEL_HOPS: Final = (
    _case('cancellation lost', _store_hop('lose_answers', CANCELLATION_PREFIX)),
    _case('cancellation late', _store_hop('late', CANCELLATION_PREFIX)),
    _case('record lost', _store_hop('lose_answers', RECORD_PREFIX)),
    _case('stop lost', _worker_hop('lose_orders', 'run-stop')),
    _case('stop late', _worker_hop('late_orders', 'run-stop')),
    _case('stop dropped', _worker_hop('drop_orders', 'run-stop'), 'stop-again'),
    _case('poll lost', _worker_hop('lose_orders', 'hold')),
)


def _open_site() -> Site:
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    for worker_id in ('w1', 'w2'):
        site.add_worker(worker_id)
    for _ in range(2):
        site.add_node()
    return site


@pytest.fixture(scope='module')
def site() -> Iterator[Site]:
    """Return a cluster that the cases of this module share."""
    running = _open_site()
    wait_until(lambda: any(node.is_leading for node in running.nodes))
    yield running
    running.close()


@pytest.fixture
def own_site() -> Iterator[Site]:
    """Return a cluster whose leader a test may stop."""
    running = _open_site()
    yield running
    running.close()


@pytest.fixture
def job_id() -> str:
    """Return an id that no other case uses."""
    return f'{next(_NUMBERS):016x}'


def _path(job_id: str) -> str:
    return f'/batch/{job_id}'


def _impair(site: Site, hop: Hop) -> None:
    site.store.faults = dict(hop.store)
    for worker in site.workers.values():
        worker.faults = dict(hop.worker)


def _ask_until_told(
    site: Site, method: str, job_id: str, body: object = None
) -> int:
    """Ask one instance after the other until one tells the outcome."""
    nodes = (site.nodes * MAX_TRIES)[:MAX_TRIES]
    for node in nodes:
        status, _ = call(node, method, _path(job_id), body)
        if status != TIMED_OUT:
            return status
    return TIMED_OUT


def _starts(site: Site, job_id: str) -> Counter[str]:
    """Return how often the workers started each task of a job."""
    return Counter(
        event.task
        for worker in site.workers.values()
        for event in tuple(worker.events)
        if event.kind is EventKind.STARTED and job_id in event.task
    )


def _running(site: Site, job_id: str) -> list[str]:
    return [
        task
        for worker in site.workers.values()
        for task in worker.running()
        if job_id in task
    ]


def _wait_for_state(site: Site, job_id: str, state: str) -> None:
    wait_until(
        lambda: all(
            state_of(node, _path(job_id)) == state for node in site.nodes
        ),
        what=f'{job_id} is {state}',
    )


def _settle(seconds: float) -> None:
    threading.Event().wait(seconds)


def _check_ran_once(site: Site, job_id: str, task_count: int) -> None:
    starts = _starts(site, job_id)
    assert len(starts) == task_count
    assert set(starts.values()) == {1}
    assert call(site.nodes[0], 'GET', '/batch/')[1] == {'waiting': 0}


@pytest.mark.parametrize('hop', JOB_HOPS)
def test_a_job_runs_once_whatever_answer_is_lost(
    site: Site, job_id: str, hop: Hop
) -> None:
    _impair(site, hop)
    body = job_body(*STEPS, ms=60)
    assert _ask_until_told(site, 'POST', job_id, body) == OK
    _wait_for_state(site, job_id, 'completed')
    _settle(hop.settle_s)
    _check_ran_once(site, job_id, TASK_COUNT)
    _wait_for_state(site, job_id, 'completed')


@pytest.mark.parametrize('hop', CANCEL_HOPS)
def test_a_cancelled_job_stays_stopped_whatever_answer_is_lost(
    site: Site, job_id: str, hop: Hop
) -> None:
    body = job_body({'count': 2, 'long_running': True}, ms=60_000)
    assert _ask_until_told(site, 'POST', job_id, body) == OK
    wait_until(lambda: len(_running(site, job_id)) == 2)
    _impair(site, hop)
    assert _ask_until_told(site, 'DELETE', job_id) == OK
    wait_until(lambda: not _running(site, job_id), what='all runs end')
    _settle(hop.settle_s)
    _wait_for_state(site, job_id, 'cancelled')
    assert not _running(site, job_id)
    assert sum(_starts(site, job_id).values()) == 2


def _send_and_leave(
    node: PlatformDaemon, method: str, job_id: str, body: object
) -> socket.socket:
    """Send a request whose response nobody will read."""
    address = node.front_address
    conn = socket.create_connection((address.host, address.port))
    encoded = json.dumps(body).encode()
    head = (
        f'{method} {_path(job_id)} HTTP/1.1\r\nHost: fit.example\r\n'
        f'Content-Length: {len(encoded)}\r\n\r\n'
    )
    conn.sendall(head.encode() + encoded)
    return conn


@pytest.mark.proof('job-once')
def test_a_submission_is_repeated_after_its_connection_closed(
    site: Site, job_id: str
) -> None:
    """The retry reaches another instance, and one comes after the end."""
    body = job_body(*STEPS, ms=60)
    conn = _send_and_leave(site.nodes[0], 'POST', job_id, body)
    wait_until(lambda: site.store.item(job_key(job_id)))
    conn.close()
    assert call(site.nodes[1], 'POST', _path(job_id), body)[0] == OK
    _wait_for_state(site, job_id, 'completed')
    for node in site.nodes:
        assert call(node, 'POST', _path(job_id), body)[0] == OK
    _settle(SETTLE_S)
    _check_ran_once(site, job_id, TASK_COUNT)


def test_a_cancellation_is_repeated_after_its_connection_closed(
    site: Site, job_id: str
) -> None:
    body = job_body({'count': 2, 'long_running': True}, ms=60_000)
    assert call(site.nodes[0], 'POST', _path(job_id), body)[0] == OK
    wait_until(lambda: len(_running(site, job_id)) == 2)
    conn = _send_and_leave(site.nodes[0], 'DELETE', job_id, None)
    wait_until(lambda: site.store.item(cancellation_key(job_id)))
    conn.close()
    assert call(site.nodes[1], 'DELETE', _path(job_id))[0] == OK
    wait_until(lambda: not _running(site, job_id))
    _wait_for_state(site, job_id, 'cancelled')
    assert sum(_starts(site, job_id).values()) == 2


def _send_with_late_writes(site: Site, job_id: str, body: object) -> int:
    """Submit a job whose writes are all applied after its caller was told."""
    site.store.faults = {'late': MAX_TRIES, 'keys': job_key(job_id)}
    status, _ = call(site.nodes[0], 'POST', _path(job_id), body)
    site.store.faults = {}
    return status


@pytest.mark.proof('tombstone')
@pytest.mark.parametrize('canceller', [0, 1])
def test_no_job_starts_after_its_cancellation_found_no_job(
    site: Site, job_id: str, canceller: int
) -> None:
    """A write of the job that was applied late made it start (UNASKED).

    Review case 8.
    """
    body = job_body({'count': 1}, ms=60)
    assert _send_with_late_writes(site, job_id, body) == TIMED_OUT
    node = site.nodes[canceller]
    assert call(node, 'DELETE', _path(job_id))[0] == GONE
    _settle(LATE_S + SETTLE_S)
    assert not site.store.item(job_key(job_id))
    assert not _starts(site, job_id)
    assert call(node, 'GET', _path(job_id))[0] == GONE
    assert call(node, 'POST', _path(job_id), body)[0] == REFUSED


def test_a_job_that_is_stored_before_its_cancellation_is_cancelled(
    site: Site, job_id: str
) -> None:
    """A 410 is no answer once a write that was applied late stored the job."""
    body = job_body({'count': 1, 'long_running': True}, ms=60_000)
    assert _send_with_late_writes(site, job_id, body) == TIMED_OUT
    wait_until(lambda: _running(site, job_id))
    assert call(site.nodes[1], 'DELETE', _path(job_id))[0] == OK
    wait_until(lambda: not _running(site, job_id))
    _wait_for_state(site, job_id, 'cancelled')


@pytest.mark.parametrize(
    'hop',
    [
        _case(
            'roster lost',
            _store_hop('lose_answers', ROSTER_KEY),
            'roster-again',
        ),
        _case('roster late', _store_hop('late', ROSTER_KEY)),
    ],
)
def test_a_new_worker_is_used_although_the_roster_had_no_answer(
    site: Site, job_id: str, hop: Hop
) -> None:
    _impair(site, hop)
    label = f'only-{job_id}'
    site.add_worker(f'w-{job_id}', labels=[label, 'r1'])
    body = job_body({'count': 2, 'constraints': label}, ms=60)
    assert _ask_until_told(site, 'POST', job_id, body) == OK
    _wait_for_state(site, job_id, 'completed')
    _settle(hop.settle_s)
    _check_ran_once(site, job_id, 2)


@pytest.mark.parametrize('fault', ['lose_answers', 'late'])
def test_a_successor_leads_although_its_key_had_no_answer(
    own_site: Site, job_id: str, fault: str
) -> None:
    body = job_body({'count': 2}, ms=2500)
    assert call(own_site.nodes[0], 'POST', _path(job_id), body)[0] == OK
    wait_until(lambda: len(_running(own_site, job_id)) == 2)
    _impair(own_site, _store_hop(fault, LEADER_KEY))
    own_site.take_leader().shut_down()
    _wait_for_state(own_site, job_id, 'completed')
    _check_ran_once(own_site, job_id, 2)


@pytest.mark.parametrize(
    ('fault', 'settle_s'),
    [
        pytest.param(
            'lose_answers', 0, marks=pytest.mark.proof('abandoned-lease')
        ),
        pytest.param(
            'late',
            LATE_S + SETTLE_S,
            marks=pytest.mark.proof('abandoned-lease'),
        ),
    ],
)
def test_a_key_whose_creation_had_no_answer_keeps_nobody_from_leading(
    fault: str, settle_s: float
) -> None:
    """The key of a candidate that does not know of it is nobody's."""
    store = GridStore()
    store.run_in_background()
    store.faults = {fault: 1, 'keys': LEADER_KEY}
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    with pytest.raises(StoreAnswerLostError):
        create_leased_key(client, LEADER_KEY, b'{}', LEADER_TTL_S * 10)
    _settle(settle_s)
    assert store.item(LEADER_KEY) is None
    store.shutdown()
    store.server_close()
