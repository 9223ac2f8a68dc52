"""Structured logs: JSON lines on standard output, written by eliot.

Each kind of event has one method, so that field names stay the same across
the processes and one request can be followed through all of them by its
request key, owner epoch and attempt.
"""

import atexit
import logging
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

import eliot

from gentianpulley.log_sampler import (
    LogSampler,
    UnlimitedSampler,
    JobLogSampler,
)
from gentianpulley.log_sink import ADMITTED_FIELD, LogSink
from gentianpulley.result_code import ResultCode

if TYPE_CHECKING:
    from gentianpulley.cluster.worker_protocol import RunKey

_PREFIX: Final = 'gentianpulley:'

_USUAL_ENDS: Final = frozenset(('done', 'stopped'))
"""Causes of ends that say nothing of trouble."""

_BAD_STATES: Final = frozenset(('failed',))
"""Final states of jobs that are always told."""


def _write_nothing() -> None:
    """Flush where nothing waits to be written."""


class EventLog:
    """Writes the events of one instance.

    `flush` waits shortly for lines that are not written yet. Events that come
    for every task or job are written if the gate admits them.
    """

    def __init__(
        self,
        flush: Callable[[], None] = _write_nothing,
        sampler: LogSampler | None = None,
    ) -> None:
        """Pass events on to the logging library."""
        self.flush = flush
        self._gate = sampler or UnlimitedSampler()

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
        """A call to a worker failed; `repeated` counts lines left out."""
        repeated = self._gate.count_suppressed('worker_trouble', worker)
        if repeated is not None:
            _write(
                'worker_trouble',
                worker=worker,
                detail=detail,
                repeated=repeated,
            )

    def job_stored(self, job_id: str, queue: str, cfg_version: int) -> None:
        """A job was accepted under a version of the cfg."""
        self._gate.report_omitted()
        if self._gate.may_write('job_stored', job_id):
            _write_admitted(
                'job_stored', job_id=job_id, queue=queue, cfg=cfg_version
            )

    def job_refused(self, job_id: str, reason: str) -> None:
        """A submission could not be read; nothing was stored."""
        _write('job_refused', job_id=job_id, reason=reason)

    def job_not_stored(self, job_id: str, outcome: str, detail: str) -> None:
        """An attempt to store a job was refused, or its answer was lost."""
        _write('job_not_stored', job_id=job_id, outcome=outcome, detail=detail)

    def job_cancelled(self, job_id: str) -> None:
        """A caller's cancelling was stored."""
        _write('job_cancelled', job_id=job_id)

    def job_state(self, job_id: str, state: str, waited_ms: int) -> None:
        """A job came to its end, `waited_ms` after it was submitted."""
        self._gate.report_omitted()
        if state in _BAD_STATES:
            _write('job_state', job_id=job_id, state=state, age_ms=waited_ms)
        elif self._gate.may_write('job_state', job_id):
            _write_admitted(
                'job_state', job_id=job_id, state=state, age_ms=waited_ms
            )

    def run_ordered(
        self,
        key: 'RunKey',
        worker: str,
        load_percent: int,
        list_age_ms: int,
        *,
        is_endless: bool = False,
    ) -> None:
        """A task was placed.

        The load is the worker's reserved share, known from lists of this age.
        """
        write = _write_run
        if not is_endless:
            if not self._gate.may_write('run_ordered', key.task_id.job_id):
                return
            write = _write_admitted_run
        write(
            'run_ordered',
            key,
            worker,
            load_percent=load_percent,
            list_age_ms=list_age_ms,
        )

    def run_ended(
        self,
        key: 'RunKey',
        worker: str,
        cause: str,
        *,
        is_endless: bool = False,
    ) -> None:
        """A worker listed the end of a run.

        A job of which a run ended badly is followed from there on.
        """
        job_id = key.task_id.job_id
        if cause not in _USUAL_ENDS:
            self._gate.force_sample(job_id)
            _write_run('run_ended', key, worker, cause=cause)
        elif is_endless:
            _write_run('run_ended', key, worker, cause=cause)
        elif self._gate.may_write('run_ended', job_id):
            _write_admitted_run('run_ended', key, worker, cause=cause)

    def run_adopted(self, key: 'RunKey', worker: str) -> None:
        """A run of an earlier leader goes on under this one."""
        _write_run('run_adopted', key, worker)

    def run_unknown(self, key: 'RunKey', worker: str) -> None:
        """A worker lists a run of no known job; it is stopped."""
        _write_run('run_unknown', key, worker)

    def run_returned(self, key: 'RunKey', worker: str, reason: str) -> None:
        """A run is surely not on the worker any more."""
        _write_run('run_returned', key, worker, reason=reason)

    def plan_report(
        self, metric_values: Mapping[str, int], **names: str
    ) -> None:
        """What a leader planned in a second, and what waits and why."""
        self._gate.report_omitted()
        _write('plan_report', **metric_values, **names)

    def upkeep(self, machine: str, wave: int, verdict: str) -> None:
        """A machine was ordered to go down for upkeep."""
        _write('upkeep', machine=machine, wave=wave, verdict=verdict)

    def advised(self, job_id: str, asked: int, allowed: int) -> None:
        """The advice service answered for a step of a job."""
        _write('advised', job_id=job_id, asked=asked, allowed=allowed)

    def run_moved(self, key: 'RunKey', worker: str) -> None:
        """A run that was paced down is stopped, to go on elsewhere."""
        _write_run('run_moved', key, worker)

    def run_too_slow(
        self, key: 'RunKey', worker: str, progress_percent: int
    ) -> None:
        """A run is stopped, as it would end sooner on another worker."""
        _write_run(
            'run_too_slow', key, worker, progress_percent=progress_percent
        )

    def start_refused(self, key: 'RunKey', worker: str, verdict: str) -> None:
        """A worker did not start a run."""
        _write_run('start_refused', key, worker, verdict=verdict)

    def worker_reborn(self, worker: str) -> None:
        """A worker started anew; what ran on it before is over."""
        _write('worker_reborn', worker=worker)

    def leader_state(self, state: str, token: int, detail: str = '') -> None:
        """This instance began or ended to lead."""
        _write('leader_state', state=state, token=token, detail=detail)

    def candidacy(self, state: str, candidate: str) -> None:
        """A candidate offered to take over, or the leader hands over to it."""
        _write('candidacy', state=state, candidate=candidate)

    def cfg_in_force(self, version: int, queues: int) -> None:
        """A newer cfg is in force."""
        _write('cfg_in_force', version=version, queues=queues)

    def dependency(self, name: str, state: str, detail: str = '') -> None:
        """A dependency was lost or regained."""
        _write('dependency', name=name, state=state, detail=detail)

    def settings_reloaded(self, changed: str) -> None:
        """The settings were read again; lists what differs."""
        _write('settings_reloaded', changed=changed)

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


