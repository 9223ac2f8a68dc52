"""Lets other threads take their turn where the interpreter collects garbage."""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def changing_at_collections(change: Callable[[], None]) -> Iterator[None]:
    """Collect garbage as often as possible, and make a change each time.

    A collection may run callbacks in the middle of what is one operation
    otherwise, as a copy of a dictionary.
    """

    def make_change(phase: str, _: dict[str, int]) -> None:
        if phase == 'start':
            change()

    thresholds = gc.get_threshold()
    gc.callbacks.append(make_change)
    gc.set_threshold(1)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.callbacks.remove(make_change)
