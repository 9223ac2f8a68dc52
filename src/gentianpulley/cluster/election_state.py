"""Election state of an instance: leader, offers, and its own offer."""

from collections.abc import Callable, Iterable

from gentianpulley.cluster.election_policy import (
    MIN_HAND_OVER_INTERVAL_MS,
    BACKOFF_MS,
    Candidate,
    DelayRange,
    decode_candidate,
    backoff_delay,
    should_hand_over,
    should_offer,
    vacancy_delay,
)
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.leader import LeaderDependencies
from gentianpulley.cluster.takeover_offers import (
    OFFER_KEY,
    OfferPublisher,
    OfferObserver,
)
from gentianpulley.deadline import now_ms
from gentianpulley.store import Change, Entry


class ElectionState:
    """The state of one candidate for leader."""

    def __init__(
        self,
        own: Candidate,
        dependencies: LeaderDependencies,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Start without a leader; only a healthy instance makes an offer."""
        self.own = own
        self._is_healthy = is_healthy
        self._healthy_since_ms = now_ms()
        self._leader: Candidate | None = None
        self._offer: Candidate | None = None
        self._offer_publisher = OfferPublisher(
            dependencies.store, own, dependencies.log
        )
        self._offer_observer = OfferObserver(dependencies.store)
        self._last_hand_over_ms = now_ms() - MIN_HAND_OVER_INTERVAL_MS
        self._backoff_until_ms = 0

    def apply_snapshot(self, entries: Iterable[Entry]) -> bool:
        """Apply the entries of the store; return whether there is a leader."""
        candidates = {each.key: decode_candidate(each.body) for each in entries}
        self._offer = candidates.get(OFFER_KEY)
        leader = candidates.get(LEADER_KEY)
        self._leader = leader or self._leader
        return leader is not None

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Apply changes; return whether the leader's key is free."""
        is_vacant = False
        for change in changes:
            candidate = _candidate(change.entry)
            if change.key == OFFER_KEY:
                self._offer = candidate
            if change.key == LEADER_KEY:
                self._leader = candidate or self._leader
                is_vacant = candidate is None
        return is_vacant

    def creation_delay(self) -> DelayRange:
        """Return how long to wait before creating the free key."""
        delay = vacancy_delay(self.own, self._leader, self._offer)
        return backoff_delay(delay) if self._is_backing_off(now_ms()) else delay

    def back_off(self) -> None:
        """Let other instances go first for `BACKOFF_MS`."""
        self._backoff_until_ms = now_ms() + BACKOFF_MS

    def update_offer(self) -> None:
        """Make, renew or withdraw this instance's offer.

        Raises `StoreError`.
        """
        at_ms = now_ms()
        if self._is_backing_off(at_ms) or not self._is_healthy():
            self._healthy_since_ms = at_ms
        leader = self._leader
        is_wanted = leader is not None and should_offer(
            self.own, leader, at_ms - self._healthy_since_ms
        )
        self._offer_publisher.update(
            is_wanted and not self._has_foreign_offer()
        )

    def withdraw_offer(self) -> None:
        """Withdraw this instance's offer."""
        self._offer_publisher.withdraw()

    def accept_offer(self) -> Candidate | None:
        """Return the candidate that the leader hands over to now, if any.

        Raises `StoreError`.
        """
        offer = self._offer_observer.read()
        at_ms = now_ms()
        if offer is None:
            return None
        if not should_hand_over(
            self.own, offer, self._last_hand_over_ms, at_ms
        ):
            return None
        self._last_hand_over_ms = at_ms
        return offer.candidate

    def _is_backing_off(self, at_ms: int) -> bool:
        return at_ms < self._backoff_until_ms

    def _has_foreign_offer(self) -> bool:
        offer = self._offer
        return offer is not None and offer.instance != self.own.instance


def _candidate(entry: Entry | None) -> Candidate | None:
    return None if entry is None else decode_candidate(entry.body)
