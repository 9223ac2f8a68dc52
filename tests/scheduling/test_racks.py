"""Steps that should stay on one rack, and data that lies on one."""

import pytest

from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

HALF = Resources(32_000, 1000)


def _harness_with(**racks: int) -> SchedulerHarness:
    """Return a harness with the given number of workers in each rack."""
    harness = create_harness()
    for rack, count in racks.items():
        for number in range(count):
            labels = frozenset(('kind', rack))
            harness.add_worker(f'{rack}-{number}', rack=rack, labels=labels)
    return harness


def _racks(harness: SchedulerHarness) -> set[str]:
    return {order.worker_id.partition('-')[0] for order in harness.start_all()}


@pytest.mark.parametrize(
    ('data_rack', 'count', 'racks'),
    [
        ('', 4, {'r2'}),
        ('', 6, {'r2'}),
        ('r1', 4, {'r1'}),
        # The data's rack is too small for the whole step.
        ('r1', 6, {'r2'}),
        # No rack is large enough.
        ('', 8, {'r1', 'r2'}),
    ],
)
def test_a_step_stays_on_one_rack_if_it_fits(
    data_rack: str, count: int, racks: set[str]
) -> None:
    harness = _harness_with(r1=2, r2=3)
    spec = step(count, same_rack=True, resources=HALF, data_rack=data_rack)
    harness.scheduler.add_job(job(spec))
    assert _racks(harness) == racks


def test_later_tasks_follow_the_first_to_their_rack() -> None:
    harness = _harness_with(r1=1)
    harness.scheduler.add_job(job(step(3, same_rack=True, resources=HALF)))
    assert _racks(harness) == {'r1'}
    labels = frozenset(('kind', 'r2'))
    harness.add_worker('r2-0', rack='r2', labels=labels)
    harness.add_worker('r1-1', rack='r1')
    assert _racks(harness) == {'r1'}


def test_a_gang_stays_on_one_rack() -> None:
    harness = _harness_with(r1=2, r2=3)
    spec = step(5, same_rack=True, is_gang=True, resources=HALF)
    harness.scheduler.add_job(job(spec))
    assert _racks(harness) == {'r2'}
