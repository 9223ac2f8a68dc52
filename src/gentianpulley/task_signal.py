"""Signals between the callbacks and the one task that waits for them.

`asyncio.Event` serves any number of tasks, and its timeout starts another
task for each wait. A connection waits several times for each call, so it uses
this instead.
"""

import asyncio


class Signal:
    """Wakes the task that waits for it; used in one event loop only."""

    def __init__(self) -> None:
        """Start unset."""
        self.is_set = False
        self._waiter: asyncio.Future[None] | None = None

    def set(self) -> None:
        """Set the signal and wake the task that waits for it."""
        self.is_set = True
        if self._waiter is not None:
            _resolve(self._waiter)

    def clear(self) -> None:
        """Unset the signal; the next wait lasts until it is set again."""
        self.is_set = False

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait until the signal is set, at most for `timeout_s` seconds."""
        if self.is_set:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        timer = None
        if timeout_s is not None:
            timer = waiter.get_loop().call_later(timeout_s, _resolve, waiter)
        await waiter
        self._waiter = None
        if timer is not None:
            timer.cancel()


def _resolve(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
