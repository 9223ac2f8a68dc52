"""No message, however malformed, raises more than its reader expects."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianpulley.cluster.election_policy import decode_candidate
from gentianpulley.cluster.interference import create_interference_model
from gentianpulley.cluster.caller_check import CallerCheck
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.cluster.roster import decode_roster
from gentianpulley.cluster.submissions import (
    RequestOutcome,
    RequestResult,
)
from gentianpulley.cluster.worker_protocol import (
    OrderContext,
    PollOrder,
    RunKey,
    StartOrder,
)
from gentianpulley.counters import create_counters
from gentianpulley.errors import (
    AdviceError,
    StoreError,
    WorkerError,
)
from gentianpulley.http_conn import HttpResponse, parse_address
from gentianpulley.jobs.record import decode_record
from gentianpulley.jobs.spec import TaskId, decode_job
from gentianpulley.json_decoding import decode_json
from gentianpulley.logs import EventLog
from gentianpulley.platform import kv_store, machine_client, operator_watch
from gentianpulley.platform.directory import StoreDirectory
from gentianpulley.platform.ingress import Ingress, ShutdownFlag
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.platform.wire import (
    ADVICE_DECODER,
    CFG_DECODER,
    MACHINES_DECODER,
    WAVE_DECODER,
    WireCommit,
    WireEvents,
    WireItem,
    WireLease,
    WireRange,
)
from gentianpulley.platform.worker_channel import WorkerChannel
from gentianpulley.platform.worker_client import HttpWorkerClient
from gentianpulley.store import Entry, Page
from tests.task_runner import run

ADDRESS = parse_address('127.0.0.1:1')
START = StartOrder('w', RunKey(TaskId('a' * 16, 0, 0, 0), 1), '{}', '')
DEPTH = 100_000

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['ready', 'draining', 'a' * 16, f'{"a" * 16}.0.0.0']),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=8), inner, max_size=6)
    ),
    max_leaves=20,
)
"""Well-formed values of any type, size and nesting."""

DEEP_BODIES = (
    b'[' * DEPTH,
    b'{"a":' * DEPTH,
    b'{"x":%s' % (b'[' * DEPTH),
    b'{"x":%s%s}' % (b'[' * DEPTH, b']' * DEPTH),
)

DOCUMENTS: dict[str, Any] = {
    'registration': {
        'service': 's',
        'addr': '10.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 1, 'mem_mb': 1, 'gpus': 0},
        'labels': ['kind', 'rack'],
        'cold_left_ms': 0,
        'remaining_ms': 0,
        'born': 1,
    },
    'run lists': {
        'clock_ms': 4,
        'born': 1,
        'running': [[f'{"a" * 16}.0.0.0', 1, '', 5, 7]],
        'ended': [[1, f'{"a" * 16}.0.0.0', 1, 'done', '']],
    },
    'job': {'task_spec': 'x', 'phases': [{'count': 1, 'cpu': 1, 'mem_mb': 1}]},
    'roster': {'used': ['w'], 'left_ms': {'w': 1}},
    'wave': {'wave': 1, 'machines': ['m'], 'within_s': 5, 'at_most': 1},
    'store': {'items': [{'key': 'k', 'value': 'eA=='}], 'current_rev': 1},
    'lease': {'lease': 1, 'ttl_ms': 1000},
}


class _Listing(KvStore):
    """A store with some entries, in one page."""

    def __init__(self, entries: list[Entry]) -> None:
        super().__init__(ADDRESS, create_counters())
        self._entries = tuple(entries)

    def read_page(self, prefix: str, after: str) -> Page:
        return Page(self._entries, 2, is_last=True)


class _AnyChannel(WorkerChannel):
    """Answers each call with one body."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(ADDRESS, (), 1)
        self._answer = HttpResponse(status, body)

    async def call(
        self, path: str, wire: msgspec.Struct, wait_ms: int = 0
    ) -> HttpResponse:
        return self._answer


def _client(body: bytes, status: int = 200) -> HttpWorkerClient:
    channel = _AnyChannel(status, body)
    return HttpWorkerClient(channel, channel, 1)


def _poll(body: bytes) -> None:
    run(_client(body).poll(PollOrder(1, 0, 0, 0)))


def _start(body: bytes) -> None:
    for status in (200, 400, 409, 421, 500):
        run(_client(body, status).start(START, OrderContext(1, 1)))


def _registration(body: bytes) -> None:
    directory = StoreDirectory(None, EventLog())  # type: ignore[arg-type]
    directory._registration(Entry('servers/w', body, 1))


def _interference(body: bytes) -> None:
    create_interference_model().load(body)


def _store_answer(body: bytes) -> None:
    response = HttpResponse(200, body)
    for message in (WireItem, WireRange, WireEvents, WireCommit, WireLease):
        kv_store._decoded(response, message)


def _cfg(body: bytes) -> None:
    table = QueueTable(EventLog())
    table.update(operator_watch.queue_cfg(decode_json(CFG_DECODER, body)))
    table.find('host', '/path')


