"""Changes of lists: whatever changes, the rebuilt list has the same rows."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianpulley.cluster.link import RunKey, RunningRow
from gentianpulley.cluster.list_change import (
    ListChange,
    MovedRow,
    SavedRow,
    apply_change,
    change_between,
)
from gentianpulley.jobs.spec import TaskId

KEYS = st.builds(
    lambda ordinal, run: RunKey(TaskId('a' * 16, 0, 0, ordinal), run),
    st.integers(0, 4),
    st.integers(1, 2),
)
ROWS = st.builds(
    RunningRow,
    KEYS,
    st.sampled_from(('', 'saved')),
    st.integers(0, 3),
    st.integers(0, 3),
)
LISTS = st.lists(ROWS, max_size=8, unique_by=lambda row: row.key).map(tuple)


@given(st.lists(LISTS, max_size=5))
def test_lists_that_follow_each_other_are_rebuilt(
    lists: list[tuple[RunningRow, ...]],
) -> None:
    held: tuple[RunningRow, ...] = ()
    for rows in lists:
        held = apply_change(held, change_between(held, rows))
        assert len(held) == len(rows)
        assert set(held) == set(rows)


@given(LISTS)
def test_an_equal_list_is_no_change(rows: tuple[RunningRow, ...]) -> None:
    assert change_between(rows, tuple(reversed(rows))) == ListChange()


@pytest.mark.parametrize(
    'change',
    [
        ListChange(gone=(1,)),
        ListChange(moved=(MovedRow(1, 2, 3),)),
        ListChange(saved=(SavedRow(1, 'x'),)),
    ],
)
def test_a_place_beyond_the_list_is_refused(change: ListChange) -> None:
    row = RunningRow(RunKey(TaskId('a' * 16, 0, 0, 0), 1), '', 0, 0)
    with pytest.raises(IndexError):
        apply_change((row,), change)
