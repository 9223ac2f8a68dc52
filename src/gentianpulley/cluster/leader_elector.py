"""Leader election by a leased key that is created only if it is absent.

Every instance takes part in the election. The revision at which the key was
created is the leader's token: it increases with each leader, so no separate
counter is needed. Larger instances try first. A much larger instance takes
over by publishing an offer, to which the leader responds with a planned
handover.
"""

import random
import threading
from collections.abc import Callable
from contextlib import ExitStack
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.customer_usage import remember_former
from gentianpulley.cluster.ended_term import EndedTerm
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
from gentianpulley.deadline import MS_PER_SECOND, has_passed, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.store import Precondition, StoreLease

LEADERSHIP_CHECK_INTERVAL_S: Final = RENEW_INTERVAL_MS / MS_PER_SECOND
"""Interval at which a leader checks whether its leadership is over."""

STORE_CHECK_INTERVAL_S: Final = 0.05
"""Interval at which a leader that stops checks whether the store answers."""

DOMAINS_CHECK_INTERVAL_S: Final = 0.02
"""Interval at which a new instance checks whether closed domains are known."""

OFFER_CHECK_STEPS: Final = 3
"""Number of steps between two checks of the leader for a takeover offer."""


class LeaderElector(BackgroundLoop, OperatorListener):
    """Waits until the leader's key is free, creates it, and leads."""

    def __init__(
        self,
        own: Candidate,
        dependencies: LeaderDependencies,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Prepare the thread; `own` is stored in the key while leading."""
        super().__init__(
            'campaign', LEADERSHIP_CHECK_INTERVAL_S, dependencies.log
        )
        self._election_state = ElectionState(own, dependencies, is_healthy)
        self._ended_term = EndedTerm(
            own, dependencies.store, dependencies.timing, dependencies.log
        )
        self._dependencies = dependencies
        self._store = dependencies.store
        self._key_store = dependencies.store.with_own_conns()
        self._lease_renewer: LeaseRenewer | None = None
        self._lease: StoreLease | None = None
        self._leadership: Leadership | None = None
        self._leader: Leader | None = None
        self._informed_leader: Leader | None = None
        self._operator_lock = threading.Lock()
        self._steps = 0
        self._token = 0
        self._closed_domains: frozenset[str] | None = None
        self._wave_requests: tuple[WaveRequest, ...] = ()
        self._customers = Customers()

    @property
    def is_leading(self) -> bool:
        """Return whether this instance currently leads."""
        return self._leader is not None

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Start no runs in these failure domains while leading.

        The instance runs for leader only after the first call.
        """
        with self._operator_lock:
            self._closed_domains = domains
            if self._informed_leader is not None:
                self._informed_leader.replace_closed_domains(domains)

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these maintenance waves while leading."""
        with self._operator_lock:
            self._wave_requests = requests
            if self._informed_leader is not None:
                self._informed_leader.replace_wave_requests(requests)

    def replace_customers(self, customers: Customers) -> None:
        """Apply these customers' ceilings and weights while leading.

        A customer that is missing keeps those that this process knew last.
        """
        with self._operator_lock:
            self._customers = remember_former(self._customers, customers)
            if self._informed_leader is not None:
                self._informed_leader.replace_customers(self._customers)

    def step(self) -> None:
        """Continue leading if this instance leads, else run for leader."""
        try:
            self._ended_term.end(now_ms())
        except StoreError as exc:
            # This process runs for leader only once the store answers.
            self.log.store_trouble(exc.text)
            return
        while self._closed_domains is None and not self.is_stopping:
            self.pause(DOMAINS_CHECK_INTERVAL_S)
        try:
            if self._leader is None:
                self._run_election()
            else:
                self._continue_leading(self._leader)
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def hand_over(self, wait_until_ms: int = 0) -> None:
        """Leave the election; a leader saves its state and frees the key.

        A leader that is still loading has no state to save. Nothing can be
        handed over while the store does not answer, and leases would lapse
        before a successor renews them: a leader goes on until it answers, at
        most until `wait_until_ms`.
        """
        self.stop()
        if self._leader is not None and self._leadership is not None:
            _wait_for_store(self._leadership, wait_until_ms)
        if self._leader is None and self._leadership is not None:
            self._leadership.resign('stopped before leading')
            self._revoke_lease()
        self._free_key()
        self._election_state.withdraw_offer()

    def _free_key(self) -> None:
        leader = self._leader
        self._leader = None
        if leader is not None:
            leader.hand_over()
            self._revoke_lease()

    def _run_election(self) -> None:
        snapshot = self._store.read_prefix(LEADER_KEY)
        if self._election_state.apply_snapshot(snapshot.entries):
            self._wait_for_vacancy(snapshot.revision)
        delay = self._election_state.creation_delay()
        if delay.max_s:
            self.pause(random.uniform(delay.min_s, delay.max_s))
        if self.is_stopping:
            return
        # Another instance probably leads by now; finding that out takes one
        # read instead of three calls.
        if delay.min_s and self._store.read(LEADER_KEY) is not None:
            return
        self._try_to_lead()

    def _wait_for_vacancy(self, revision: int) -> None:
        """Wait until the key is deleted; raises `StoreError`."""
        for batch in self._store.watch(LEADER_KEY, revision):
            if self.is_stopping or self._election_state.apply_changes(
                batch.changes
            ):
                return
            self._election_state.update_offer()

    def _try_to_lead(self) -> None:
        sent_ms = now_ms()
        body = encode_candidate(self._election_state.own)
        created = create_leased_key(self._store, LEADER_KEY, body, LEADER_TTL_S)
        if created is None:
            return
        self._lease = created.lease
        self._token = created.revision
        self._lead(created.lease, sent_ms)
        self._election_state.withdraw_offer()
        if self.is_stopping:
            self._free_key()

    def _lead(self, lease: StoreLease, sent_ms: int) -> None:
        """Lead under a lease that was requested at `sent_ms`."""
        timing = self._dependencies.timing
        leadership = create_leadership(sent_ms, timing)
        renewal = LeadershipRenewal(self._key_store, lease, leadership, timing)
        leader = Leader(
            self._dependencies,
            Precondition(LEADER_KEY, self._token),
            leadership,
        )
        with self._operator_lock:
            # Requests that come while it loads have to reach it, too.
            self._informed_leader = leader
            leader.replace_closed_domains(self._closed_domains or frozenset())
            leader.replace_wave_requests(self._wave_requests)
            leader.replace_customers(self._customers)
        self._leadership = leadership
        with ExitStack() as undo:
            undo.callback(self._revoke_lease)
            self._lease_renewer = LeaseRenewer(
                renewal.renew_once, sent_ms, self.log
            )
            _open_leader(leader, self._election_state)
            undo.pop_all()
        self._leader = leader

    def _continue_leading(self, leader: Leader) -> None:
        leadership = self._leadership
        if leadership is None or leadership.is_over():
            self._step_down(leader)
            return
        self._steps += 1
        if self._steps % OFFER_CHECK_STEPS == 0:
            self._check_offer()

    def _check_offer(self) -> None:
        """Hand over to a much larger candidate if it has made an offer."""
        offer = self._election_state.accept_offer()
        if offer is not None:
            self.log.candidacy('hands over', offer.instance)
            self._free_key()

    def _step_down(self, leader: Leader) -> None:
        self._leader = None
        leader.close()
        if (
            self._leadership is not None
            and self._leadership.is_backoff_required
        ):
            self._election_state.back_off()
        self._revoke_lease()
        self.pause(LEADERSHIP_CHECK_INTERVAL_S)

    def _revoke_lease(self) -> None:
        renewer = self._lease_renewer
        self._lease_renewer = None
        if renewer is not None:
            renewer.close()
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self.log.store_trouble(exc.text)


def _open_leader(leader: Leader, election_state: ElectionState) -> None:
    """Open a leader; close it again and back off if that fails."""
    with ExitStack() as undo:
        undo.callback(election_state.back_off)
        undo.callback(leader.close)
        leader.open()
        undo.pop_all()


def _wait_for_store(leadership: Leadership, until_ms: int) -> None:
    """Wait until a renewal of the leader's key was answered lately."""
    while not leadership.is_over() and not has_passed(until_ms):
        if leadership.is_exclusive(now_ms()):
            return
        threading.Event().wait(STORE_CHECK_INTERVAL_S)
