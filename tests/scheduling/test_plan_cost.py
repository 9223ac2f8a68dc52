"""The work of a plan does not grow with workers times waiting steps."""

import pytest

from gentianpulley.cluster.worker import Worker
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

WORKERS = 40
STEPS = 30


def _full_site() -> SchedulerHarness:
    """Return a site on which each worker is full and many steps wait."""
    site = create_harness(*(f'w{number}' for number in range(WORKERS)))
    whole = Resources(64_000, 1000)
    site.scheduler.add_job(job(step(WORKERS, resources=whole)))
    assert len(site.start_all()) == WORKERS
    for number in range(STEPS):
        shape = step(
            resources=Resources(1000 + number, 1000), image=str(number)
        )
        site.scheduler.add_job(job(shape, job_id=f'{number:016x}'))
    return site


def test_a_plan_asks_each_worker_once_whether_it_accepts_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of the waiting steps asked all workers, which took the leader of a
    site with 246 workers a third of a core."""
    asked: list[str] = []
    accepts = Worker.accepts_runs

    def _counted(worker: Worker, now_ms: int) -> bool:
        asked.append(worker.worker_id)
        return accepts(worker, now_ms)

    site = _full_site()
    monkeypatch.setattr(Worker, 'accepts_runs', _counted)
    assert not site.plan()
    assert len(asked) == WORKERS
