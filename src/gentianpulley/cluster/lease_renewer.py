"""Keeps the leader's key: its lease is renewed at a fixed rate.

Nothing else that the instance does holds a renewal up, nor does one that is
still without an answer.
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
"""Time from one renewal to the next."""

MAX_CONCURRENT_RENEWALS: Final = 5
"""Renewals without an answer at a time, one of them still to be sent: a call
that fails to connect and to be answered takes as long as four intervals."""


@dataclass(frozen=True, slots=True)
class LeadershipRenewal:
    """Renews the key of one tenure, over connections of its own."""

    store: Store
    lease: StoreLease
    leadership: Leadership
    timing: Timing

    def renew_once(self) -> None:
        """Renew the key once, and extend the tenure if that succeeds.

        The tenure ends if the lease has lapsed. Raises `StoreError`.
        """
        if self.leadership.is_over():
            return
        sent_ms = now_ms()
        try:
            renewed = self.store.keep_alive(self.lease)
        except StoreAnswerLostError:
            self._give_up_late()
            raise
        if renewed is None:
            self.leadership.resign('the lease of the key has lapsed')
            return
        self.leadership.extend(
            leadership_end_ms(sent_ms, self.timing), exclusive_end_ms(sent_ms)
        )

    def _give_up_late(self) -> None:
        """Give a tenure up whose renewals have not been answered for long.

        The store may have taken them, and keeps the key from all others.
        Nothing of the reign is left to be kept once its leases are over.
        """
        left_ms = self.timing.handover_ms - self.timing.leadership_ms
        if self.leadership.overdue_ms(now_ms()) > left_ms:
            self.leadership.resign_and_back_off(
                'no renewal of the key was answered'
            )


class LeaseRenewer:
    """Threads that take turns in renewing the key until it is closed.

    The next renewal is due one interval after the last one was sent.
    """

    def __init__(
        self, renew: Callable[[], None], sent_ms: int, log: EventLog
    ) -> None:
        """Begin; the lease of the key was asked for at `sent_ms`."""
        self._renew = renew
        self._next_ms = sent_ms + RENEW_INTERVAL_MS
        self._log = log
        self._closed = threading.Event()
        self._turn = threading.Lock()
        for _ in range(MAX_CONCURRENT_RENEWALS):
            threading.Thread(
                target=self._keep, name='keep-key', daemon=True
            ).start()

    def close(self) -> None:
        """Send nothing more; does not wait for what is under way."""
        self._closed.set()

    def _keep(self) -> None:
        while self._await_turn():
            try:
                self._renew()
            except StoreError as exc:
                self._log.store_trouble(exc.text)
            except Exception as fault:
                # The key lapses once no thread is left.
                self._log.internal_fault(repr(fault))

    def _await_turn(self) -> bool:
        """Return when a renewal is due; False once this is closed."""
        with self._turn:
            if self._closed.wait(seconds_left(self._next_ms)):
                return False
            self._next_ms = now_ms() + RENEW_INTERVAL_MS
        return True
