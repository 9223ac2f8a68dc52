"""Callers that request the number of waiting jobs get it by their deadline.

A count reads every waiting key of its queue: each caller used to read all
pages again, however long that took.
"""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from gentianpulley.cluster import prefix_counts
from gentianpulley.cluster.entry_job_store import EntryJobStore
from gentianpulley.cluster.submissions import (
    RequestResult,
    RequestOutcome,
    Submissions,
)
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in, has_passed
from gentianpulley.errors import StoreRefusedError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.store import Entry, Page
from standins.grid_site import wait_until

CALLERS = 12
PAGES = 5
PAGE_S = 0.1
SHORT_MS = 150
LONG_MS = 5000


class SlowStore(KvStore):
    """A store with five slow pages of one waiting key each."""

    def __init__(self) -> None:
        """Start with no reads."""
        super().__init__(HttpAddress('127.0.0.1', 1), create_counters())
        self.pages = 0
        self.fails = False
        self.is_faulty = False
        self.lock = threading.Lock()
        self.released = threading.Event()
        self.released.set()

    def read_page(self, prefix: str, after: str) -> Page:
        """Return the next page."""
        time.sleep(PAGE_S)
        self.released.wait(LONG_MS / MS_PER_SECOND)
        with self.lock:
            self.pages += 1
        if self.fails:
            raise StoreRefusedError('busy')
        if self.is_faulty:
            raise ValueError('internal error')
        number = int(after.removeprefix(prefix) or '0') + 1
        waiting_key = Entry(f'{prefix}{number}', b'', 1)
        return Page((waiting_key,), 1, is_last=number == PAGES)


@pytest.fixture
def store() -> SlowStore:
    return SlowStore()


@pytest.fixture
def submissions(store: SlowStore) -> Submissions:
    return Submissions(EntryJobStore(store, EventLog()), EventLog())


def _count(submissions: Submissions, wait_ms: int = LONG_MS) -> RequestResult:
    return submissions.count_waiting('queue', deadline_in(wait_ms))


def test_callers_that_ask_at_once_share_one_read(
    store: SlowStore, submissions: Submissions
) -> None:
    with ThreadPoolExecutor(CALLERS) as callers:
        requests = [callers.submit(_count, submissions) for _ in range(CALLERS)]
    assert {each.result().waiting for each in requests} == {PAGES}
    assert store.pages == PAGES


def test_a_caller_is_answered_before_its_deadline(
    store: SlowStore, submissions: Submissions
) -> None:
    store.released.clear()
    latest_ms = deadline_in(LONG_MS // 2)
    result = _count(submissions, SHORT_MS)
    assert not has_passed(latest_ms)
    store.released.set()
    assert result.outcome is RequestOutcome.REFUSED
    assert result.retry_after_s


def test_a_read_ends_once_nobody_waits_for_it(
    store: SlowStore, submissions: Submissions
) -> None:
    _count(submissions, SHORT_MS)
    threading.Event().wait(PAGES * PAGE_S)
    assert store.pages < PAGES


def test_a_caller_that_waits_longer_gets_the_count(
    store: SlowStore, submissions: Submissions
) -> None:
    with ThreadPoolExecutor(2) as callers:
        long_request = callers.submit(_count, submissions, LONG_MS)
        short_request = callers.submit(_count, submissions, SHORT_MS)
    assert short_request.result().outcome is RequestOutcome.REFUSED
    assert long_request.result().waiting == PAGES
    assert store.pages == PAGES


def test_a_count_is_kept_for_a_while_only(
    store: SlowStore,
    submissions: Submissions,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for _ in range(3):
        assert _count(submissions).waiting == PAGES
    assert store.pages == PAGES
    monkeypatch.setattr(prefix_counts, 'MAX_COUNT_AGE_MS', 0)
    assert _count(submissions).waiting == PAGES
    assert store.pages == 2 * PAGES


def test_a_failure_is_told_to_those_who_waited_only(
    store: SlowStore, submissions: Submissions
) -> None:
    store.fails = True
    assert _count(submissions).outcome is RequestOutcome.REFUSED
    store.fails = False
    wait_until(lambda: _count(submissions).waiting == PAGES)
    assert store.pages == 1 + PAGES


def test_a_read_that_ends_by_a_fault_holds_up_no_later_one(
    store: SlowStore, submissions: Submissions
) -> None:
    """That read never counted as ended, so nothing was counted again."""
    store.is_faulty = True
    latest_ms = deadline_in(LONG_MS // 2)
    assert _count(submissions).outcome is RequestOutcome.REFUSED
    assert not has_passed(latest_ms)
    store.is_faulty = False
    wait_until(lambda: _count(submissions).waiting == PAGES)


def test_queues_are_counted_apart(
    store: SlowStore, submissions: Submissions
) -> None:
    _count(submissions)
    other = submissions.count_waiting('other', deadline_in(LONG_MS))
    assert other.waiting == PAGES
    assert store.pages == 2 * PAGES
