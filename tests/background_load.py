"""Callers in the background of a failure test."""

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
    """The last that a caller heard of its request."""

    spec: RequestSpec
    entry: str
    outcome: str = 'unknown'
    is_unrecorded: bool = False
    is_final: bool = False


class BackgroundLoad:
    """One caller for each class at each entry, inside a `with` block.

    At its end, recorded work is asked for until its outcome is known.
    """

    def __init__(
        self,
        site: Site,
        entries: tuple[str, ...],
        classes: tuple[str, ...] = CLASSES,
    ) -> None:
        """Send to the entries what the classes do."""
        self._site = site
        self._entries = entries
        self._stopping = threading.Event()
        self._heard: list[SentRequest] = []
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
        """Stop the callers and settle what they sent."""
        self._stopping.set()
        until = time.monotonic() + CONFIRM_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0.1, until - time.monotonic()))
        self._settle_all(time.monotonic() + CONFIRM_TIMEOUT_S)

    def outcomes(self) -> dict[str, str]:
        """Return the last outcome of each request key."""
        return {heard.spec.key: heard.outcome for heard in self._heard}

    def count(self, outcome: str, work_class: str = '') -> int:
        """Return how many requests, of a class if given, came to this."""
        return sum(
            heard.outcome == outcome
            and work_class in {'', heard.spec.work_class}
            for heard in self._heard
        )

    def _call(self, entry: str, work_class: str) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            ask = RequestSpec(
                f'{entry}-{work_class}-{number}',
                work_class,
                TASKS[work_class],
                deadline_ms=4000 if work_class == 'fit-preview' else 40_000,
            )
            heard = SentRequest(ask, entry)
            self._heard.append(heard)
            wait_ms = 0 if work_class == 'scaling-run' else 4000
            self._note(heard, lambda: submit(self._site, entry, ask, wait_ms))
            time.sleep(PAUSE_S[work_class])

    def _settle_all(self, until: float) -> None:
        """Ask for open recorded work until it is settled or time is up."""
        open_work = self._open_work()
        while open_work and time.monotonic() < until:
            for heard in open_work:
                if time.monotonic() < until:
                    self._ask_all(heard)
            time.sleep(0.2)
            open_work = self._open_work()

    def _ask_all(self, heard: SentRequest) -> None:
        for entry in self._running_entries():
            self._note(heard, lambda: self._ask_again(entry, heard))

    def _open_work(self) -> list[SentRequest]:
        return [
            heard
            for heard in tuple(self._heard)
            if heard.outcome in {'unknown', 'pending'}
            and heard.spec.work_class != 'fit-preview'
            and not heard.is_unrecorded
            and not heard.is_final
        ]

    def _running_entries(self) -> list[str]:
        return [
            entry for entry in self._entries if self._site.is_running(entry)
        ]

    def _ask_again(self, entry: str, heard: SentRequest) -> Any:
        answer = status(self._site, entry, heard.spec.key, 0)
        # A key without a record says nothing of the request's first try.
        if answer['name'] == 'UNKNOWN_KEY':
            heard.is_unrecorded = True
            answer['outcome'] = heard.outcome
        # A record that ends as unknown will never say more.
        heard.is_final = answer['name'] == 'OUTCOME_UNKNOWN'
        return answer

    def _note(self, heard: SentRequest, ask: Any) -> None:
        with suppress(HTTPError):
            heard.outcome = ask()['outcome']
