"""Background load for failure tests."""

import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from types import TracebackType
from typing import Any

from urllib3.exceptions import HTTPError

from standins.site import Site
from tests.cluster_helpers import RequestSpec, status, submit

CLASSES = ('fit-preview', 'last-build', 'scaling-run')
TASKS = {
    'fit-preview': {'run_ms': 10},
    'last-build': {'run_ms': 150},
    'scaling-run': {'run_ms': 600},
}
PAUSE_S = {'fit-preview': 0.02, 'last-build': 0.1, 'scaling-run': 0.3}
CONFIRM_TIMEOUT_S = 30.0


@dataclass
class SentRequest:
    """The last known outcome of a request that a caller sent."""

    spec: RequestSpec
    entry: str
    outcome: str = 'unknown'
    is_unrecorded: bool = False
    is_final: bool = False


class BackgroundLoad:
    """One caller for each class at each entry, inside a `with` block.

    At the end of the block, the entries are polled until the outcome of all
    recorded work is known or `CONFIRM_TIMEOUT_S` has passed.
    """

    def __init__(
        self,
        site: Site,
        entries: tuple[str, ...],
        classes: tuple[str, ...] = CLASSES,
    ) -> None:
        """Create a thread for each entry and class."""
        self._site = site
        self._entries = entries
        self._stopping = threading.Event()
        self._sent: list[SentRequest] = []
        self._threads = [
            threading.Thread(
                target=self._call, args=(entry, work_class), daemon=True
            )
            for entry in entries
            for work_class in classes
        ]

    def __enter__(self) -> 'BackgroundLoad':
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the callers and resolve the requests that they sent."""
        self._stopping.set()
        until = time.monotonic() + CONFIRM_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0.1, until - time.monotonic()))
        self._resolve_all(time.monotonic() + CONFIRM_TIMEOUT_S)

    def outcomes(self) -> dict[str, str]:
        """Return the last outcome of each request key."""
        return {sent.spec.key: sent.outcome for sent in self._sent}

    def count(self, outcome: str, work_class: str = '') -> int:
        """Return how many requests, of a class if given, have this outcome."""
        return sum(
            sent.outcome == outcome and work_class in {'', sent.spec.work_class}
            for sent in self._sent
        )

    def _call(self, entry: str, work_class: str) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            spec = RequestSpec(
                f'{entry}-{work_class}-{number}',
                work_class,
                TASKS[work_class],
                deadline_ms=4000 if work_class == 'fit-preview' else 40_000,
            )
            sent = SentRequest(spec, entry)
            self._sent.append(sent)
            wait_ms = 0 if work_class == 'scaling-run' else 4000
            self._record_outcome(
                sent, lambda: submit(self._site, entry, spec, wait_ms)
            )
            time.sleep(PAUSE_S[work_class])

    def _resolve_all(self, until: float) -> None:
        """Poll pending recorded work until it is resolved or time is up."""
        pending_work = self._pending_work()
        while pending_work and time.monotonic() < until:
            for sent in pending_work:
                if time.monotonic() < until:
                    self._query_entries(sent)
            time.sleep(0.2)
            pending_work = self._pending_work()

    def _query_entries(self, sent: SentRequest) -> None:
        for entry in self._running_entries():
            self._record_outcome(sent, lambda: self._query_status(entry, sent))

    def _pending_work(self) -> list[SentRequest]:
        return [
            sent
            for sent in tuple(self._sent)
            if sent.outcome in {'unknown', 'pending'}
            and sent.spec.work_class != 'fit-preview'
            and not sent.is_unrecorded
            and not sent.is_final
        ]

    def _running_entries(self) -> list[str]:
        return [
            entry for entry in self._entries if self._site.is_running(entry)
        ]

    def _query_status(self, entry: str, sent: SentRequest) -> Any:
        response = status(self._site, entry, sent.spec.key, 0)
        # A key without a record is inconclusive about the first attempt.
        if response['name'] == 'UNKNOWN_KEY':
            sent.is_unrecorded = True
            response['outcome'] = sent.outcome
        # A record with the outcome unknown is final.
        sent.is_final = response['name'] == 'OUTCOME_UNKNOWN'
        return response

    def _record_outcome(self, sent: SentRequest, send: Any) -> None:
        with suppress(HTTPError):
            sent.outcome = send()['outcome']
