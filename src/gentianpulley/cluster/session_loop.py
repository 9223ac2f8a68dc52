"""The event loop that runs all sessions with workers of one leader.

A leader of hundreds of workers waits for as many responses at once. With a
thread for each, waking up costs several times as much as the calls.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, Final

THREAD_NAME: Final = 'sessions'


class SessionLoop:
    """An event loop in a thread of its own.

    Other threads hand callbacks over with `call`; those that are handed over
    before the loop gets to them share one wake-up.
    """

    def __init__(self) -> None:
        """Create the loop without starting its thread."""
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._callbacks: list[Callable[[], None]] = []
        self._callbacks_lock = threading.Lock()
        self._is_closing = False
        self._has_ended = False

    @property
    def is_running(self) -> bool:
        """Return whether the loop has not ended."""
        return not self._has_ended

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, name=THREAD_NAME, daemon=True
        ).start()

    def call(self, callback: Callable[[], None]) -> None:
        """Call back soon in the loop, unless it has ended; from any thread."""
        with self._callbacks_lock:
            if self._has_ended:
                return
            self._callbacks.append(callback)
            if len(self._callbacks) == 1:
                self._loop.call_soon_threadsafe(self._run_callbacks)

    def spawn(self, create: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a new task in the loop; called from any thread."""
        self.call(lambda: self._spawn(create()))

    def close(self) -> None:
        """End the thread once all tasks have ended; from any thread."""
        self.call(self._close)

    def _run(self) -> None:
        self._loop.run_forever()
        with self._callbacks_lock:
            self._has_ended = True
        self._loop.close()

    def _run_callbacks(self) -> None:
        with self._callbacks_lock:
            callbacks = self._callbacks
            self._callbacks = []
        for callback in callbacks:
            try:
                callback()
            except Exception as error:
                # The others were handed over independently of this one.
                self._loop.call_exception_handler(
                    {'message': 'a callback failed', 'exception': error}
                )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._stop_if_idle()

    def _close(self) -> None:
        self._is_closing = True
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        if self._is_closing and not self._tasks:
            self._loop.stop()


def start_session_loop() -> SessionLoop:
    """Return a running loop."""
    session_loop = SessionLoop()
    session_loop.start()
    return session_loop
