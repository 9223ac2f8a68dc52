"""Structured logs: JSON lines on standard output, written by eliot.

Each kind of event has one method, so that field names stay the same across
the processes and one request can be followed through all of them by its
request key, owner epoch and attempt.
"""

import logging
import sys
from typing import Final

import eliot

from gentianpulley.result_code import ResultCode

_PREFIX: Final = 'gentianpulley:'


class EventLog:
    """Writes the events of one instance."""

    def request_accepted(self, request_key: str, work_class: str) -> None:
        """A request passed its checks."""
        _write('request_accepted', request_key=request_key, cls=work_class)

    def request_answered(self, request_key: str, code: ResultCode) -> None:
        """A caller got its answer."""
        _write('request_answered', request_key=request_key, code=code.number)

    def task_routed(
        self, request_key: str, incarnation: int, owner: str, code: ResultCode
    ) -> None:
        """An owner answered an order."""
        _write(
            'task_routed',
            request_key=request_key,
            attempt=incarnation,
            owner=owner,
            code=code.number,
        )

    def task_sent(self, task_id: str, worker: str, epoch: int) -> None:
        """A start command is about to be sent."""
        _write('task_sent', task_id=task_id, worker=worker, epoch=epoch)

    def task_ended(self, task_id: str, worker: str, code: ResultCode) -> None:
        """An owner learned how a task ended."""
        _write('task_ended', task_id=task_id, worker=worker, code=code.number)

    def task_evicted(self, task_id: str, worker: str, reason: str) -> None:
        """A task was checkpointed and stopped."""
        _write('task_evicted', task_id=task_id, worker=worker, reason=reason)

    def job_requeued(self, request_key: str, incarnation: int) -> None:
        """A job goes back to its queue."""
        _write('job_requeued', request_key=request_key, attempt=incarnation)

    def job_adopted(self, request_key: str, former: str) -> None:
        """A dead coordinator's job was taken over."""
        _write('job_adopted', request_key=request_key, former=former)

    def worker_owned(self, worker: str, epoch: int, tasks: int) -> None:
        """This instance fenced a worker and now owns it."""
        _write('worker_owned', worker=worker, epoch=epoch, tasks=tasks)

    def worker_released(self, worker: str, epoch: int) -> None:
        """This instance no longer owns a worker."""
        _write('worker_released', worker=worker, epoch=epoch)

    def worker_trouble(self, worker: str, detail: str) -> None:
        """A call to a worker failed."""
        _write('worker_trouble', worker=worker, detail=detail)

    def peer_trouble(self, peer: str, detail: str) -> None:
        """A call to a peer failed."""
        _write('peer_trouble', peer=peer, detail=detail)

    def store_trouble(self, detail: str) -> None:
        """A call to the store failed."""
        _write('store_trouble', detail=detail)

    def list_trouble(self, detail: str) -> None:
        """The instance list could not be read."""
        _write('list_trouble', detail=detail)

    def document_in_force(self, kind: str, revision: int) -> None:
        """A newer document is in force."""
        _write('document_in_force', kind=kind, revision=revision)

    def document_damaged(self, kind: str, detail: str) -> None:
        """A document could not be read and was left out."""
        _write('document_damaged', kind=kind, detail=detail)

    def process_state(self, state: str) -> None:
        """The process changed its state."""
        _write('process_state', state=state)

    def internal_fault(self, detail: str) -> None:
        """An unexpected exception ended a step."""
        _write('internal_fault', detail=detail)


def start_log(instance: str, failure_domain: str) -> EventLog:
    """Write events to standard output, marked with the instance."""
    # The library logs each failed connection, which has an event of its own.
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    eliot.to_file(sys.stdout)
    eliot.add_global_fields(instance=instance, failure_domain=failure_domain)
    return EventLog()


def _write(event: str, **fields: str | int) -> None:
    eliot.log_message(message_type=f'{_PREFIX}{event}', **fields)
