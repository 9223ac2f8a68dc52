"""When queues close and open, which jobs are refused, and by which digest."""

from collections.abc import Iterator
from dataclasses import replace

import msgspec
import pytest

from gentianpulley.cluster import load_watch
from gentianpulley.cluster.admission import (
    QueueAdmission,
    QueueLoad,
    find_refusal,
    retry_delay_s,
)
from gentianpulley.cluster.load_digest import (
    LOAD_KEY,
    MAX_DIGEST_AGE_MS,
    ClosedQueue,
    LoadDigest,
    decode_digest,
    encode_digest,
)
from gentianpulley.cluster.load_watch import (
    WATCH_WAIT_MS,
    DigestTracker,
    LoadWatch,
)
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.jobs.spec import JobSpec, Schedule
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.store import Change, ChangeBatch, Entry, Snapshot
from tests.scheduling.harness import START_MS, job, step

HOPELESS_ONLY = pytest.mark.proof('hopeless-only')
BASELINE = pytest.mark.proof('digest-baseline')
LIMIT_MS = 8000
HOPELESS = QueueLoad('q', LIMIT_MS + 1, LIMIT_MS, LIMIT_MS + 1, 9, 9, True)
CLOSED = ClosedQueue(LIMIT_MS + 1, 20_000)
SPEC = job(step(), priority=1).spec
"""A job that is of use if it starts within 8 s."""


def _update(
    admission: QueueAdmission, load: QueueLoad | None, at_ms: int
) -> bool:
    admission.update([load] if load else [], at_ms)
    return bool(admission.closed)


@pytest.mark.parametrize(
    'change',
    [
        {'wait_ms': LIMIT_MS},
        {'wait_ms': None},
        pytest.param({'oldest_ms': LIMIT_MS}, marks=HOPELESS_ONLY),
        pytest.param({'waiting_jobs': 8}, marks=HOPELESS_ONLY),
        pytest.param({'is_blocked': False}, marks=HOPELESS_ONLY),
    ],
)
def test_a_queue_closes_only_if_new_jobs_are_hopeless(
    change: dict[str, int | None],
) -> None:
    """Guards against a refusal of a job that could have been of use."""
    hopeful = replace(HOPELESS, **change)  # type: ignore[arg-type]
    admission = QueueAdmission()
    for at_ms in range(0, 5000, 500):
        assert not _update(admission, hopeful, at_ms)
    assert not _update(admission, HOPELESS, 5000)
    assert not _update(admission, hopeful, 5500)
    assert not _update(admission, HOPELESS, 6000)
    assert not _update(admission, HOPELESS, 7000)
    assert _update(admission, HOPELESS, 7001)


