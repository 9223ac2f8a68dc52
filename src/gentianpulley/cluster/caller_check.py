"""Decides from a call's key who makes the call, or why it is refused."""

from collections.abc import Callable

from gentianpulley.cluster.customer_keys import (
    NO_CUSTOMER,
    UNRESTRICTED,
    Caller,
    KeyRefusal,
)
from gentianpulley.cluster.queues import ActiveCfg, QueueRule


class CallerCheck:
    """Checks the key of each call on a queue.

    Customers are in force if `always_in_force`, or if the cfg names any. If
    not, keys are ignored.
    """

    def __init__(
        self, is_fresh: Callable[[], bool], *, always_in_force: bool
    ) -> None:
        """Call `is_fresh` to learn whether the cfg may still be the newest."""
        self.is_fresh = is_fresh
        self._always_in_force = always_in_force

    def identify(
        self, active: ActiveCfg, rule: QueueRule, key: bytes, *, is_fresh: bool
    ) -> Caller | KeyRefusal:
        """Return who makes a call with `key`, empty for none.

        `is_fresh` must have been determined before `active` was read. If it
        was read first, a pause of the thread in between lets a withdrawn key
        pass.
        """
        if not (self._always_in_force or active.cfg.customers.by_name):
            return UNRESTRICTED
        if rule.is_public:
            return NO_CUSTOMER
        if not is_fresh:
            return KeyRefusal.STALE_CFG
        if not key:
            return KeyRefusal.MISSING
        holder = active.keys.find_holder(key)
        if holder is None:
            return KeyRefusal.UNKNOWN
        return Caller(holder, is_restricted=True)
