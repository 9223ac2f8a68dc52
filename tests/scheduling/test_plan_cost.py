"""The cost of a plan does not grow with workers times waiting steps."""

import pytest

from gentianpulley.cluster.worker import Worker
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

WORKERS = 40
STEPS = 30


def _full_harness() -> SchedulerHarness:
    """Return a harness on which all workers are full and many steps wait."""
    harness = create_harness(*(f'w{number}' for number in range(WORKERS)))
    full_worker = Resources(64_000, 1000)
    harness.scheduler.add_job(job(step(WORKERS, resources=full_worker)))
    assert len(harness.start_all()) == WORKERS
    for number in range(STEPS):
        waiting_step = step(
            resources=Resources(1000 + number, 1000), image=str(number)
        )
        harness.scheduler.add_job(job(waiting_step, job_id=f'{number:016x}'))
    return harness


def test_a_plan_asks_each_worker_once_whether_it_accepts_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against checking all workers again for each waiting step.

    With 246 workers, this took a third of a core on the leader.
    """
    checked: list[str] = []
    accepts = Worker.accepts_runs

    def _counted(worker: Worker, now_ms: int) -> bool:
        checked.append(worker.worker_id)
        return accepts(worker, now_ms)

    harness = _full_harness()
    monkeypatch.setattr(Worker, 'accepts_runs', _counted)
    assert not harness.plan()
    assert len(checked) == WORKERS