def _upkeep_answer(body: bytes) -> None:
    for status in (200, 400, 409, 429):
        machine_client._outcome(HttpResponse(status, body))


def _submission(body: bytes) -> None:
    """Hand a body in; the front answers 400 unless it is a job."""
    table = QueueTable(EventLog())
    route = {'host': 'h', 'prefix': '/', 'name': 'q', 'service': 's'}
    cfg = {'version': 1, 'routes': [route], 'limits': {}}
    table.update(operator_watch.queue_cfg(CFG_DECODER.decode(json.dumps(cfg))))
    front = Ingress(
        table,
        CallerCheck(lambda: True, always_in_force=False),
        _Accepting(),  # type: ignore[arg-type]
        ShutdownFlag(),
        create_counters(),
        EventLog(),
    )
    answers: list[str] = []
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': f'/{"a" * 16}',
        'HTTP_HOST': 'h',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': BytesIO(body),
    }
    front(environ, lambda status, headers: answers.append(status))
    assert answers[0][:3] in {'200', '400', '413'}


class _Accepting:
    """Accepts each job."""

    def submit(self, *unused: object) -> Any:
        return RequestResult(RequestOutcome.OK)


@dataclass(frozen=True)
class Reader:
    """A reader of messages, and the errors that its callers handle."""

    read: Callable[[bytes], object]
    handled: type[Exception] | tuple[type[Exception], ...] = ()


READERS = {
    'run lists': Reader(_poll, WorkerError),
    'start reply': Reader(_start),
    'registration': Reader(_registration),
    'roster': Reader(decode_roster, msgspec.DecodeError),
    'interference': Reader(_interference, msgspec.DecodeError),
    'candidate': Reader(decode_candidate),
    'record': Reader(decode_record, msgspec.DecodeError),
    'job': Reader(decode_job, msgspec.DecodeError),
    'submission': Reader(_submission),
    'store': Reader(_store_answer, StoreError),
    'cfg': Reader(_cfg, msgspec.DecodeError),
    'wave': Reader(
        lambda body: decode_json(WAVE_DECODER, body), msgspec.DecodeError
    ),
    'machines': Reader(
        lambda body: decode_json(MACHINES_DECODER, body), msgspec.DecodeError
    ),
    'advice': Reader(
        lambda body: decode_json(ADVICE_DECODER, body),
        (msgspec.DecodeError, AdviceError),
    ),
    'upkeep': Reader(_upkeep_answer),
}


def _read(reader: Reader, body: bytes) -> None:
    try:
        reader.read(body)
    except reader.handled:
        return


@pytest.mark.parametrize('name', READERS)
@settings(max_examples=60, deadline=None)
@given(body=st.binary(max_size=200))
def test_any_bytes(name: str, body: bytes) -> None:
    _read(READERS[name], body)


@pytest.mark.parametrize('name', READERS)
@settings(max_examples=60, deadline=None)
@given(found=JSON)
def test_any_value(name: str, found: object) -> None:
    _read(READERS[name], json.dumps(found).encode())


@pytest.mark.parametrize('name', READERS)
@settings(max_examples=80, deadline=None)
@given(
    document=st.sampled_from(sorted(DOCUMENTS)),
    changed=st.data(),
    found=JSON,
)
def test_a_document_with_one_field_of_another_type(
    name: str, document: str, changed: st.DataObject, found: object
) -> None:
    fields = dict(DOCUMENTS[document])
    fields[changed.draw(st.sampled_from(sorted(fields)))] = found
    _read(READERS[name], json.dumps(fields).encode())


@pytest.mark.parametrize('name', READERS)
@settings(max_examples=60, deadline=None)
@given(row=st.lists(JSON, max_size=7), ended=st.booleans())
def test_any_row_of_a_list(name: str, row: list[object], ended: bool) -> None:
    rows = {'ended' if ended else 'running': [row]}
    _read(READERS[name], json.dumps({'clock_ms': 1, **rows}).encode())


@pytest.mark.parametrize('name', READERS)
@pytest.mark.parametrize('number', range(len(DEEP_BODIES)))
def test_deeply_nested_bodies(name: str, number: int) -> None:
    """One such entry in the directory kept every instance from leading."""
    _read(READERS[name], DEEP_BODIES[number])


@pytest.mark.proof('nesting')
def test_one_damaged_entry_hides_no_worker() -> None:
    """Each instance failed while it read the directory, and none led."""
    good = json.dumps(DOCUMENTS['registration']).encode()
    entries = [
        Entry('servers/bad', DEEP_BODIES[2], 1),
        Entry('servers/w', good, 2),
    ]
    page = StoreDirectory(_Listing(entries), EventLog()).read()
    assert [each.worker_id for each in page.registrations] == ['w']


@pytest.mark.parametrize(
    'address', ['', ':', 'h', 'h:', ':80', 'h:x', 'h:0', 'h:-1', 'h:65536']
)
def test_an_address_that_nobody_can_call_is_refused(address: str) -> None:
    """A port out of range raised an unexpected error at each call."""
    with pytest.raises(ValueError):
        parse_address(address)
