"""Runs calls of tasks from tests that are not in an event loop."""

import asyncio
import threading
from collections.abc import Coroutine
from functools import cache
from typing import Any, Final, TypeVar

RESULT_TIMEOUT_S: Final = 30

_Result = TypeVar('_Result')


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine in the event loop of all tests; return its result."""
    fut = asyncio.run_coroutine_threadsafe(coroutine, _loop())
    return fut.result(RESULT_TIMEOUT_S)


@cache
def _loop() -> asyncio.AbstractEventLoop:
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    return loop
