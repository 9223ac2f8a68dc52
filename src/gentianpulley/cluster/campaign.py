"""Electing a leader: one key under a lease, taken by create-if-absent.

Every instance campaigns. The revision at which the key was created is the
leader's token: it rises with each leader and needs no counter of its own.
Larger instances try first, and a much larger one takes over by an offer that
the leader answers with a planned hand-over.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.candidacy import Candidate, encode_candidate
from gentianpulley.cluster.candidature import Candidature
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
from gentianpulley.cluster.offers import create_leased_key
from gentianpulley.cluster.operators import OperatorListener
from gentianpulley.cluster.timing import LEADER_TTL_S, RENEWALS_IN_TTL, Timing
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.store import Guard, StoreLease

RENEW_S: Final = LEADER_TTL_S / RENEWALS_IN_TTL

OFFER_LOOK_RENEWALS: Final = 3
"""A leader looks for an offer with each so many renewals of its key."""


class Campaign(BackgroundLoop, OperatorListener):
    """Waits for the leader's key to be free, takes it, and leads."""

    def __init__(
        self,
        own: Candidate,
        parts: LeaderParts,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Prepare the thread; `own` stands in the key while leading."""
        super().__init__('campaign', RENEW_S, parts.log)
        self._candidature = Candidature(own, parts, is_healthy)
        self._renewals = 0
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
        self._free_key()
        self._candidature.withdraw()

    def _free_key(self) -> None:
        leader = self._leader
        self._leader = None
        if leader is not None:
            leader.hand_over()
            self._end_lease()

    def _campaign(self) -> None:
        snapshot = self._store.read_prefix(LEADER_KEY)
        if self._candidature.take(snapshot.entries):
            self._await_vacancy(snapshot.revision)
        wait = self._candidature.wait()
        if wait.most_s:
            self.pause(random.uniform(wait.least_s, wait.most_s))
        if self.is_stopping:
            return
        # Another one leads by now, likely: one read instead of three calls.
        if wait.least_s and self._store.read(LEADER_KEY) is not None:
            return
        self._try_to_lead()

    def _await_vacancy(self, revision: int) -> None:
        """Return once the key was deleted; raises `StoreError`."""
        for batch in self._store.watch(LEADER_KEY, revision):
            if self.is_stopping or self._candidature.note(batch.changes):
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
        self._lead(sent_ms)
        self._candidature.withdraw()
        if self.is_stopping:
            self._free_key()

    def _lead(self, sent_ms: int) -> None:
        tenure = open_tenure(sent_ms, self._parts.timing)
        leader = Leader(self._parts, Guard(LEADER_KEY, self._token), tenure)
        leader.close_domains(self._domains)
        self._tenure = tenure
        keeper = KeyKeeper(lambda: self._extend(tenure), RENEW_S, self.log)
        try:
            with closing(keeper):
                leader.open()
        except StoreError:
            leader.close()
            self._candidature.rest()
            self._end_lease()
            raise
        self._leader = leader
        leader.close_domains(self._domains)
        leader.open_waves(self._waves)

    def _renew(self, leader: Leader) -> None:
        tenure = self._tenure
        if tenure is not None and not tenure.is_over():
            with _giving_up_late(tenure, self._parts.timing):
                self._extend(tenure)
        if tenure is None or tenure.is_over():
            self._step_down(leader)
            return
        self._renewals += 1
        if self._renewals % OFFER_LOOK_RENEWALS == 0:
            self._answer_offer()

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

    def _answer_offer(self) -> None:
        """Hand over to a much larger candidate that has offered."""
        offer = self._candidature.accept_offer()
        if offer is not None:
            self.log.candidacy('hands over', offer.instance)
            self._free_key()

    def _step_down(self, leader: Leader) -> None:
        self._leader = None
        leader.close()
        if self._tenure is not None and self._tenure.is_given_up:
            self._candidature.rest()
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


@contextmanager
def _giving_up_late(tenure: Tenure, timing: Timing) -> Iterator[None]:
    """Give a tenure up whose renewals have not been answered for long.

    The store may have taken them, and keeps the key from all others. Nothing
    of the reign is left to be kept once its leases are over.
    """
    try:
        yield
    except StoreAnswerLostError:
        left_ms = timing.handover_ms - timing.tenure_ms
        if tenure.overdue_ms(now_ms()) > left_ms:
            tenure.give_up('no renewal of the key was answered')
        raise
