"""What differs between two lists of the runs on one worker.

Rows are found by their run. The order of a rebuilt list is that of the former
one, with new rows at the end.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from gentianpulley.cluster.link import RunningRow


class MovedRow(NamedTuple):
    """A row at a place in the former list whose figures have changed."""

    place: int
    progress_percent: int
    gauge: int


class SavedRow(NamedTuple):
    """A row at a place in the former list with another checkpoint."""

    place: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ListChange:
    """How a list follows from the former one; `gone` are places there."""

    gone: tuple[int, ...] = ()
    moved: tuple[MovedRow, ...] = ()
    saved: tuple[SavedRow, ...] = ()
    added: tuple[RunningRow, ...] = ()


def change_between(
    former: tuple[RunningRow, ...], rows: tuple[RunningRow, ...]
) -> ListChange:
    """Return what turns the former list into one with the same rows."""
    found = {row.key: row for row in rows}
    former_keys = {row.key for row in former}
    kept = [
        (place, row, found[row.key])
        for place, row in enumerate(former)
        if row.key in found
    ]
    return ListChange(
        gone=tuple(
            place for place, row in enumerate(former) if row.key not in found
        ),
        moved=tuple(
            MovedRow(place, new.progress_percent, new.gauge)
            for place, row, new in kept
            if _figures(row) != _figures(new)
        ),
        saved=tuple(
            SavedRow(place, new.checkpoint)
            for place, row, new in kept
            if row.checkpoint != new.checkpoint
        ),
        added=tuple(
            row for key, row in found.items() if key not in former_keys
        ),
    )


def apply_change(
    former: tuple[RunningRow, ...], change: ListChange
) -> tuple[RunningRow, ...]:
    """Return the new list; raises `IndexError` for a place beyond it."""
    rows: list[RunningRow | None] = list(former)
    for place, progress_percent, gauge in change.moved:
        was = former[place]
        rows[place] = RunningRow(
            was.key, was.checkpoint, progress_percent, gauge
        )
    for saved in change.saved:
        row = rows[saved.place] or former[saved.place]
        rows[saved.place] = replace(row, checkpoint=saved.checkpoint)
    for place in change.gone:
        rows[place] = None
    return (*(row for row in rows if row is not None), *change.added)


def _figures(row: RunningRow) -> tuple[int, int]:
    return row.progress_percent, row.gauge
