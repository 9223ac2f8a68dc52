"""An entry instance on the platform: its components, start and shutdown."""

import os
import threading
from collections.abc import Callable
from dataclasses import fields
from functools import partial
from pathlib import Path
from typing import Final

from cheroot.wsgi import Server

from gentianpulley.cluster.caller_check import CallerCheck
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.entry_job_store import EntryJobStore
from gentianpulley.cluster.leader import LeaderDependencies
from gentianpulley.cluster.load_watch import create_load_watch
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.cluster.submissions import Submissions
from gentianpulley.cluster.timing import create_timing
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms, seconds_left
from gentianpulley.errors import SettingsError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.messages import bad_setting
from gentianpulley.platform.advice_client import create_adviser
from gentianpulley.platform.directory import create_directory
from gentianpulley.platform.ingress import (
    FRONT_THREADS,
    READY_THREADS,
    Ingress,
    MetricsApp,
    ReadinessApp,
    ShutdownFlag,
    create_server,
)
from gentianpulley.platform.kv_store import connect_kv_store
from gentianpulley.platform.machine_client import create_machine_provider
from gentianpulley.platform.daemon_settings import (
    PlatformDaemonSettings,
    load_platform_daemon_settings,
)
from gentianpulley.platform.operator_watch import OperatorWatch
from gentianpulley.platform.worker_client import HttpWorkerClientFactory

SETTINGS_ENV_VAR: Final = 'GENTIANPULLEY_NODE_FILE'

LIST_POLL_WAIT_MS: Final = 1500
"""How long a poll of a worker waits for a run to end: interference must be
reported well within its limit of a few seconds, and each poll has a cost."""

LISTENER_CLOSE_FRACTION: Final = 0.6
"""Fraction of the grace period after which the front closes. By then the load
balancer has removed the instance, which takes two seconds."""

EXIT_FRACTION: Final = 0.9
"""Fraction of the grace period after which the process ends, even if a request
still waits for the store; the rest is left for the interpreter to exit."""


class PlatformDaemon:
    """One entry instance on the platform."""

    def __init__(self, settings: PlatformDaemonSettings, log: EventLog) -> None:
        """Build all components without opening any connection."""
        self._settings = settings
        self._log = log
        self._stopping = ShutdownFlag()
        limits = settings.bounds
        counters = create_counters()
        store = connect_kv_store(settings.store, counters)
        self._table = QueueTable(log)
        timing = create_timing(
            limits.max_lease_ms,
            limits.contact_ms,
            limits.stop_ms,
            LIST_POLL_WAIT_MS,
            limits.restore_ms,
            limits.harm_ms,
        )
        components = LeaderDependencies(
            store=store,
            directory=create_directory(store, log),
            worker_client_factory=HttpWorkerClientFactory(
                timing.max_response_margin_ms
            ),
            advice_service=create_adviser(settings.adviser),
            machine_provider=create_machine_provider(
                settings.machines, settings.instance
            ),
            timing=timing,
            status_ms=limits.status_ms,
            maintenance_ms=limits.upkeep_ms,
            counters=counters,
            log=log,
            link_bytes_s=settings.capacity.link_bytes_s,
        )
        local_candidate = Candidate(
            settings.instance, settings.capacity, str(settings.front)
        )
        self._elector = LeaderElector(
            local_candidate, components, self.is_ready
        )
        self._watch = OperatorWatch(store, self._table, self._elector, log)
        self._load_watch = create_load_watch(store, counters, log)
        submissions = Submissions(
            EntryJobStore(store, log), log, self._load_watch
        )
        ingress = Ingress(
            self._table,
            CallerCheck(
                self._is_cfg_fresh, always_in_force=settings.has_customers
            ),
            submissions,
            self._stopping,
            counters,
            log,
        )
        self._front_server = create_server(
            settings.front, ingress, FRONT_THREADS
        )
        self._metrics_server = create_server(
            settings.metrics, MetricsApp(counters), READY_THREADS
        )
        self._ready_server = create_server(
            settings.ready, ReadinessApp(self.is_ready), READY_THREADS
        )

    @property
    def front_address(self) -> HttpAddress:
        """Return the address that callers connect to."""
        return self._settings.front

    @property
    def readiness_address(self) -> HttpAddress:
        """Return the address that the load balancer checks for readiness."""
        return self._settings.ready

    @property
    def metrics_address(self) -> HttpAddress:
        """Return the address at which metrics are served."""
        return self._settings.metrics

    @property
    def is_leading(self) -> bool:
        """Return whether this instance is currently the leader."""
        return self._elector.is_leading

    def start(self) -> None:
        """Listen and serve; raises `OSError` if an address is taken."""
        for server in self._servers():
            server.prepare()
            _run(partial(_serve, server, self._log))
        self._watch.start()
        self._load_watch.start()
        self._elector.start()
        self._log.process_state('started')

    def is_ready(self) -> bool:
        """Return whether the instance accepts new connections.

        Jobs are stored before they are accepted, so an instance that cannot
        reach the store can serve nothing that others do not serve better.
        """
        if self._stopping.is_set or self._table.cfg is None:
            return False
        since_contact_ms = now_ms() - self._watch.last_contact_ms
        return since_contact_ms < self._settings.bounds.contact_ms

    def shut_down(self) -> None:
        """Hand over leadership, keep serving requests, then close."""
        started_ms = now_ms()
        self._log.process_state('draining')
        self._stopping.is_set = True
        grace_ms = self._settings.bounds.grace_ms
        close_listeners_ms = started_ms + int(
            grace_ms * LISTENER_CLOSE_FRACTION
        )
        exit_ms = started_ms + int(grace_ms * EXIT_FRACTION)
        # Each of these may block on a store that does not respond.
        handover = _run(partial(self._elector.hand_over, close_listeners_ms))
        threading.Event().wait(seconds_left(close_listeners_ms))
        stops = [_run(server.stop) for server in self._servers()]
        for thread in (handover, *stops):
            thread.join(seconds_left(exit_ms))
        self._log.process_state('stopped')

    def reload(self) -> None:
        """Re-read the settings; changes that need a restart are only logged."""
        try:
            settings = load_platform_daemon_settings(settings_path())
        except SettingsError as exc:
            self._log.settings_reloaded(f'kept, because {exc.text}')
            return
        self._log.settings_reloaded(_differences(self._settings, settings))

    def _is_cfg_fresh(self) -> bool:
        """Return whether a newer cfg would be known within its limit."""
        age_ms = now_ms() - self._watch.known_until_ms
        return age_ms < self._settings.bounds.config_apply_ms

    def _servers(self) -> tuple[Server, ...]:
        return self._front_server, self._ready_server, self._metrics_server


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises `SettingsError` if the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_ENV_VAR, '')
    if not path:
        raise SettingsError(bad_setting(SETTINGS_ENV_VAR, path))
    return Path(path)


def _differences(
    current: PlatformDaemonSettings, updated: PlatformDaemonSettings
) -> str:
    names = [
        spec.name
        for spec in fields(current)
        if getattr(current, spec.name) != getattr(updated, spec.name)
    ]
    return ','.join(names) or 'nothing'


def _run(target: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=target, daemon=True)
    thread.start()
    return thread


def _serve(server: Server, log: EventLog) -> None:
    try:
        server.serve()
    except Exception as exc:
        log.internal_fault(repr(exc))
