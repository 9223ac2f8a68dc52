"""Watches the operators' keys: cfg, evacuated domains and maintenance waves."""

from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.customers import Customer, create_customers
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
from gentianpulley.json_decoding import decode_json
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import WATCH_WAIT_MS
from gentianpulley.platform.wire import (
    CFG_DECODER,
    WAVE_DECODER,
    WireAdvicePolicy,
    WireCfg,
    WireRoute,
    WireTenant,
)
from gentianpulley.resources import Resources
from gentianpulley.store import ChangeBatch, Entry, Snapshot, Store

OPERATOR_PREFIX: Final = 'op/'
CFG_KEY: Final = 'op/config'
EVACUATE_PREFIX: Final = 'op/evacuate/'
WAVE_PREFIX: Final = 'op/wave/'

RETRY_DELAY_S: Final = 0.2
"""Pause after the watch has failed, before everything is re-read."""

MAX_ANSWER_AGE_MS: Final = 700
"""Maximum age of an answer of the watch; after an older one, everything is
re-read. The next answer may take the wait of a watch and its margin, 2.3 s,
and a cfg may be used for 3 s after it was known to be the newest."""


class OperatorWatch(BackgroundLoop):
    """Keeps the queue table, closed failure domains and waves up to date.

    `last_contact_ms` is the time of the last response of the store. All changes
    that the store applied before `known_until_ms` are known.
    """

    def __init__(
        self,
        store: Store,
        table: QueueTable,
        listener: OperatorListener,
        log: EventLog,
    ) -> None:
        """Prepare the thread without starting it."""
        super().__init__('operator-watch', RETRY_DELAY_S, log)
        self._store = store
        self._table = table
        self._listener = listener
        self._closed_domains: frozenset[str] = frozenset()
        self._wave_requests: dict[str, WaveRequest] = {}
        self._wave_bodies: dict[str, bytes] = {}
        self._has_store = True
        self._has_read = False
        self.last_contact_ms = 0
        self.known_until_ms = 0

    def step(self) -> None:
        """Read everything, then apply changes until the watch fails."""
        try:
            self._follow()
        except StoreError as exc:
            if self._has_store:
                self.log.dependency('store', 'lost', exc.text)
            self._has_store = False

    def _follow(self) -> None:
        asked_ms = now_ms()
        snapshot = self._store.read_prefix(OPERATOR_PREFIX)
        self._update_last_contact()
        for stored in snapshot.entries:
            self._update_cfg(stored)
        # The instance may lead from here on, so customers' ceilings come first.
        self._update_closed_domains(_closed_domains(snapshot))
        stored_keys = {entry.key for entry in snapshot.entries}
        for key in self._wave_requests.keys() - stored_keys:
            self._remove_wave(key)
        for entry in snapshot.entries:
            self._add_wave(entry)
        self._publish_waves()
        self.known_until_ms = asked_ms
        asked_ms = now_ms()
        for batch in self._store.watch(OPERATOR_PREFIX, snapshot.revision):
            self._update_last_contact()
            self._apply_batch(batch)
            self.known_until_ms = _known_until_ms(batch, asked_ms)
            asked_ms = now_ms()
            is_old = asked_ms > self.known_until_ms + MAX_ANSWER_AGE_MS
            if is_old or self.is_stopping:
                break

    def _update_last_contact(self) -> None:
        self.last_contact_ms = now_ms()
        if not self._has_store:
            self.log.dependency('store', 'regained')
        self._has_store = True

    def _apply_batch(self, batch: ChangeBatch) -> None:
        closed = set(self._closed_domains)
        for change in batch.changes:
            if change.key.startswith(EVACUATE_PREFIX):
                domain = change.key.removeprefix(EVACUATE_PREFIX)
                closed.discard(domain)
                if change.entry is not None:
                    closed.add(domain)
            elif change.entry is None:
                self._remove_wave(change.key)
            else:
                self._update_cfg(change.entry)
                self._add_wave(change.entry)
        self._update_closed_domains(frozenset(closed))
        self._publish_waves()

    def _update_closed_domains(self, domains: frozenset[str]) -> None:
        if domains != self._closed_domains or not self._has_read:
            self._has_read = True
            self._closed_domains = domains
            self.log.dependency('domains', 'closed', ','.join(sorted(domains)))
            self._listener.replace_closed_domains(domains)

    def _add_wave(self, entry: Entry) -> None:
        """Record a new or changed wave; its time starts when that is seen."""
        if (
            not entry.key.startswith(WAVE_PREFIX)
            or self._wave_bodies.get(entry.key) == entry.body
        ):
            return
        try:
            wire = decode_json(WAVE_DECODER, entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self._wave_bodies[entry.key] = entry.body
        self._wave_requests[entry.key] = WaveRequest(
            wire.wave,
            wire.machine_ids,
            deadline_in(int(wire.within_s * MS_PER_SECOND)),
            max(1, wire.at_most),
        )

    def _remove_wave(self, key: str) -> None:
        self._wave_requests.pop(key, None)
        self._wave_bodies.pop(key, None)

    def _publish_waves(self) -> None:
        self._listener.replace_wave_requests(
            tuple(self._wave_requests.values())
        )

    def _update_cfg(self, entry: Entry) -> None:
        if entry.key != CFG_KEY:
            return
        try:
            wire = decode_json(CFG_DECODER, entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        try:
            cfg = queue_cfg(wire)
        except ValueError as invalid:
            self.log.cfg_rejected(wire.version, str(invalid))
            return
        if self._table.update(cfg):
            self._listener.replace_customers(cfg.customers)


def _known_until_ms(batch: ChangeBatch, asked_ms: int) -> int:
    """Return until when the answer to a watch contains all changes.

    The time of its arrival does not tell: the answer may have been delayed on
    the link, or the process may have been paused. With changes, the store may
    have sent it at once; without any, it has waited first.
    """
    if batch.changes:
        return asked_ms
    return min(now_ms(), asked_ms + WATCH_WAIT_MS)


def _closed_domains(snapshot: Snapshot) -> frozenset[str]:
    return frozenset(
        entry.key.removeprefix(EVACUATE_PREFIX)
        for entry in snapshot.entries
        if entry.key.startswith(EVACUATE_PREFIX)
    )


def queue_cfg(wire: WireCfg) -> QueueCfg:
    """Return the queues and customers defined in a cfg.

    Raises `ValueError` with the reason if the customers are invalid.
    """
    return QueueCfg(
        wire.version,
        tuple(map(_rule, wire.routes)),
        wire.limits.max_body_bytes,
        create_customers(wire.version, map(_customer, wire.customers)),
    )


def _customer(wire: WireTenant) -> Customer:
    most = wire.ceiling
    return Customer(
        wire.name,
        wire.weight,
        Resources(most.cpu, most.mem_mb, most.gpus),
        frozenset(wire.keys),
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
    return QueueRule(address, policy, route.timeout_ms, route.is_public)
