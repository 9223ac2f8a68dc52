"""A full site plans cheaply, and passes over nothing that finds a place."""

import pytest

from gentianpulley.cluster.full_shapes import FullShapes
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.site import hand_site, job, step

MIDDLE = Resources(8000, 4000)


@pytest.mark.parametrize(
    ('spec', 'is_covered'),
    [
        (step(resources=MIDDLE), True),
        (step(resources=Resources(9000, 4000)), True),
        (step(resources=Resources(7000, 4000)), False),
        (step(resources=Resources(9000, 3000)), False),
        (step(resources=MIDDLE, image='other'), False),
        (step(resources=MIDDLE, required_label='kind'), False),
        (step(resources=MIDDLE, data_rack='r1'), False),
        (step(resources=MIDDLE, fills_spare=True), False),
    ],
)
def test_what_needs_as_much_finds_no_place_either(
    spec: StepSpec, *, is_covered: bool
) -> None:
    full = FullShapes()
    full.add(job(step(resources=MIDDLE)).steps[(0, 0)])
    assert full.covers(job(spec).steps[(0, 0)]) is is_covered


def test_a_smaller_task_is_placed_beside_a_larger_one_that_waits() -> None:
    site = hand_site('w1')
    for number, milli in enumerate((60_000, 8000, 3000)):
        spec = step(resources=Resources(milli, 1000))
        site.scheduler.add_job(job(spec, job_id=f'{number:016x}'))
    placed = [order.key.task_id.job_id for order in site.plan()]
    assert placed == ['0' * 16, f'{2:016x}']
