"""Electing a leader: one key under a lease, taken by create-if-absent.

Every instance campaigns. The revision at which the key was created is the
leader's token: it rises with each leader and needs no counter of its own.
Larger instances try first, and a much larger one takes over by an offer that
the leader answers with a planned hand-over.
"""

import random
from collections.abc import Callable
from contextlib import ExitStack
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.election_policy import Candidate, encode_candidate
from gentianpulley.cluster.election_state import ElectionState
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.lease_renewer import (
    RENEW_INTERVAL_MS,
    LeaseRenewer,
    LeadershipRenewal,
)
from gentianpulley.cluster.leader import (
    Leader,
    LeaderDependencies,
    create_leadership,
)
from gentianpulley.cluster.machines import WaveRequest
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.cluster.takeover_offers import create_leased_key
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.timing import LEADER_TTL_S
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.store import Precondition, StoreLease

LEADERSHIP_CHECK_INTERVAL_S: Final = RENEW_INTERVAL_MS / MS_PER_SECOND
"""Time from one look at the own tenure to the next."""

OFFER_CHECK_STEPS: Final = 3
"""A leader looks for an offer with each so many steps."""


class LeaderElector(BackgroundLoop, OperatorListener):
    """Waits for the leader's key to be free, takes it, and leads."""

    def __init__(
        self,
        own: Candidate,
        dependencies: LeaderDependencies,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Prepare the thread; `own` stands in the key while leading."""
        super().__init__(
            'campaign', LEADERSHIP_CHECK_INTERVAL_S, dependencies.log
        )
        self._candidature = ElectionState(own, dependencies, is_healthy)
        self._parts = dependencies
        self._store = dependencies.store
        self._key_store = dependencies.store.with_own_conns()
        self._keeper: LeaseRenewer | None = None
        self._lease: StoreLease | None = None
        self._tenure: Leadership | None = None
        self._leader: Leader | None = None
        self._steps = 0
        self._token = 0
        self._domains: frozenset[str] = frozenset()
        self._waves: tuple[WaveRequest, ...] = ()

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance leads now."""
        return self._leader is not None

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains while leading."""
        self._domains = domains
        leader = self._leader
        if leader is not None:
            leader.replace_closed_domains(domains)

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these waves of upkeep while leading."""
        self._waves = requests
        leader = self._leader
        if leader is not None:
            leader.replace_wave_requests(requests)

    def step(self) -> None:
        """Hold the office while leading; campaign otherwise."""
        try:
            if self._leader is None:
                self._campaign()
            else:
                self._hold(self._leader)
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def hand_over(self) -> None:
        """Stop campaigning; a leader writes its state and frees the key.

        One that still loads has nothing to write.
        """
        self.stop()
        if self._leader is None and self._tenure is not None:
            self._tenure.resign('stopped before it led')
            self._end_lease()
        self._free_key()
        self._candidature.withdraw_offer()

    def _free_key(self) -> None:
        leader = self._leader
        self._leader = None
        if leader is not None:
            leader.hand_over()
            self._end_lease()

    def _campaign(self) -> None:
        snapshot = self._store.read_prefix(LEADER_KEY)
        if self._candidature.apply_snapshot(snapshot.entries):
            self._await_vacancy(snapshot.revision)
        wait = self._candidature.creation_delay()
        if wait.max_s:
            self.pause(random.uniform(wait.min_s, wait.max_s))
        if self.is_stopping:
            return
        # Another one leads by now, likely: one read instead of three calls.
        if wait.min_s and self._store.read(LEADER_KEY) is not None:
            return
        self._try_to_lead()

    def _await_vacancy(self, revision: int) -> None:
        """Return once the key was deleted; raises `StoreError`."""
        for batch in self._store.watch(LEADER_KEY, revision):
            if self.is_stopping or self._candidature.apply_changes(
                batch.changes
            ):
                return
            self._candidature.update_offer()

    def _try_to_lead(self) -> None:
        sent_ms = now_ms()
        body = encode_candidate(self._candidature.own)
        made = create_leased_key(self._store, LEADER_KEY, body, LEADER_TTL_S)
        if made is None:
            return
        self._lease = made.lease
        self._token = made.revision
        self._lead(made.lease, sent_ms)
        self._candidature.withdraw_offer()
        if self.is_stopping:
            self._free_key()

    def _lead(self, lease: StoreLease, sent_ms: int) -> None:
        """Lead under a lease that was asked for at `sent_ms`."""
        timing = self._parts.timing
        tenure = create_leadership(sent_ms, timing)
        renewal = LeadershipRenewal(self._key_store, lease, tenure, timing)
        leader = Leader(
            self._parts, Precondition(LEADER_KEY, self._token), tenure
        )
        leader.replace_closed_domains(self._domains)
        self._tenure = tenure
        with ExitStack() as undo:
            undo.callback(self._end_lease)
            self._keeper = LeaseRenewer(renewal.renew_once, sent_ms, self.log)
            self._open(leader)
            undo.pop_all()
        self._leader = leader
        leader.replace_closed_domains(self._domains)
        leader.replace_wave_requests(self._waves)

    def _open(self, leader: Leader) -> None:
        """Open a reign; one that cannot be opened leaves nothing open."""
        with ExitStack() as undo:
            undo.callback(self._candidature.back_off)
            undo.callback(leader.close)
            leader.open()
            undo.pop_all()

    def _hold(self, leader: Leader) -> None:
        tenure = self._tenure
        if tenure is None or tenure.is_over():
            self._step_down(leader)
            return
        self._steps += 1
        if self._steps % OFFER_CHECK_STEPS == 0:
            self._answer_offer()

    def _answer_offer(self) -> None:
        """Hand over to a much larger candidate that has offered."""
        offer = self._candidature.accept_offer()
        if offer is not None:
            self.log.candidacy('hands over', offer.instance)
            self._free_key()

    def _step_down(self, leader: Leader) -> None:
        self._leader = None
        leader.close()
        if self._tenure is not None and self._tenure.is_backoff_required:
            self._candidature.back_off()
        self._end_lease()
        self.pause(LEADERSHIP_CHECK_INTERVAL_S)

    def _end_lease(self) -> None:
        keeper = self._keeper
        self._keeper = None
        if keeper is not None:
            keeper.close()
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self.log.store_trouble(exc.text)
