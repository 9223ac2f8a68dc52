"""The queues of the active cfg.

A newer version of the cfg replaces an older one. An older one never becomes
active again while the process runs.
"""

import threading
from dataclasses import dataclass

from gentianpulley.cluster.customer_keys import CustomerKeys
from gentianpulley.cluster.customers import Customers
from gentianpulley.jobs.spec import QueuePolicy
from gentianpulley.logs import EventLog


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Which requests belong to a queue, by host and path prefix."""

    host: str
    prefix: str


@dataclass(frozen=True, slots=True)
class QueueRule:
    """One queue of a cfg; `timeout_ms` is the timeout of a caller's request.

    Calls on a public queue need no key of a customer.
    """

    route: QueueRoute
    policy: QueuePolicy
    timeout_ms: int
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class QueueCfg:
    """The queues and customers of one cfg version, and the limit on bodies."""

    version: int
    rules: tuple[QueueRule, ...]
    max_body_bytes: int
    customers: Customers = Customers()


class ActiveCfg:
    """A cfg in force, indexed; it never changes.

    A call uses one of these throughout, so it sees the queues and the keys of
    one version.
    """

    def __init__(self, cfg: QueueCfg) -> None:
        """Index the queues by host, and the customers by key."""
        self.cfg = cfg
        self.keys = CustomerKeys(cfg.customers)
        self._by_host = _by_host(cfg)

    def find(self, host: str, path: str) -> QueueRule | None:
        """Return the rule with the longest matching path prefix, or None."""
        host_name = host.rsplit(':', maxsplit=1)[0].lower()
        for rule in self._by_host.get(host_name, ()):
            if path.startswith(rule.route.prefix):
                return rule
        return None


class QueueTable:
    """Holds the active cfg."""

    def __init__(self, log: EventLog) -> None:
        """Start without a cfg."""
        self._log = log
        self._lock = threading.Lock()
        self._cfg: ActiveCfg | None = None

    @property
    def active(self) -> ActiveCfg | None:
        """Return the active cfg with its indexes, None before the first."""
        return self._cfg

    @property
    def cfg(self) -> QueueCfg | None:
        """Return the active cfg, None before the first."""
        return self._cfg.cfg if self._cfg else None

    def update(self, cfg: QueueCfg) -> bool:
        """Activate a cfg; return False if the active one is as new or newer."""
        with self._lock:
            active = self._cfg
            if active is not None and cfg.version <= active.cfg.version:
                return False
            self._cfg = ActiveCfg(cfg)
        self._log.cfg_in_force(
            cfg.version, len(cfg.rules), len(cfg.customers.by_name)
        )
        return True

    def find(self, host: str, path: str) -> QueueRule | None:
        """Return the rule for a request in the active cfg, or None."""
        return self._cfg.find(host, path) if self._cfg else None


def _by_host(cfg: QueueCfg) -> dict[str, tuple[QueueRule, ...]]:
    hosts: dict[str, list[QueueRule]] = {}
    for rule in cfg.rules:
        hosts.setdefault(rule.route.host.lower(), []).append(rule)
    return {
        host: tuple(sorted(rules, key=_prefix_length, reverse=True))
        for host, rules in hosts.items()
    }


def _prefix_length(rule: QueueRule) -> int:
    return len(rule.route.prefix)
