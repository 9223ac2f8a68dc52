"""Follows what operators write: the cfg and the evacuated domains."""

from collections.abc import Callable
from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.queues import (
    QueueAddress,
    QueueCfg,
    QueueRule,
    QueueTable,
)
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.spec import AdvicePolicy, QueuePolicy
from gentianpulley.logs import EventLog
from gentianpulley.platform.wire import (
    CFG_DECODER,
    WireAdvice,
    WireCfg,
    WireRoute,
)
from gentianpulley.store import ChangeBatch, Entry, Store

OPERATOR_PREFIX: Final = 'op/'
CFG_KEY: Final = 'op/config'
EVACUATE_PREFIX: Final = 'op/evacuate/'

RETRY_S: Final = 0.2
"""Pause after the watch broke, before everything is read anew."""

DomainListener = Callable[[frozenset[str]], None]


class OperatorWatch(BackgroundLoop):
    """Keeps the queue table and the closed domains up to date."""

    def __init__(
        self,
        store: Store,
        table: QueueTable,
        on_domains: DomainListener,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('operator-watch', RETRY_S, log)
        self._store = store
        self._table = table
        self._on_domains = on_domains
        self._closed: frozenset[str] = frozenset()
        self._has_store = True
        self.heard_ms = 0

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
        for entry in snapshot.entries:
            self._note_cfg(entry)
        for batch in self._store.watch(OPERATOR_PREFIX, snapshot.revision):
            self._note_heard()
            self._note_batch(batch)
            if self.is_stopping:
                break

    def _note_heard(self) -> None:
        self.heard_ms = now_ms()
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
            elif change.entry is not None:
                self._note_cfg(change.entry)
        self._close(frozenset(closed))

    def _close(self, domains: frozenset[str]) -> None:
        if domains != self._closed:
            self._closed = domains
            self.log.dependency('domains', 'closed', ','.join(sorted(domains)))
            self._on_domains(domains)

    def _note_cfg(self, entry: Entry) -> None:
        if entry.key != CFG_KEY:
            return
        try:
            wire = CFG_DECODER.decode(entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self._table.offer(queue_cfg(wire))


def queue_cfg(wire: WireCfg) -> QueueCfg:
    """Return the queues of a configuration."""
    return QueueCfg(
        wire.version,
        tuple(map(_rule, wire.routes)),
        wire.limits.max_body_bytes,
    )


def _advice(wire: WireAdvice | None) -> AdvicePolicy | None:
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
    address = QueueAddress(route.host, route.prefix)
    return QueueRule(address, policy, route.timeout_ms)
