"""Renews the lease of the leader's key at a fixed rate.

No other work of the instance delays a renewal, and neither does a previous
renewal that is still without a reply.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.leader import exclusive_end_ms, leadership_end_ms
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.cluster.timing import LEADER_TTL_S, RENEWALS_PER_TTL, Timing
from gentianpulley.deadline import MS_PER_SECOND, now_ms, seconds_left
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Store, StoreLease

RENEW_INTERVAL_MS: Final = LEADER_TTL_S * MS_PER_SECOND // RENEWALS_PER_TTL
"""Interval between two renewals."""

MAX_CONCURRENT_RENEWALS: Final = 5
"""Maximum number of renewals without a reply, one of them not sent yet. A call
that first fails to connect and then gets no reply takes four intervals."""


@dataclass(frozen=True, slots=True)
class LeadershipRenewal:
    """Renews the leader's key of one leadership over separate connections."""

    store: Store
    lease: StoreLease
    leadership: Leadership
    timing: Timing

    def renew_once(self) -> None:
        """Renew the key once, and extend the leadership if that succeeds.

        The leadership ends if the lease has expired. Raises `StoreError`.
        """
        if self.leadership.is_over():
            return
        sent_ms = now_ms()
        try:
            renewed = self.store.keep_alive(self.lease)
        except StoreAnswerLostError:
            self._resign_if_overdue()
            raise
        if renewed is None:
            self.leadership.resign('the lease of the leader key has expired')
            return
        self.leadership.extend(
            leadership_end_ms(sent_ms, self.timing), exclusive_end_ms(sent_ms)
        )

    def _resign_if_overdue(self) -> None:
        """Resign if no renewal has been answered for too long.

        The store may have applied the renewals, so that no other instance can
        get the key. Once the leader's leases to its workers have expired,
        there is nothing left of its term that is worth keeping.
        """
        margin_ms = self.timing.handover_ms - self.timing.leadership_ms
        if self.leadership.overdue_ms(now_ms()) > margin_ms:
            self.leadership.resign_and_back_off(
                'no renewal of the leader key was answered'
            )


class LeaseRenewer:
    """Renews the key in threads that take turns, until `close` is called.

    The next renewal is due one interval after the last one was sent.
    """

    def __init__(
        self, renew: Callable[[], None], sent_ms: int, log: EventLog
    ) -> None:
        """Start the threads; the key's lease was requested at `sent_ms`."""
        self._renew = renew
        self._next_renewal_ms = sent_ms + RENEW_INTERVAL_MS
        self._log = log
        self._closed = threading.Event()
        self._turn = threading.Lock()
        for _ in range(MAX_CONCURRENT_RENEWALS):
            threading.Thread(
                target=self._renew_loop, name='keep-key', daemon=True
            ).start()

    def close(self) -> None:
        """Send no more renewals; does not wait for those in flight."""
        self._closed.set()

    def _renew_loop(self) -> None:
        while self._wait_for_turn():
            try:
                self._renew()
            except StoreError as exc:
                self._log.store_trouble(exc.text)
            except Exception as error:
                # Without any thread left, the key would expire.
                self._log.internal_fault(repr(error))

    def _wait_for_turn(self) -> bool:
        """Wait until a renewal is due; return False once this is closed."""
        with self._turn:
            if self._closed.wait(seconds_left(self._next_renewal_ms)):
                return False
            self._next_renewal_ms = now_ms() + RENEW_INTERVAL_MS
        return True
