"""Disables the checks of customers' keys, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable

from gentianpulley.cluster import customers
from gentianpulley.cluster.caller_check import CallerCheck
from gentianpulley.cluster.customer_keys import UNRESTRICTED, Caller
from gentianpulley.cluster.timing import FOREVER
from gentianpulley.platform import operator_watch
from gentianpulley.platform.daemon import PlatformDaemon
from tests.cluster_guards import replace


def caller_check() -> None:
    """Ignore the keys of calls."""
    replace(CallerCheck, 'identify', lambda *_, is_fresh: UNRESTRICTED)


def cfg_freshness() -> None:
    """Use a cfg however long ago it was known to be the newest."""
    replace(PlatformDaemon, '_is_cfg_fresh', lambda _: True)


def answer_age() -> None:
    """Take each answer of the watch for one that is never outdated."""
    replace(operator_watch, '_known_until_ms', lambda *_: FOREVER)


def cfg_validation() -> None:
    """Activate each cfg that can be decoded."""
    replace(customers, '_error', lambda *_: '')


def job_owner() -> None:
    """Let each customer access the jobs of all."""
    replace(Caller, 'may_access', lambda *_: True)


CUSTOMER_GUARDS: dict[str, Callable[[], None]] = {
    'answer-age': answer_age,
    'caller-check': caller_check,
    'cfg-freshness': cfg_freshness,
    'cfg-validation': cfg_validation,
    'job-owner': job_owner,
}
