"""Converts between links to workers and the relay service's structs."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated

from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    Listing,
    RunKey,
    RunningRow,
    StartReply,
    StartVerdict,
    WorkerFacts,
)
from gentianpulley.cluster.list_change import ListChange, MovedRow, SavedRow
from gentianpulley.errors import (
    WorkerError,
    WorkerFencedError,
    WorkerGoneError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.jobs.spec import TaskId
from gentianpulley.relay_gen import ttypes

MAX_RELAY_MESSAGE_BYTES: Final = 4_194_304
"""A list of some thousand runs with their checkpoints."""

_Outcomes = Mapping[type[WorkerError], int]
_Errors = Mapping[int, type[WorkerError]]
_OUTCOMES: Final[_Outcomes] = MappingProxyType(
    {
        WorkerUnreachableError: ttypes.Outcome.UNREACHABLE,
        WorkerSilentError: ttypes.Outcome.SILENT,
        WorkerFencedError: ttypes.Outcome.FENCED,
        WorkerGoneError: ttypes.Outcome.GONE,
    }
)

_ERRORS: Final[_Errors] = MappingProxyType(
    {
        ttypes.Outcome.UNREACHABLE: WorkerUnreachableError,
        ttypes.Outcome.LATE: WorkerUnreachableError,
        ttypes.Outcome.NO_PAYLOAD: WorkerUnreachableError,
        ttypes.Outcome.FENCED: WorkerFencedError,
        ttypes.Outcome.GONE: WorkerGoneError,
    }
)


def create_relay_protocol(transport: Any) -> Any:
    """Return the encoding of the relay service, which has short numbers."""
    return TCompactProtocolAccelerated(
        transport,
        string_length_limit=MAX_RELAY_MESSAGE_BYTES,
        container_length_limit=MAX_RELAY_MESSAGE_BYTES,
    )


def outcome_of(exc: WorkerError) -> int:
    """Return how a failed call to a worker is told."""
    return _OUTCOMES.get(type(exc), ttypes.Outcome.SILENT)


def error_of(answer: ttypes.Answer) -> WorkerError:
    """Return the error of a call that was not answered by the worker.

    What is not known proves nothing.
    """
    error = _ERRORS.get(answer.outcome, WorkerSilentError)
    name = outcome_name(answer)
    return error(f'relay: {name} {answer.detail}' if answer.detail else name)


def outcome_name(answer: ttypes.Answer) -> str:
    """Return the name of an outcome for counters and people."""
    names: Mapping[int, str] = ttypes.Outcome._VALUES_TO_NAMES
    return names.get(answer.outcome, 'unknown').lower()


def target_to_wire(facts: WorkerFacts) -> ttypes.Target:
    """Return a life of a worker as a struct."""
    return ttypes.Target(facts.worker_id, facts.address, facts.born_ms)


def target_from_wire(wire: ttypes.Target) -> WorkerFacts:
    """Return what a link needs to know of a worker."""
    return WorkerFacts(
        worker_id=wire.worker_id,
        service='',
        address=wire.address,
        failure_domain='',
        born_ms=wire.born_ms,
    )


def run_to_wire(key: RunKey) -> ttypes.Run:
    """Return a run as a struct."""
    task = key.task_id
    return ttypes.Run(
        task.job_id, task.occurrence, task.step, task.ordinal, key.run
    )


def run_from_wire(wire: ttypes.Run) -> RunKey:
    """Return the run that a struct holds."""
    task = TaskId(wire.job_id, wire.occurrence, wire.step, wire.ordinal)
    return RunKey(task, wire.run)


def change_to_wire(
    change: ListChange, base: int, version: int
) -> ttypes.ListChange:
    """Return a change of a list as a struct."""
    return ttypes.ListChange(
        base=base,
        version=version,
        gone=list(change.gone),
        moved=[row.place for row in change.moved],
        progress_percents=[row.progress_percent for row in change.moved],
        gauges=[row.gauge for row in change.moved],
        saved=[
            ttypes.SavedRow(row.place, row.checkpoint) for row in change.saved
        ],
        added=[
            ttypes.RunningRow(
                run_to_wire(row.key),
                row.checkpoint,
                row.progress_percent,
                row.gauge,
            )
            for row in change.added
        ],
    )


def change_from_wire(wire: ttypes.ListChange) -> ListChange:
    """Return the change that a struct holds; raises `ValueError`."""
    figures = zip(wire.moved, wire.progress_percents, wire.gauges, strict=True)
    return ListChange(
        gone=tuple(wire.gone),
        moved=tuple(map(MovedRow._make, figures)),
        saved=tuple(SavedRow(row.place, row.checkpoint) for row in wire.saved),
        added=tuple(
            RunningRow(
                run_from_wire(row.run),
                row.checkpoint,
                row.progress_percent,
                row.gauge,
            )
            for row in wire.added
        ),
    )


def ended_to_wire(row: EndedRow) -> ttypes.EndedRow:
    """Return an end as a struct."""
    return ttypes.EndedRow(
        row.number, run_to_wire(row.key), row.cause.value, row.checkpoint
    )


def listing_from_wire(
    wire: ttypes.LookAnswer, running: tuple[RunningRow, ...]
) -> Listing:
    """Return the list of a look; raises `ValueError` for an unknown cause."""
    return Listing(
        wire.clock_worker_ms,
        wire.born_ms,
        running,
        tuple(
            EndedRow(
                row.number,
                run_from_wire(row.run),
                EndCause(row.cause),
                row.checkpoint,
            )
            for row in wire.ended
        ),
    )


def reply_from_wire(wire: ttypes.StartAnswer) -> StartReply:
    """Return the worker's answer to a start; an unknown one proves nothing."""
    known = StartVerdict.__members__.get(wire.verdict, StartVerdict.LOST)
    return StartReply(
        known, wire.clock_worker_ms, wire.answer.detail or '', wire.born_ms
    )
