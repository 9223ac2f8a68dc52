"""Callers that ask how many jobs wait get an answer in their time.

A count reads every mark of its queue: each caller read all pages anew, for as
long as that took.
"""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from gentianpulley.cluster import prefix_counts
from gentianpulley.cluster.job_storage import EntryJobStore
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
SOON_MS = 150
LONG_MS = 5000


class SlowStore(KvStore):
    """Five pages of one mark each, each of which takes a while."""

    def __init__(self) -> None:
        """Read nothing yet."""
        super().__init__(HttpAddress('127.0.0.1', 1), create_counters())
        self.pages = 0
        self.fails = False
        self.is_faulty = False
        self.lock = threading.Lock()
        self.answers = threading.Event()
        self.answers.set()

    def read_page(self, prefix: str, after: str) -> Page:
        """Return the next page."""
        time.sleep(PAGE_S)
        self.answers.wait(LONG_MS / MS_PER_SECOND)
        with self.lock:
            self.pages += 1
        if self.fails:
            raise StoreRefusedError('busy')
        if self.is_faulty:
            raise ValueError('a fault of the program')
        number = int(after.removeprefix(prefix) or '0') + 1
        mark = Entry(f'{prefix}{number}', b'', 1)
        return Page((mark,), 1, is_last=number == PAGES)


@pytest.fixture
def store() -> SlowStore:
    return SlowStore()


@pytest.fixture
def submissions(store: SlowStore) -> Submissions:
    return Submissions(EntryJobStore(store, EventLog()), EventLog())


def _ask(submissions: Submissions, wait_ms: int = LONG_MS) -> RequestResult:
    return submissions.count_waiting('queue', deadline_in(wait_ms))


def test_callers_that_ask_at_once_share_one_read(
    store: SlowStore, submissions: Submissions
) -> None:
    with ThreadPoolExecutor(CALLERS) as callers:
        asked = [callers.submit(_ask, submissions) for _ in range(CALLERS)]
    assert {each.result().waiting for each in asked} == {PAGES}
    assert store.pages == PAGES


def test_a_caller_is_answered_before_its_deadline(
    store: SlowStore, submissions: Submissions
) -> None:
    store.answers.clear()
    latest_ms = deadline_in(LONG_MS // 2)
    answer = _ask(submissions, SOON_MS)
    assert not has_passed(latest_ms)
    store.answers.set()
    assert answer.outcome is RequestOutcome.REFUSED
    assert answer.retry_after_s


def test_a_read_ends_once_nobody_waits_for_it(
    store: SlowStore, submissions: Submissions
) -> None:
    _ask(submissions, SOON_MS)
    threading.Event().wait(PAGES * PAGE_S)
    assert store.pages < PAGES


def test_a_caller_that_waits_longer_gets_the_count(
    store: SlowStore, submissions: Submissions
) -> None:
    with ThreadPoolExecutor(2) as callers:
        patient = callers.submit(_ask, submissions, LONG_MS)
        hasty = callers.submit(_ask, submissions, SOON_MS)
    assert hasty.result().outcome is RequestOutcome.REFUSED
    assert patient.result().waiting == PAGES
    assert store.pages == PAGES


def test_a_count_is_kept_for_a_while_only(
    store: SlowStore,
    submissions: Submissions,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for _ in range(3):
        assert _ask(submissions).waiting == PAGES
    assert store.pages == PAGES
    monkeypatch.setattr(prefix_counts, 'MAX_COUNT_AGE_MS', 0)
    assert _ask(submissions).waiting == PAGES
    assert store.pages == 2 * PAGES


def test_a_failure_is_told_to_those_who_waited_only(
    store: SlowStore, submissions: Submissions
) -> None:
    store.fails = True
    assert _ask(submissions).outcome is RequestOutcome.REFUSED
    store.fails = False
    wait_until(lambda: _ask(submissions).waiting == PAGES)
    assert store.pages == 1 + PAGES


def test_a_read_that_ends_by_a_fault_holds_up_no_later_one(
    store: SlowStore, submissions: Submissions
) -> None:
    """Nothing was ever counted again, as that read never ended."""
    store.is_faulty = True
    latest_ms = deadline_in(LONG_MS // 2)
    assert _ask(submissions).outcome is RequestOutcome.REFUSED
    assert not has_passed(latest_ms)
    store.is_faulty = False
    wait_until(lambda: _ask(submissions).waiting == PAGES)


def test_queues_are_counted_apart(
    store: SlowStore, submissions: Submissions
) -> None:
    _ask(submissions)
    other = submissions.count_waiting('other', deadline_in(LONG_MS))
    assert other.waiting == PAGES
    assert store.pages == 2 * PAGES
