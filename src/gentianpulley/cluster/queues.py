"""The queues of the active cfg.

A newer version of the cfg replaces an older one. An older one never becomes
active again while the process runs.
"""

import threading
from dataclasses import dataclass

from gentianpulley.jobs.spec import QueuePolicy
from gentianpulley.logs import EventLog


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Which requests belong to a queue, by host and path prefix."""

    host: str
    prefix: str


@dataclass(frozen=True, slots=True)
class QueueRule:
    """One queue of a cfg; `timeout_ms` is the timeout of a caller's request."""

    route: QueueRoute
    policy: QueuePolicy
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class QueueCfg:
    """The queues of one cfg version, and the limit on request bodies."""

    version: int
    rules: tuple[QueueRule, ...]
    max_body_bytes: int


class QueueTable:
    """Finds the queue of a request in the active cfg."""

    def __init__(self, log: EventLog) -> None:
        """Start without a cfg."""
        self._log = log
        self._lock = threading.Lock()
        self._cfg: QueueCfg | None = None
        self._by_host: dict[str, tuple[QueueRule, ...]] = {}

    @property
    def cfg(self) -> QueueCfg | None:
        """Return the active cfg, None before the first."""
        return self._cfg

    def update(self, cfg: QueueCfg) -> None:
        """Activate a cfg unless the active one is as new or newer."""
        with self._lock:
            active = self._cfg
            if active is not None and cfg.version <= active.version:
                return
            self._by_host = _by_host(cfg)
            self._cfg = cfg
        self._log.cfg_in_force(cfg.version, len(cfg.rules))

    def find(self, host: str, path: str) -> QueueRule | None:
        """Return the rule with the longest matching path prefix, or None."""
        host_name = host.rsplit(':', maxsplit=1)[0].lower()
        for rule in self._by_host.get(host_name, ()):
            if path.startswith(rule.route.prefix):
                return rule
        return None


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