def _write_run(
    event: str, key: 'RunKey', worker: str, **fields: str | int
) -> None:
    """Write an event of one run, with the ids that lead to its job."""
    _write(event, **_run_fields(key, worker), **fields)


def _write_admitted_run(
    event: str, key: 'RunKey', worker: str, **fields: str | int
) -> None:
    """Write an event of one run that the gate has admitted."""
    _write_admitted(event, **_run_fields(key, worker), **fields)


def _run_fields(key: 'RunKey', worker: str) -> dict[str, str | int]:
    task = key.task_id
    return {
        'job_id': task.job_id,
        'task': f'{task.occurrence}.{task.step}.{task.ordinal}',
        'run': key.run,
        'worker': worker,
    }


def start_log(instance: str, failure_domain: str) -> EventLog:
    """Write events to standard output, marked with the instance."""
    # The library logs each failed connection, which has an event of its own.
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    sink = LogSink(sys.stdout.fileno())
    atexit.register(sink.flush)
    eliot.add_destinations(sink)
    eliot.add_global_fields(instance=instance, failure_domain=failure_domain)
    return EventLog(sink.flush, JobLogSampler(_write_left_out))


def _write(event: str, **fields: str | int) -> None:
    eliot.log_message(message_type=f'{_PREFIX}{event}', **fields)


def _write_admitted(event: str, **fields: str | int) -> None:
    """Write an event that the gate has counted against its own bound."""
    _write(event, **{ADMITTED_FIELD: 1}, **fields)


def _write_left_out(counts: Mapping[str, int], share_percent: int) -> None:
    """Write how many lines of which kinds were left out."""
    _write('lines_left_out', share_percent=share_percent, **counts)
