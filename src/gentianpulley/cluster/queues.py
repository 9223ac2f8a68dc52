"""The queues of the cfg in force, and the failure domains taken out.

A newer version replaces an older one; an older one never comes back while the
process lives.
"""

import threading
from dataclasses import dataclass

from gentianpulley.jobs.spec import QueuePolicy
from gentianpulley.logs import EventLog


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Which requests belong to a queue: the host and the path's prefix."""

    host: str
    prefix: str


@dataclass(frozen=True, slots=True)
class QueueRule:
    """One queue of a cfg; `timeout_ms` bounds a caller's request."""

    route: QueueRoute
    policy: QueuePolicy
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class QueueCfg:
    """The queues of one version of the cfg, and limits on requests."""

    version: int
    rules: tuple[QueueRule, ...]
    max_body_bytes: int


class QueueTable:
    """Finds the queue of a request in the cfg in force."""

    def __init__(self, log: EventLog) -> None:
        """Know no cfg yet."""
        self._log = log
        self._lock = threading.Lock()
        self._cfg: QueueCfg | None = None
        self._by_host: dict[str, tuple[QueueRule, ...]] = {}

    @property
    def cfg(self) -> QueueCfg | None:
        """Return the cfg in force, None before the first."""
        return self._cfg

    def update(self, cfg: QueueCfg) -> None:
        """Put a cfg in force unless it is older than the one that is."""
        with self._lock:
            known = self._cfg
            if known is not None and cfg.version <= known.version:
                return
            self._by_host = _by_host(cfg)
            self._cfg = cfg
        self._log.cfg_in_force(cfg.version, len(cfg.rules))

    def find(self, host: str, path: str) -> QueueRule | None:
        """Return the rule with the longest prefix that the path begins with."""
        name = host.rsplit(':', maxsplit=1)[0].lower()
        for rule in self._by_host.get(name, ()):
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
