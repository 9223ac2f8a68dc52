"""Lines of the tables that the CLI prints, one function per kind of row."""

from typing import Final

from gentianpulley.burn_report import BurnRow
from gentianpulley.front_messages import InstanceStatus, RequestAnswer

US_PER_MS: Final = 1000


def instance_line(status: InstanceStatus) -> str:
    """Return the line for one instance."""
    peer = status.peer
    ready = 'ready' if status.ready else status.unready_reason
    workers = len(status.workers)
    tasks = sum(worker.tasks for worker in status.workers)
    return (
        f'{peer.instance:20} {peer.failure_domain:16} {ready:10} '
        f'cfg {peer.cfg_revision} domains {peer.domains_revision} '
        f'workers {workers} tasks {tasks} queued {status.queued_jobs}'
    )


def answer_line(answer: RequestAnswer) -> str:
    """Return the line for the state or the outcome of a request."""
    size = f', {answer.answer_length} bytes' if answer.answer_length else ''
    return (
        f'{answer.request_key}: {answer.outcome} '
        f'{answer.code} {answer.name}{size}: {answer.text}'
    )


def burn_header() -> str:
    """Return the header line of the burn report."""
    return (
        f'{"class":20} {"domain":16} {"requests":>9} {"missed":>7} '
        f'{"burn 5m":>8} {"burn 1h":>8} {"budget":>8} '
        f'{"p50 ms":>8} {"p99 ms":>8} {"p99.9 ms":>9}'
    )


def burn_line(row: BurnRow) -> str:
    """Return the line for one class in one failure domain."""
    times = row.latencies
    return (
        f'{row.work_class:20} {row.failure_domain:16} {row.total:9} '
        f'{row.bad:7} {row.short_burn:8.2f} {row.long_burn:8.2f} '
        f'{row.budget_left:8.1%} {times.p50_us / US_PER_MS:8.1f} '
        f'{times.p99_us / US_PER_MS:8.1f} {times.p999_us / US_PER_MS:9.1f}'
    )
