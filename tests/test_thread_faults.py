"""An unexpected error ends no thread: it is logged, and the thread goes on."""

import threading
from collections.abc import Callable, Iterator
from typing import Any, Final

import pytest

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.job_watches import CancellationWatch, JobWatch
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.scheduler_service import (
    Leadership,
    SchedulerService,
)
from gentianpulley.cluster.session_loop import start_session_loop
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import GentianpulleyError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import connect_kv_store
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from tests.leader_bench import create_leader

TERM_MS: Final = 60_000
SHORT_S: Final = 0.001
FAULTS: Final = (ValueError('internal error'), GentianpulleyError('error'))


class FaultRecorder(EventLog):
    """Records unexpected errors."""

    def __init__(self) -> None:
        """Start without errors."""
        super().__init__()
        self.faults: list[str] = []

    def internal_fault(self, detail: str) -> None:
        """Record an error."""
        self.faults.append(detail)


class FailingLoop(BackgroundLoop):
    """Fails in each step."""

    def __init__(self, fault: Exception, log: EventLog) -> None:
        """Start at zero."""
        super().__init__('failing', SHORT_S, log)
        self.steps = 0
        self._fault = fault

    def step(self) -> None:
        """Count the step and fail."""
        self.steps += 1
        raise self._fault


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return an empty store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@pytest.mark.proof('loop-goes-on')
@pytest.mark.parametrize('fault', FAULTS, ids=['unexpected', 'own'])
def test_a_loop_goes_on_after_a_fault(fault: Exception) -> None:
    """Elections, operators' keys, waves and advice run in such loops."""
    log = FaultRecorder()
    loop = FailingLoop(fault, log)
    loop.start()
    wait_until(lambda: loop.steps > 2, 3)
    loop.stop()
    assert len(log.faults) >= 2


@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (SchedulerService, 'plan'),
        (WorkerWatch, 'refresh_roster'),
        (WorkerWatch, 'watch_changes'),
        (JobWatch, 'watch_changes'),
        (CancellationWatch, 'watch_changes'),
    ],
)
def test_a_thread_of_a_leader_goes_on_after_a_fault(
    store: GridStore, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    method: Callable[..., Any] = getattr(owner, name)
    calls: list[str] = []

    def fail_once(*args: Any) -> Any:
        calls.append(name)
        if len(calls) == 1:
            raise ValueError('internal error')
        return method(*args)

    monkeypatch.setattr(owner, name, fail_once)
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    term = Leadership(deadline_in(TERM_MS), deadline_in(TERM_MS))
    leader = create_leader(store, client, term)
    leader.open()
    wait_until(lambda: len(calls) > 1, 3)
    leader.close()


@pytest.mark.proof('callback-alone')
def test_a_fault_of_one_callback_of_a_loop_loses_no_other() -> None:
    """Callbacks that were handed over together were lost together."""
    session_loop = start_session_loop()
    blocked = threading.Event()
    seen: list[int] = []

    def block() -> None:
        blocked.wait(1)

    def fail() -> None:
        raise ValueError('internal error')

    session_loop.call(block)
    session_loop.call(fail)
    session_loop.call(lambda: seen.append(1))
    blocked.set()
    wait_until(lambda: seen, 2)
    session_loop.close()
