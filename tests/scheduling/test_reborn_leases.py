"""A worker that restarted unnoticed may hold a longer lease than was meant."""

from gentianpulley.cluster.timing import CLOCK_DRIFT
from gentianpulley.cluster.worker_protocol import RunningRow
from tests.scheduling.harness import TIMING, create_harness, job, step

PLAN_MS = 50


def test_a_run_of_a_restarted_worker_was_over_before_its_lease() -> None:
    """A poll to the former incarnation reached the new one, and renewed its
    lease to the former clock's deadline, cut to the cluster's limit."""
    harness = create_harness('w1')
    harness.report_listing('w1')
    harness.scheduler.end_incarnation('w1', harness.at_ms)
    harness.add_worker('w1', incarnation_ms=2)
    harness.report_listing('w1')
    renewed_ms = harness.at_ms
    harness.scheduler.add_job(job(step()))
    (order,) = harness.start_all()
    harness.report_listing('w1', (RunningRow(order.key, '', 50, 0),))
    harness.add_worker('w2')
    harness.report_listing('w2')
    while not harness.plan():
        harness.at_ms += PLAN_MS
        harness.scheduler.expire_leases(harness.at_ms)
    longest_ms = TIMING.max_lease_ms / (1 - CLOCK_DRIFT)
    assert harness.at_ms - renewed_ms > longest_ms
