"""Creates leaders over a fake store, without an election."""

import pytest

from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.leader import Leader, LeaderDependencies
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.cluster.timing import create_timing
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in
from gentianpulley.logs import EventLog
from gentianpulley.platform import kv_store
from gentianpulley.platform.directory import create_directory
from gentianpulley.platform.worker_client import HttpWorkerClientFactory
from gentianpulley.store import Precondition, Store
from standins.grid_store import GridStore

TIMING = create_timing(
    max_lease_ms=6000, contact_ms=3000, stop_ms=900, poll_wait_ms=1000
)


LASTING_MS = 600_000
"""Longer than any test: nobody renews the key of such a leader."""


PATIENCE_MS = 60_000


def await_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let clients of the store wait for each response, however late.

    For tests of other things than a store that is slow.
    """
    for kind in ('CALL', 'COMMIT', 'IDLE'):
        monkeypatch.setattr(kv_store, f'{kind}_TIMEOUT_MS', PATIENCE_MS)


def create_leader(
    server: GridStore, client: Store, leadership: Leadership | None = None
) -> Leader:
    """Return a leader under a new token."""
    token = server.put(LEADER_KEY, {})
    log = EventLog()
    dependencies = LeaderDependencies(
        store=client,
        directory=create_directory(client, log),
        worker_client_factory=HttpWorkerClientFactory(),
        advice_service=None,
        machine_provider=None,
        timing=TIMING,
        status_ms=120_000,
        maintenance_ms=2000,
        counters=create_counters(),
        log=log,
    )
    if leadership is None:
        until_ms = deadline_in(LASTING_MS)
        leadership = Leadership(until_ms, until_ms)
    return Leader(dependencies, Precondition(LEADER_KEY, token), leadership)
