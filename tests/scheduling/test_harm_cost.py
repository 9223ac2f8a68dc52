"""The work of weighing harm does not grow with the site."""

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
FRAGILE_MS = 49
SECONDS = 10


def _harmful_site() -> SchedulerHarness:
    """Return a worker on which a filling task waits, as it would harm."""
    site = create_harness('w1')
    needs = Resources(12_000, 1000)
    serving = step(
        4, is_endless=True, resources=needs, image='s', tail_target_ms=50
    )
    site.scheduler.add_job(job(serving, job_id=SERVING))
    rows = tuple(
        RunningRow(order.key, '', 100, FRAGILE_MS) for order in site.start_all()
    )
    site.at_ms += 500
    site.report_listing('w1', rows)
    filling = step(4, fills_spare=True, image='f', checkpoints=True)
    site.scheduler.add_job(job(filling))
    assert not site.plan()
    return site


def test_harm_is_not_weighed_again_while_nothing_has_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Plans of a loaded site took a tenth of a second each: tasks that would
    harm were weighed anew at each worker in each of them."""
    asked: list[str] = []
    predict = InterferenceModel.predict

    def _counted(
        model: InterferenceModel, serving: str, shares: object
    ) -> float:
        asked.append(serving)
        return predict(model, serving, {})

    site = _harmful_site()
    monkeypatch.setattr(InterferenceModel, 'predict', _counted)
    for _ in range(10):
        site.at_ms += 15
        assert not site.plan()
    assert not asked


def test_harm_is_weighed_again_once_a_serving_task_has_left() -> None:
    site = _harmful_site()
    for key in tuple(site.scheduler.workers['w1'].reservations):
        if key.task_id.job_id == SERVING:
            site.end('w1', key)
    assert site.plan()


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
    taken = sum(model.admit_report(at_ms) for at_ms in times)
    burst = MAX_REPORTS_PER_S * REPORT_BURST_MS // 1000
    assert wanted <= taken <= wanted + burst
