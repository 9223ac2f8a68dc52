"""Electing a leader: one key under a lease, taken by create-if-absent.

Every instance campaigns. The revision at which the key was created is the
leader's token: it rises with each leader and needs no counter of its own.
"""

import random
from contextlib import closing
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.job_book import LEADER_KEY
from gentianpulley.cluster.key_keeper import KeyKeeper
from gentianpulley.cluster.leader import (
    Leader,
    LeaderParts,
    certain_end_ms,
    open_tenure,
    tenure_end_ms,
)
from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.office import Tenure
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.timing import LEADER_TTL_S, RENEWALS_IN_TTL
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    Entry,
    Guard,
    Put,
    StoreLease,
    Transaction,
)

RENEW_S: Final = LEADER_TTL_S / RENEWALS_IN_TTL

CANDIDATE_DELAY_S: Final = 0.1
"""Longest random delay of a candidate, so that few try at once."""

WATCH_BROKEN_PAUSE_S: Final = 0.3
"""Pause after the watch of the leader's key broke."""


class Campaign(BackgroundLoop, OperatorListener):
    """Waits for the leader's key to be free, takes it, and leads."""

    def __init__(
        self, instance: str, parts: LeaderParts, log: EventLog
    ) -> None:
        """Prepare the thread; `instance` names this instance in the key."""
        super().__init__('campaign', RENEW_S, log)
        self._instance = instance
        self._parts = parts
        self._store = parts.store
        self._lease: StoreLease | None = None
        self._tenure: Tenure | None = None
        self._leader: Leader | None = None
        self._token = 0
        self._domains: frozenset[str] = frozenset()
        self._waves: tuple[WaveRequest, ...] = ()

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance leads now."""
        return self._leader is not None

    def close_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains while leading."""
        self._domains = domains
        leader = self._leader
        if leader is not None:
            leader.close_domains(domains)

    def open_waves(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these waves of upkeep while leading."""
        self._waves = requests
        leader = self._leader
        if leader is not None:
            leader.open_waves(requests)

    def step(self) -> None:
        """Renew while leading; campaign otherwise."""
        try:
            if self._leader is None:
                self._campaign()
            else:
                self._renew(self._leader)
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def hand_over(self) -> None:
        """Stop campaigning; a leader writes its state and frees the key."""
        self.stop()
        leader = self._leader
        self._leader = None
        if leader is not None:
            leader.hand_over()
            self._end_lease()

    def _campaign(self) -> None:
        snapshot = self._store.read_prefix(LEADER_KEY)
        held = [entry for entry in snapshot.entries if entry.key == LEADER_KEY]
        if held:
            self._await_vacancy(held[0], snapshot.revision)
        if self.is_stopping:
            return
        self.pause(random.uniform(0, CANDIDATE_DELAY_S))
        self._try_to_lead()

    def _await_vacancy(self, held: Entry, revision: int) -> None:
        """Return once the key was deleted; raises `StoreError`."""
        for batch in self._store.watch(LEADER_KEY, revision):
            if self.is_stopping:
                return
            if any(change.entry is None for change in batch.changes):
                return

    def _try_to_lead(self) -> None:
        sent_ms = now_ms()
        lease = self._store.grant_lease(LEADER_TTL_S)
        put = Put(LEADER_KEY, self._instance.encode(), lease.lease_id)
        txn = Transaction((Guard(LEADER_KEY, ABSENT),), (put,))
        try:
            commit = self._store.commit(txn)
        except StoreAnswerLostError:
            self._store.revoke(lease)
            raise
        if not commit.applied:
            self._store.revoke(lease)
            return
        self._lease = lease
        self._token = commit.revision
        self._lead(sent_ms)

    def _lead(self, sent_ms: int) -> None:
        tenure = open_tenure(sent_ms, self._parts.timing)
        leader = Leader(self._parts, Guard(LEADER_KEY, self._token), tenure)
        leader.close_domains(self._domains)
        self._tenure = tenure
        try:
            self._open(leader, tenure)
        except StoreError:
            leader.close()
            self._end_lease()
            raise
        self._leader = leader
        leader.close_domains(self._domains)
        leader.open_waves(self._waves)

    def _open(self, leader: Leader, tenure: Tenure) -> None:
        keeper = KeyKeeper(lambda: self._extend(tenure), RENEW_S, self.log)
        with closing(keeper):
            leader.open()

    def _renew(self, leader: Leader) -> None:
        tenure = self._tenure
        if tenure is not None and not tenure.is_over():
            self._extend(tenure)
        if tenure is None or tenure.is_over():
            self._step_down(leader)

    def _extend(self, tenure: Tenure) -> None:
        """Renew the key; the tenure ends if its lease has lapsed."""
        sent_ms = now_ms()
        if self._lease is not None:
            self._lease = self._store.keep_alive(self._lease)
        if self._lease is None:
            tenure.resign('the lease of the key has lapsed')
            return
        tenure.extend(
            tenure_end_ms(sent_ms, self._parts.timing), certain_end_ms(sent_ms)
        )

    def _step_down(self, leader: Leader) -> None:
        self._leader = None
        leader.close()
        self._end_lease()
        self.pause(RENEW_S)

    def _end_lease(self) -> None:
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self.log.store_trouble(exc.text)
