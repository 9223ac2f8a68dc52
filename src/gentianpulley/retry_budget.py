"""Limits retries to a fraction of the requests that were served."""

import threading
from typing import Final

RETRY_RATIO: Final = 0.1
INITIAL_TOKENS: Final = 10.0
MAX_TOKENS: Final = 100.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    When many requests fail at once, retries stop well before they double the
    load. Example: after 50 requests, 15 retries in a row are allowed.
    """

    def __init__(self) -> None:
        """Start with a few tokens, so that an idle cluster can retry."""
        self._lock = threading.Lock()
        self._tokens = INITIAL_TOKENS

    def deposit(self) -> None:
        """Add the fraction of a retry that one request earns."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def try_withdraw(self) -> bool:
        """Spend one retry; False if the budget is empty."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
