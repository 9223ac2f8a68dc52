"""Follows what operators write: the cfg, evacuated domains and waves."""

from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.queues import (
    QueueRoute,
    QueueCfg,
    QueueRule,
    QueueTable,
)
from gentianpulley.deadline import MS_PER_SECOND, deadline_in, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.spec import AdvicePolicy, QueuePolicy
from gentianpulley.logs import EventLog
from gentianpulley.platform.wire import (
    CFG_DECODER,
    WAVE_DECODER,
    WireAdvicePolicy,
    WireCfg,
    WireRoute,
)
from gentianpulley.store import ChangeBatch, Entry, Store

OPERATOR_PREFIX: Final = 'op/'
CFG_KEY: Final = 'op/config'
EVACUATE_PREFIX: Final = 'op/evacuate/'
WAVE_PREFIX: Final = 'op/wave/'

RETRY_DELAY_S: Final = 0.2
"""Pause after the watch broke, before everything is read anew."""


class OperatorWatch(BackgroundLoop):
    """Keeps the queue table, closed domains and waves up to date."""

    def __init__(
        self,
        store: Store,
        table: QueueTable,
        listener: OperatorListener,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('operator-watch', RETRY_DELAY_S, log)
        self._store = store
        self._table = table
        self._listener = listener
        self._closed: frozenset[str] = frozenset()
        self._waves: dict[str, WaveRequest] = {}
        self._has_store = True
        self.last_contact_ms = 0

    def step(self) -> None:
        """Read everything, then follow the changes until the watch breaks."""
        try:
            self._follow()
        except StoreError as exc:
            if self._has_store:
                self.log.dependency('store', 'lost', exc.text)
            self._has_store = False

    def _follow(self) -> None:
        snapshot = self._store.read_prefix(OPERATOR_PREFIX)
        self._note_heard()
        closed = {
            entry.key.removeprefix(EVACUATE_PREFIX)
            for entry in snapshot.entries
            if entry.key.startswith(EVACUATE_PREFIX)
        }
        self._close(frozenset(closed))
        known = {entry.key for entry in snapshot.entries}
        for key in self._waves.keys() - known:
            self._waves.pop(key)
        for entry in snapshot.entries:
            self._note_cfg(entry)
            self._note_wave(entry)
        self._tell_waves()
        for batch in self._store.watch(OPERATOR_PREFIX, snapshot.revision):
            self._note_heard()
            self._note_batch(batch)
            if self.is_stopping:
                break

    def _note_heard(self) -> None:
        self.last_contact_ms = now_ms()
        if not self._has_store:
            self.log.dependency('store', 'regained')
        self._has_store = True

    def _note_batch(self, batch: ChangeBatch) -> None:
        closed = set(self._closed)
        for change in batch.changes:
            if change.key.startswith(EVACUATE_PREFIX):
                domain = change.key.removeprefix(EVACUATE_PREFIX)
                closed.discard(domain)
                if change.entry is not None:
                    closed.add(domain)
            elif change.entry is None:
                self._waves.pop(change.key, None)
            else:
                self._note_cfg(change.entry)
                self._note_wave(change.entry)
        self._close(frozenset(closed))
        self._tell_waves()

    def _close(self, domains: frozenset[str]) -> None:
        if domains != self._closed:
            self._closed = domains
            self.log.dependency('domains', 'closed', ','.join(sorted(domains)))
            self._listener.replace_closed_domains(domains)

    def _note_wave(self, entry: Entry) -> None:
        """Take a wave; its time counts from when it was first seen."""
        if not entry.key.startswith(WAVE_PREFIX) or entry.key in self._waves:
            return
        try:
            wire = WAVE_DECODER.decode(entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self._waves[entry.key] = WaveRequest(
            wire.wave,
            wire.machine_ids,
            deadline_in(int(wire.within_s * MS_PER_SECOND)),
            max(1, wire.at_most),
        )

    def _tell_waves(self) -> None:
        self._listener.replace_wave_requests(tuple(self._waves.values()))

    def _note_cfg(self, entry: Entry) -> None:
        if entry.key != CFG_KEY:
            return
        try:
            wire = CFG_DECODER.decode(entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self._table.update(queue_cfg(wire))


def queue_cfg(wire: WireCfg) -> QueueCfg:
    """Return the queues of a configuration."""
    return QueueCfg(
        wire.version,
        tuple(map(_rule, wire.routes)),
        wire.limits.max_body_bytes,
    )


def _advice(wire: WireAdvicePolicy | None) -> AdvicePolicy | None:
    if wire is None:
        return None
    return AdvicePolicy(wire.decide_ms, wire.each_ms, wire.valid_ms)


def _rule(route: WireRoute) -> QueueRule:
    policy = QueuePolicy(
        queue=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_latency_ms=route.target_latency_ms,
        advice=_advice(route.advice),
    )
    address = QueueRoute(route.host, route.prefix)
    return QueueRule(address, policy, route.timeout_ms)
