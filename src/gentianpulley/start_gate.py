"""The final check before a task starts in this failure domain."""

import threading
from dataclasses import dataclass
from typing import Final

from gentianpulley.cfg import ClusterCfg
from gentianpulley.control_state import ControlState
from gentianpulley.deadline import deadline_in, has_passed, now_ms
from gentianpulley.document import ActiveDocuments
from gentianpulley.membership import Membership
from gentianpulley.result_code import (
    DEADLINE_PASSED,
    DOMAIN_OUT,
    DRAINING,
    HELD,
    ISOLATED,
    NOT_READY,
    RULE_FORBIDS,
    UNKNOWN_CLASS,
    ResultCode,
)
from gentianpulley.rule_evaluation import Subject, RuleEffect, evaluate_rules
from gentianpulley.task import TaskOrder

PROPAGATION_BOUND_MS: Final = 5000
"""How long tasks may still start in a domain taken out of service."""

ISOLATED_AFTER_MS: Final = 4000
"""Time without the store and any other domain that means isolation."""


INITIAL_SYNC_TIMEOUT_MS: Final = 4000
"""How long a new instance waits for the store before it trusts peers."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a start is refused."""

    code: ResultCode
    detail: str


class Isolation:
    """Detects whether this failure domain is isolated from everything else.

    It is isolated if neither the store nor a peer of another failure domain
    has responded recently. A change that takes a domain out of service then
    reaches no member here.
    """

    def __init__(self, state: ControlState, membership: Membership) -> None:
        """Count from now, so that a new instance has time to connect."""
        self._state = state
        self._membership = membership
        self._lock = threading.Lock()
        self._contact_ms = now_ms()

    def has_store_snapshot(self) -> bool:
        """Return whether the store has ever been read."""
        return self._state.has_snapshot

    def since_ms(self) -> int:
        """Return since when the domain is isolated; zero if it is not."""
        with self._lock:
            if self._membership.is_other_domain_reachable():
                self._contact_ms = now_ms()
            latest_ms = max(self._contact_ms, self._state.last_contact_ms)
        if now_ms() - latest_ms < ISOLATED_AFTER_MS:
            return 0
        return latest_ms


class StartGate:
    """Refuses starts that the cfg, the operators or isolation rule out."""

    def __init__(
        self,
        documents: ActiveDocuments,
        isolation: Isolation,
        failure_domain: str,
    ) -> None:
        """Check the starts in `failure_domain`."""
        self._shelf = documents
        self._isolation = isolation
        self.failure_domain = failure_domain
        self.is_draining = False
        self._sync_deadline_ms = deadline_in(INITIAL_SYNC_TIMEOUT_MS)

    def has_synced(self) -> bool:
        """Return whether the newest documents have had time to arrive.

        A new instance might get documents from a stale peer before it reads
        the store. It waits for the store or, if the store is unavailable,
        until its peers have had time to respond.
        """
        if self._shelf.cfg is None:
            return False
        return self._isolation.has_store_snapshot() or has_passed(
            self._sync_deadline_ms
        )

    def domain_is_out(self) -> bool:
        """Return whether operators took this failure domain out of service."""
        return self._shelf.domains.is_out(self.failure_domain)

    def refusal(self, order: TaskOrder) -> Refusal | None:
        """Return why the task may not start here now; None if it may."""
        cfg = self._shelf.cfg
        if cfg is None or not self.has_synced():
            return _refuse(NOT_READY)
        if self.is_draining:
            return _refuse(DRAINING)
        if has_passed(order.start_before_ms):
            return _refuse(DEADLINE_PASSED)
        if self.domain_is_out():
            return _refuse(DOMAIN_OUT)
        return self._refused_by_cfg(cfg, order)

    def _refused_by_cfg(
        self, cfg: ClusterCfg, order: TaskOrder
    ) -> Refusal | None:
        work_class = cfg.classes.get(order.work_class)
        if work_class is None:
            return _refuse(UNKNOWN_CLASS)
        decision = evaluate_rules(
            cfg,
            Subject(order.work_class, order.data_tags),
            self.failure_domain,
        )
        if decision.effect is RuleEffect.FORBIDDEN:
            return Refusal(RULE_FORBIDS, decision.reason)
        if decision.effect is RuleEffect.HELD:
            return Refusal(HELD, decision.reason)
        since_ms = self._isolation.since_ms()
        if since_ms == 0:
            return None
        allowed_ms = cfg.limits.isolated_start_ms
        if work_class.isolated_start and now_ms() < since_ms + allowed_ms:
            return None
        return _refuse(ISOLATED)


def start_deadline_ms(order: TaskOrder, window_ms: int) -> int:
    """Return the deadline by which a worker may start the task."""
    return min(order.start_before_ms, deadline_in(window_ms))


def _refuse(code: ResultCode) -> Refusal:
    return Refusal(code, code.meaning)
