"""What an instance knows of the leader and of offers, and its own offer."""

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
    """One instance among those that would lead."""

    def __init__(
        self,
        own: Candidate,
        dependencies: LeaderDependencies,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Know of no leader; only an instance that is healthy offers."""
        self.own = own
        self._is_healthy = is_healthy
        self._healthy_since_ms = now_ms()
        self._leader: Candidate | None = None
        self._offer: Candidate | None = None
        self._own_offer = OfferPublisher(
            dependencies.store, own, dependencies.log
        )
        self._seen_offer = OfferObserver(dependencies.store)
        self._handed_over_ms = now_ms() - MIN_HAND_OVER_INTERVAL_MS
        self._rests_until_ms = 0

    def apply_snapshot(self, entries: Iterable[Entry]) -> bool:
        """Learn what stands in the store; tells whether someone leads."""
        candidates = {each.key: decode_candidate(each.body) for each in entries}
        self._offer = candidates.get(OFFER_KEY)
        leader = candidates.get(LEADER_KEY)
        self._leader = leader or self._leader
        return leader is not None

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Learn what has changed; tells whether the key is free."""
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
        wait = vacancy_delay(self.own, self._leader, self._offer)
        return backoff_delay(wait) if self._is_resting(now_ms()) else wait

    def back_off(self) -> None:
        """Leave the office to others for a while."""
        self._rests_until_ms = now_ms() + BACKOFF_MS

    def update_offer(self) -> None:
        """Make, renew or withdraw the own offer; raises `StoreError`."""
        at_ms = now_ms()
        if self._is_resting(at_ms) or not self._is_healthy():
            self._healthy_since_ms = at_ms
        leader = self._leader
        is_wanted = leader is not None and should_offer(
            self.own, leader, at_ms - self._healthy_since_ms
        )
        self._own_offer.update(is_wanted and not self._others_offer())

    def withdraw_offer(self) -> None:
        """End the own offer."""
        self._own_offer.withdraw()

    def accept_offer(self) -> Candidate | None:
        """Return to whom the leader hands over now; raises `StoreError`."""
        offer = self._seen_offer.read()
        at_ms = now_ms()
        if offer is None:
            return None
        if not should_hand_over(self.own, offer, self._handed_over_ms, at_ms):
            return None
        self._handed_over_ms = at_ms
        return offer.candidate

    def _is_resting(self, at_ms: int) -> bool:
        return at_ms < self._rests_until_ms

    def _others_offer(self) -> bool:
        offer = self._offer
        return offer is not None and offer.instance != self.own.instance


def _candidate(entry: Entry | None) -> Candidate | None:
    return None if entry is None else decode_candidate(entry.body)
