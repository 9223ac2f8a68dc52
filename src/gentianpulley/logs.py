"""Structured logs: JSON lines on standard output, written by eliot.

Each event type has one method, so that field names are the same in all
processes and one request can be traced through them by its request key, owner
epoch and attempt.
"""

import atexit
import logging
import sys
from collections.abc import Callable, Mapping
from time import time
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

_LOGGER: Final = eliot.Logger()

_NORMAL_END_CAUSES: Final = frozenset(('done', 'stopped'))
"""Causes of ends of runs that do not indicate a failure."""

_FAILURE_STATES: Final = frozenset(('failed',))
"""Final states of jobs that are always logged."""


def _write_nothing() -> None:
    """Flush a log that buffers nothing."""


class EventLog:
    """Writes the events of one instance.

    `flush` waits briefly for buffered lines. Events that occur for every task
    or job are written if the sampler admits them.
    """

    def __init__(
        self,
        flush: Callable[[], None] = _write_nothing,
        sampler: LogSampler | None = None,
    ) -> None:
        """Forward events to the logging library; by default, without limit."""
        self.flush = flush
        self._sampler = sampler or UnlimitedSampler()

    def request_accepted(self, request_key: str, work_class: str) -> None:
        """A request passed its checks."""
        _write('request_accepted', request_key=request_key, cls=work_class)

    def request_answered(self, request_key: str, code: ResultCode) -> None:
        """A response was sent to a caller."""
        _write('request_answered', request_key=request_key, code=code.number)

    def task_routed(
        self, request_key: str, incarnation: int, owner: str, code: ResultCode
    ) -> None:
        """An owner responded to an order."""
        _write(
            'task_routed',
            request_key=request_key,
            attempt=incarnation,
            owner=owner,
            code=code.number,
        )

    def task_sent(self, task_id: str, worker: str, epoch: int) -> None:
        """A start order is about to be sent."""
        _write('task_sent', task_id=task_id, worker=worker, epoch=epoch)

    def task_ended(self, task_id: str, worker: str, code: ResultCode) -> None:
        """An owner received the result of a task."""
        _write('task_ended', task_id=task_id, worker=worker, code=code.number)

    def task_evicted(self, task_id: str, worker: str, reason: str) -> None:
        """A task was checkpointed and stopped."""
        _write('task_evicted', task_id=task_id, worker=worker, reason=reason)

    def job_requeued(self, request_key: str, incarnation: int) -> None:
        """A job was requeued."""
        _write('job_requeued', request_key=request_key, attempt=incarnation)

    def job_adopted(self, request_key: str, former: str) -> None:
        """The job of a failed coordinator was adopted."""
        _write('job_adopted', request_key=request_key, former=former)

    def worker_owned(self, worker: str, epoch: int, tasks: int) -> None:
        """This instance fenced a worker and now owns it."""
        _write('worker_owned', worker=worker, epoch=epoch, tasks=tasks)

    def worker_released(self, worker: str, epoch: int) -> None:
        """This instance no longer owns a worker."""
        _write('worker_released', worker=worker, epoch=epoch)

    def worker_trouble(self, worker: str, detail: str) -> None:
        """A call to a worker failed; `repeated` counts suppressed lines."""
        repeated = self._sampler.count_suppressed('worker_trouble', worker)
        if repeated is not None:
            _write(
                'worker_trouble',
                worker=worker,
                detail=detail,
                repeated=repeated,
            )

    def job_stored(
        self, job_id: str, queue: str, cfg_version: int, customer: str
    ) -> None:
        """A customer's job was accepted under a version of the cfg."""
        self._sampler.report_omitted()
        if self._sampler.may_write('job_stored', job_id):
            _write_admitted(
                'job_stored',
                job_id=job_id,
                queue=queue,
                cfg=cfg_version,
                customer=customer,
            )

    def job_refused(self, job_id: str, reason: str) -> None:
        """A submission could not be decoded; nothing was stored."""
        _write('job_refused', job_id=job_id, reason=reason)

    def job_rejected(
        self, job_id: str, queue: str, fields: Mapping[str, int]
    ) -> None:
        """A job was refused as not run, because it would end too late."""
        self._sampler.report_omitted()
        if self._sampler.may_write('job_rejected', job_id):
            _write_admitted(
                'job_rejected', job_id=job_id, queue=queue, **fields
            )

    def job_not_stored(self, job_id: str, outcome: str, detail: str) -> None:
        """An attempt to store a job was refused, or the response was lost."""
        _write('job_not_stored', job_id=job_id, outcome=outcome, detail=detail)

    def job_cancelled(self, job_id: str) -> None:
        """A caller's cancellation was stored."""
        _write('job_cancelled', job_id=job_id)

    def tombstone_stored(self, job_id: str) -> None:
        """A caller cancelled a job that is not stored."""
        if self._sampler.may_write('tombstone_stored', job_id):
            _write_admitted('tombstone_stored', job_id=job_id)

    def job_state(self, job_id: str, state: str, waited_ms: int) -> None:
        """A job reached a final state, `waited_ms` after its submission."""
        self._sampler.report_omitted()
        if state in _FAILURE_STATES:
            _write('job_state', job_id=job_id, state=state, age_ms=waited_ms)
        elif self._sampler.may_write('job_state', job_id):
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
        """A run of a task was ordered on a worker.

        The load is the reserved share of the worker, based on run lists that
        are `list_age_ms` old.
        """
        write = _write_run
        if not is_endless:
            if not self._sampler.may_write('run_ordered', key.task_id.job_id):
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

        After an abnormal end of a run, its job is always sampled.
        """
        job_id = key.task_id.job_id
        if cause not in _NORMAL_END_CAUSES:
            self._sampler.force_sample(job_id)
            _write_run('run_ended', key, worker, cause=cause)
        elif is_endless:
            _write_run('run_ended', key, worker, cause=cause)
        elif self._sampler.may_write('run_ended', job_id):
            _write_admitted_run('run_ended', key, worker, cause=cause)

    def run_adopted(self, key: 'RunKey', worker: str) -> None:
        """A run that a previous leader started was adopted by this one."""
        _write_run('run_adopted', key, worker)

    def run_unknown(self, key: 'RunKey', worker: str) -> None:
        """A worker listed a run of an unknown job; the run is stopped."""
        _write_run('run_unknown', key, worker)

    def run_returned(
        self, key: 'RunKey', worker: str, reason: str, seen_for_ms: int
    ) -> None:
        """A run is certain to be no longer on the worker.

        It was there for `seen_for_ms` when the worker last replied. One that
        had just begun may have crashed its worker; others were lost with it.
        """
        _write_run(
            'run_returned',
            key,
            worker,
            reason=reason,
            seen_for_ms=seen_for_ms,
        )

    def run_suspected(self, key: 'RunKey', worker: str) -> None:
        """A worker stopped answering just after a run began there."""
        _write_run('run_suspected', key, worker)

    def crash_recorded(
        self, key: 'RunKey', worker: str, crashes: int, *, is_blamed: bool
    ) -> None:
        """A worker has crashed just after a run began there.

        It is blamed if no other run is as likely to have caused the crash;
        `crashes` counts those that the task may have caused so far.
        """
        _write_run(
            'crash_recorded',
            key,
            worker,
            crashes=crashes,
            blamed=int(is_blamed),
        )

    def job_given_up(self, key: 'RunKey', worker: str, crashes: int) -> None:
        """A job has failed: a task of it crashes the workers that start it."""
        _write_run('job_given_up', key, worker, crashes=crashes)

    def customers_in_force(self, version: int, customers: int) -> None:
        """A leader applies the ceilings and weights of a cfg."""
        _write('customers_in_force', version=version, customers=customers)

    def job_in_excess(self, job_id: str, customer: str, weight: int) -> None:
        """A job goes after others, as its customer has submitted too many.

        Each customer has one line in several seconds.
        """
        name = f'{customer} excess'
        repeated = self._sampler.count_suppressed('job_in_excess', name)
        if repeated is not None:
            _write(
                'job_in_excess',
                job_id=job_id,
                customer=customer,
                weight=weight,
                repeated=repeated,
            )

    def ceiling_reached(
        self,
        job_id: str,
        customer: str,
        **amounts: tuple[int, int, int],
    ) -> None:
        """A step waits because its customer has as much running as it may.

        The amounts are processors, memory and accelerators. Each customer has
        one line in several seconds.
        """
        name = f'{customer} ceiling'
        repeated = self._sampler.count_suppressed('ceiling_reached', name)
        if repeated is not None:
            _write(
                'ceiling_reached',
                job_id=job_id,
                customer=customer,
                repeated=repeated,
                **{name: _slashed(amount) for name, amount in amounts.items()},
            )

    def plan_report(
        self, metric_values: Mapping[str, int], **names: str
    ) -> None:
        """What a leader planned in one second, what is waiting and why."""
        self._sampler.report_omitted()
        _write('plan_report', **metric_values, **names)

    def images_separated(self, metric_values: Mapping[str, int]) -> None:
        """A leader separates latency-critical images more, or less.

        At most one line a second, and only for a noticeable change.
        """
        _write('images_separated', **metric_values)

    def upkeep(self, machine: str, wave: int, verdict: str) -> None:
        """A machine was ordered to go down for maintenance."""
        _write('upkeep', machine=machine, wave=wave, verdict=verdict)

    def advised(self, job_id: str, asked: int, allowed: int) -> None:
        """The advice service responded to a query for a step of a job."""
        _write('advised', job_id=job_id, asked=asked, allowed=allowed)

    def run_moved(
        self,
        key: 'RunKey',
        worker: str,
        speed_percent: int = 0,
        throttled_ms: int = 0,
    ) -> None:
        """A throttled run is stopped in order to migrate to another worker."""
        _write_run(
            'run_moved',
            key,
            worker,
            speed_percent=speed_percent,
            throttled_ms=throttled_ms,
        )

    def tail_over_target(
        self,
        key: 'RunKey',
        worker: str,
        reaction: str,
        fields: Mapping[str, str | int],
    ) -> None:
        """A latency-critical task is over its target beside best-effort ones.

        Each reaction to it has one line in several seconds; `repeated` counts
        the others.
        """
        name = f'{key.task_id} {reaction}'
        repeated = self._sampler.count_suppressed('tail_over_target', name)
        if repeated is not None:
            _write_run(
                'tail_over_target', key, worker, repeated=repeated, **fields
            )

    def started_beside_violation(
        self, key: 'RunKey', worker: str, over_target: int, list_age_ms: int
    ) -> None:
        """A best-effort run was ordered beside tasks over their targets.

        A worker has one line in several seconds; `repeated` counts the others.
        """
        event = 'started_beside_violation'
        repeated = self._sampler.count_suppressed(event, f'{event} {worker}')
        if repeated is not None:
            _write_run(
                event,
                key,
                worker,
                over_target=over_target,
                list_age_ms=list_age_ms,
                repeated=repeated,
            )

    def run_too_slow(
        self, key: 'RunKey', worker: str, progress_percent: int
    ) -> None:
        """A straggler is stopped, as it would end sooner on another worker."""
        _write_run(
            'run_too_slow', key, worker, progress_percent=progress_percent
        )

    def start_refused(self, key: 'RunKey', worker: str, verdict: str) -> None:
        """A worker did not start a run."""
        _write_run('start_refused', key, worker, verdict=verdict)

    def worker_reborn(self, worker: str) -> None:
        """A worker restarted; its previous runs have ended."""
        _write('worker_reborn', worker=worker)

    def leader_state(self, state: str, token: int, detail: str = '') -> None:
        """This instance started or stopped leading."""
        _write('leader_state', state=state, token=token, detail=detail)

    def candidacy(self, state: str, candidate: str) -> None:
        """A candidate offered a takeover, or the leader hands over to it."""
        _write('candidacy', state=state, candidate=candidate)

    def cfg_in_force(self, version: int, queues: int, customers: int) -> None:
        """A newer cfg is active."""
        _write(
            'cfg_in_force',
            version=version,
            queues=queues,
            customers=customers,
        )

    def cfg_rejected(self, version: int, reason: str) -> None:
        """A cfg is invalid; the one in force stays."""
        _write('cfg_rejected', version=version, reason=reason)

    def call_refused(
        self,
        job_id: str,
        queue: str,
        reason: str,
        *,
        customer: str,
        cfg_version: int,
    ) -> None:
        """A call was refused because of its key.

        `customer` holds the key, empty if nobody does; the key is not logged.
        """
        self._sampler.report_omitted()
        if self._sampler.may_write('call_refused', job_id):
            _write_admitted(
                'call_refused',
                job_id=job_id,
                queue=queue,
                reason=reason,
                customer=customer,
                cfg=cfg_version,
            )

    def dependency(self, name: str, state: str, detail: str = '') -> None:
        """A dependency was lost or regained."""
        _write('dependency', name=name, state=state, detail=detail)

    def queue_admission(
        self, queue: str, *, is_closed: bool, inputs: Mapping[str, int]
    ) -> None:
        """The leader closes a queue to jobs that would end too late, or opens
        it; without inputs, no job of the queue waits any more."""
        state = 'closed' if is_closed else 'open'
        _write('queue_admission', queue=queue, state=state, **inputs)

    def closed_queues(self, queues: list[str], detail: str) -> None:
        """An entry instance takes other queues to be closed than before.

        `detail` is the leader's token and the digest's number, or why no
        digest counts any more.
        """
        _write('closed_queues', queues=','.join(queues), detail=detail)

    def settings_reloaded(self, changed: str) -> None:
        """The settings were re-read; `changed` lists the differences."""
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
        """A newer document is active."""
        _write('document_in_force', kind=kind, revision=revision)

    def document_damaged(self, kind: str, detail: str) -> None:
        """A document could not be decoded and was skipped."""
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
    """Write an event of one run, with the ids that identify its job."""
    _write(event, **_run_fields(key, worker), **fields)


def _write_admitted_run(
    event: str, key: 'RunKey', worker: str, **fields: str | int
) -> None:
    """Write an event of one run that the sampler has admitted."""
    _write_admitted(event, **_run_fields(key, worker), **fields)


def _run_fields(key: 'RunKey', worker: str) -> dict[str, str | int]:
    task = key.task_id
    return {
        'job_id': task.job_id,
        'task': f'{task.occurrence}.{task.step}.{task.ordinal}',
        'run': key.run,
        'worker': worker,
    }


def _slashed(amount: tuple[int, int, int]) -> str:
    return '/'.join(map(str, amount))


def start_log(instance: str, failure_domain: str) -> EventLog:
    """Log events to standard output, labelled with the instance."""
    # The library logs each failed connection, which is also logged as an event.
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    sink = LogSink(sys.stdout.fileno())
    atexit.register(sink.flush)
    eliot.add_destinations(sink)
    eliot.add_global_fields(instance=instance, failure_domain=failure_domain)
    return EventLog(sink.flush, JobLogSampler(_write_omitted))


def _write(event: str, **fields: str | int) -> None:
    """Write an event outside of any of the library's actions.

    For each message without one, `eliot.log_message` begins an action under a
    random id, which takes a system call and is not written.
    """
    _LOGGER.write(
        {'timestamp': time(), 'message_type': f'{_PREFIX}{event}', **fields}
    )


def _write_admitted(event: str, **fields: str | int) -> None:
    """Write an event that the sampler has counted against its own limit."""
    _write(event, **{ADMITTED_FIELD: 1}, **fields)


def _write_omitted(counts: Mapping[str, int], share_percent: int) -> None:
    """Write the number of omitted lines of each kind."""
    _write('lines_left_out', share_percent=share_percent, **counts)
