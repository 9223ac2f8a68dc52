"""The cost of estimating interference does not grow with the cluster."""

import pytest

from gentianpulley.cluster.interference import (
    REPORT_BURST_MS,
    MAX_REPORTS_PER_S,
    InterferenceModel,
    create_interference_model,
)
from gentianpulley.cluster.worker_protocol import RunningRow
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    START_MS,
    SchedulerHarness,
    create_harness,
    job,
    step,
)

SERVING = '1' * 16
TAIL_MS = 49
SECONDS = 10


def _interfering_harness() -> SchedulerHarness:
    """Return a worker on which best-effort tasks wait.

    They would interfere too much with its latency-critical tasks.
    """
    harness = create_harness('w1')
    needs = Resources(12_000, 1000)
    serving = step(
        4, is_endless=True, resources=needs, image='s', tail_target_ms=50
    )
    harness.scheduler.add_job(job(serving, job_id=SERVING))
    rows = tuple(
        RunningRow(order.key, '', 100, TAIL_MS) for order in harness.start_all()
    )
    harness.at_ms += 500
    harness.report_listing('w1', rows)
    best_effort = step(4, fills_spare=True, image='f', checkpoints=True)
    harness.scheduler.add_job(job(best_effort))
    assert not harness.plan()
    return harness


def test_harm_is_not_weighed_again_while_nothing_has_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against repeated estimates of interference in each plan.

    Plans of a loaded cluster took a tenth of a second each, as tasks that would
    interfere were estimated again for each worker in each plan.
    """
    predicted: list[str] = []
    predict = InterferenceModel.predict

    def _counted(
        model: InterferenceModel, serving: str, shares: object
    ) -> float:
        predicted.append(serving)
        return predict(model, serving, {})

    harness = _interfering_harness()
    monkeypatch.setattr(InterferenceModel, 'predict', _counted)
    for _ in range(10):
        harness.at_ms += 15
        assert not harness.plan()
    assert not predicted


def test_harm_is_weighed_again_once_a_serving_task_has_left() -> None:
    harness = _interfering_harness()
    for key in tuple(harness.scheduler.workers['w1'].reservations):
        if key.task_id.job_id == SERVING:
            harness.end('w1', key)
    assert harness.plan()


@pytest.mark.parametrize(
    ('gap_ms', 'wanted'),
    [
        (1, MAX_REPORTS_PER_S * SECONDS),
        (100, SECONDS * 10),
        (1000, SECONDS),
    ],
)
def test_the_model_learns_from_so_many_reports_a_second(
    gap_ms: int, wanted: int
) -> None:
    model = create_interference_model()
    times = range(START_MS, START_MS + SECONDS * 1000, gap_ms)
    admitted = sum(model.admit_report(at_ms) for at_ms in times)
    burst = MAX_REPORTS_PER_S * REPORT_BURST_MS // 1000
    assert wanted <= admitted <= wanted + burst