@pytest.mark.parametrize(
    ('load', 'is_closed'),
    [
        (replace(HOPELESS, wait_ms=LIMIT_MS // 2), True),
        (replace(HOPELESS, wait_ms=LIMIT_MS // 2 - 1), False),
        # All workers are lost: what closed the queue still waits.
        (replace(HOPELESS, wait_ms=None), True),
        (None, False),
    ],
)
def test_a_closed_queue_opens_below_half_of_its_limit(
    load: QueueLoad | None, is_closed: bool
) -> None:
    """Guards against a queue that changes with each measurement."""
    admission = QueueAdmission()
    _update(admission, HOPELESS, 0)
    assert _update(admission, HOPELESS, 1500)
    assert _update(admission, load, 2000) is is_closed


@pytest.mark.parametrize(
    ('spec', 'closed', 'is_refused'),
    [
        (SPEC, CLOSED, True),
        (SPEC, None, False),
        (SPEC, replace(CLOSED, delay_ms=LIMIT_MS), False),
        # Larger jobs may wait longer, and smaller tasks may fit at once.
        (job(step(estimated_ms=9000), priority=1).spec, CLOSED, False),
        (SPEC, replace(CLOSED, blocked_milli=8001), False),
        (SPEC, replace(CLOSED, blocked_milli=8000), True),
        (job(step(), priority=0).spec, CLOSED, False),
        (job(step(is_endless=True), priority=1).spec, CLOSED, False),
        (
            job(step(), priority=1, schedule=Schedule(START_MS, 9, 2)).spec,
            CLOSED,
            False,
        ),
    ],
)
def test_each_job_is_judged_by_its_own_objective(
    spec: JobSpec, closed: ClosedQueue | None, is_refused: bool
) -> None:
    assert bool(find_refusal(spec, closed)) is is_refused


@pytest.mark.proof('spread-returns')
@pytest.mark.parametrize('free_in_ms', [60_000, 10**15])
def test_refused_callers_do_not_return_at_once(free_in_ms: int) -> None:
    """With a limit on the sum alone, all of a long burst came back after 30 s,
    and were refused together again."""
    delays = [retry_delay_s(f'{each:016x}', free_in_ms) for each in range(900)]
    assert 1 <= min(delays) and max(delays) <= 30
    assert max(delays.count(each) for each in delays) < 900 / 5
    assert retry_delay_s('a', 0) == 1
    assert 10 <= retry_delay_s('a', 10_000) <= 20


@pytest.mark.parametrize(
    'body',
    [b'{"token"', b'[]', b'[' * 100_000, b'{"token":1,"seq":2}']
    + [b'{"token":1,"seq":1,"closed":{"q":{"delay_ms":-1,"free_in_ms":1}}}'],
)
def test_a_malformed_digest_is_one_error(body: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_digest(body)


def _digest(sequence: int, token: int = 7) -> LoadDigest:
    return LoadDigest(token, sequence, {'q': CLOSED})


def test_a_digest_counts_for_its_age() -> None:
    """Guards against refusals by a leader that is frozen, or that this
    instance is cut off from."""
    tracker = DigestTracker()
    assert tracker.update(_digest(1), written_after_ms=0, at_ms=500)
    assert not tracker.update(_digest(1), written_after_ms=500, at_ms=2000)
    assert tracker.closed_queue('q', 500 + MAX_DIGEST_AGE_MS - 1)
    assert tracker.closed_queue('other', 600) is None
    assert tracker.closed_queue('q', 500 + MAX_DIGEST_AGE_MS) is None


@pytest.mark.proof('digest-order')
def test_an_old_digest_that_comes_late_changes_nothing() -> None:
    """Guards against a former leader's digest, and a write applied late."""
    tracker = DigestTracker()
    opened = LoadDigest(8, 1)
    assert tracker.update(_digest(9), written_after_ms=0, at_ms=500)
    assert tracker.update(opened, written_after_ms=500, at_ms=1000)
    for late in (_digest(10), _digest(1, token=8)):
        assert not tracker.update(late, written_after_ms=1000, at_ms=1500)
        assert tracker.closed_queue('q', 1500) is None


class _Store(KvStore):
    """Answers each call as scripted, while a clock moves on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at_ms = START_MS
        self.stored: Entry | None = None
        self.answers: Iterator[tuple[int, LoadDigest | bytes | None]]
        self.waits: list[int] = []
        monkeypatch.setattr(load_watch, 'now_ms', lambda: self.at_ms)

    def with_own_conns(self) -> '_Store':
        """Return this store."""
        return self

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return what is stored."""
        return Snapshot((self.stored,) if self.stored else (), 1)

    def wait_for_changes(
        self, prefix: str, revision: int, wait_ms: int
    ) -> ChangeBatch:
        """Answer after the scripted time, at last with a failure."""
        self.waits.append(wait_ms)
        after_ms, changed = next(self.answers, (0, b'lost'))
        self.at_ms += after_ms
        if changed == b'lost':
            raise StoreAnswerLostError('lost')
        if changed is None:
            return ChangeBatch((), revision)
        body = changed if isinstance(changed, bytes) else encode_digest(changed)
        entry = Entry(LOAD_KEY, body, revision + 1)
        other = Entry(f'{LOAD_KEY}/other', b'{', revision + 1)
        changes = [Change(each.key, each, 1) for each in (other, entry)]
        return ChangeBatch(tuple(changes), revision + 1)


@pytest.mark.parametrize(
    ('answers', 'is_refused'),
    [
        # A digest that was read, or that arrives after a long call, may be old.
        pytest.param([], False, marks=BASELINE),
        pytest.param([(WATCH_WAIT_MS, _digest(1))], False, marks=BASELINE),
        pytest.param(
            [(WATCH_WAIT_MS, _digest(1)), (500, _digest(2))],
            False,
            marks=BASELINE,
        ),
        (
            [(0, _digest(1)), (500, _digest(2)), (500, _digest(3))],
            True,
        ),
        ([(500, _digest(2)), (500, b'{'), (500, None)], True),
        ([(500, _digest(2)), (MAX_DIGEST_AGE_MS, None)], False),
    ],
)
def test_only_a_digest_written_lately_refuses(
    monkeypatch: pytest.MonkeyPatch,
    answers: list[tuple[int, LoadDigest | bytes | None]],
    is_refused: bool,
) -> None:
    """Guards against refusals by a digest that a former leader left, or that
    was received before this process was suspended."""
    store = _Store(monkeypatch)
    store.stored = Entry(LOAD_KEY, encode_digest(_digest(0)), 1)
    store.answers = iter(answers)
    watch = LoadWatch(store, create_counters(), EventLog())
    monkeypatch.setattr(watch, 'pause', lambda seconds: None)
    monkeypatch.setattr('time.time_ns', int)
    watch.step()
    policy = replace(SPEC.policy, queue='q')
    assert bool(watch.refusal(SPEC.with_policy(policy))) is is_refused
    assert set(store.waits) == {WATCH_WAIT_MS}
    assert len(store.waits) == len(answers) + 1
