"""Steps that wait because their customers have as much running as they may."""

from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.wait_reasons import WaitingSteps, WaitReason
from gentianpulley.jobs.job import StepRun
from gentianpulley.logs import EventLog


def record_ceiling_wait(
    step: StepRun, waits: WaitingSteps, usage: CustomerUsage, log: EventLog
) -> None:
    """Record that the ceiling of its customer keeps a step from starting.

    This is not a time in which its job could have started: it does not become
    starving, and so accepts no interference once the ceiling has room.
    """
    waits.record(step, WaitReason.CEILING)
    step.job.restart_idle_time(waits.now_ms)
    if not waits.waits_newly(step):
        return
    customer = step.job.spec.customer
    log.ceiling_reached(
        step.job.spec.job_id,
        customer,
        held=usage.held_by(customer).as_resources().as_tuple(),
        ceiling=usage.ceiling_of(customer).as_tuple(),
        need=step.spec.resources.as_tuple(),
    )
