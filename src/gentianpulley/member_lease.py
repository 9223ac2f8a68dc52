"""Keeps this instance registered as a member under a lease."""

from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_keys import member_key
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import has_passed
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import ABSENT, ConditionalWrite, Put, Store, StoreLease

LEASE_TTL_S: Final = 6
RENEW_INTERVAL_S: Final = 2.0


class MemberLease(BackgroundLoop):
    """Registers the instance, renews its lease and revokes it at the end."""

    def __init__(
        self,
        store: Store,
        state: ControlState,
        record: MemberRecord,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('member-lease', RENEW_INTERVAL_S, log)
        self._store = store
        self._state = state
        self._record = record
        self._lease: StoreLease | None = None

    def step(self) -> None:
        """Renew the lease, or register again after it expired."""
        try:
            self._renew()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def deregister(self) -> None:
        """End the membership at once, so that successors need not wait."""
        self.stop()
        lease = self._lease
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _renew(self) -> None:
        if self._lease is not None:
            self._lease = self._store.keep_alive(self._lease)
            self._state.update_last_contact()
        if self._lease is None and not self.is_stopping:
            self._register()

    def _register(self) -> None:
        lease = self._store.grant_lease(LEASE_TTL_S)
        key = member_key(self._record.instance)
        put = Put(key, msgspec.json.encode(self._record), lease.lease_id)
        revision = ABSENT
        while not has_passed(lease.deadline_ms):
            write_result = self._store.write(
                (ConditionalWrite(key, revision, (put,)),)
            )[0]
            self._state.update_last_contact()
            if write_result.applied:
                self._lease = lease
                return
            revision = (
                write_result.current.revision
                if write_result.current
                else ABSENT
            )
