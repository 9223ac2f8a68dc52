"""Converts between data classes of the peer interface and thrift structs."""

from gentianpulley.document import Document, DocumentKind, decode_document
from gentianpulley.errors import PeerSilentError
from gentianpulley.messages import malformed_peer_message
from gentianpulley.peer import Headroom, PeerStatus
from gentianpulley.peer_gen import ttypes
from gentianpulley.resources import Resources
from gentianpulley.result_code import code_of
from gentianpulley.task import TaskOrder, TaskPhase, TaskReport


def order_to_wire(order: TaskOrder) -> ttypes.TaskOrder:
    """Return the order as a thrift struct."""
    return ttypes.TaskOrder(
        task_id=order.task_id,
        request_key=order.request_key,
        incarnation=order.incarnation,
        work_class=order.work_class,
        team=order.team,
        need=_need_to_wire(order.need),
        start_before_ms=order.start_before_ms,
        deadline_ms=order.deadline_ms,
        payload=order.payload,
        data_tags=list(order.data_tags),
        record=order.record,
        record_revision=order.record_revision,
        checkpoint=order.checkpoint,
    )


def order_from_wire(wire: ttypes.TaskOrder) -> TaskOrder:
    """Return the order decoded from a thrift struct."""
    return TaskOrder(
        task_id=wire.task_id,
        request_key=wire.request_key,
        incarnation=wire.incarnation,
        work_class=wire.work_class,
        team=wire.team,
        need=_need_from_wire(wire.need),
        start_before_ms=wire.start_before_ms,
        deadline_ms=wire.deadline_ms,
        payload=wire.payload,
        data_tags=tuple(wire.data_tags),
        record=wire.record,
        record_revision=wire.record_revision,
        checkpoint=wire.checkpoint,
    )


def report_to_wire(report: TaskReport) -> ttypes.TaskReport:
    """Return the report as a thrift struct."""
    return ttypes.TaskReport(
        task_id=report.task_id,
        phase=report.phase.value,
        code=report.code.number,
        detail=report.detail,
        worker=report.worker,
        answer=report.answer,
        digest=report.digest,
    )


def report_from_wire(wire: ttypes.TaskReport, task_id: str) -> TaskReport:
    """Return the report decoded from a thrift struct.

    Raises `PeerSilentError` if it is missing, has an unknown phase or belongs
    to another task.
    """
    if wire is None or wire.task_id != task_id:
        raise PeerSilentError(malformed_peer_message(task_id))
    try:
        phase = TaskPhase(wire.phase)
    except ValueError as exc:
        raise PeerSilentError(malformed_peer_message(wire.phase)) from exc
    return TaskReport(
        task_id=wire.task_id,
        phase=phase,
        code=code_of(wire.code),
        detail=wire.detail,
        worker=wire.worker,
        answer=wire.answer,
        digest=wire.digest,
    )


def status_to_wire(status: PeerStatus) -> ttypes.Heartbeat:
    """Return the heartbeat as a thrift struct."""
    headroom = status.headroom
    return ttypes.Heartbeat(
        instance=status.instance,
        boot_id=status.boot_id,
        failure_domain=status.failure_domain,
        cfg_revision=status.cfg_revision,
        domains_revision=status.domains_revision,
        draining=status.draining,
        store_heard_ms=status.store_heard_ms,
        headroom=ttypes.Headroom(
            total=_need_to_wire(headroom.total),
            largest=_need_to_wire(headroom.largest),
            free_slots=headroom.free_slots,
            owned_workers=headroom.owned_workers,
            shapes=[_need_to_wire(shape) for shape in headroom.shapes],
        ),
    )


def status_from_wire(wire: ttypes.Heartbeat) -> PeerStatus:
    """Return the heartbeat decoded from a thrift struct."""
    return PeerStatus(
        instance=wire.instance,
        boot_id=wire.boot_id,
        failure_domain=wire.failure_domain,
        cfg_revision=wire.cfg_revision,
        domains_revision=wire.domains_revision,
        draining=wire.draining,
        store_heard_ms=wire.store_heard_ms,
        headroom=Headroom(
            total=_need_from_wire(wire.headroom.total),
            largest=_need_from_wire(wire.headroom.largest),
            free_slots=wire.headroom.free_slots,
            owned_workers=wire.headroom.owned_workers,
            shapes=tuple(
                _need_from_wire(shape) for shape in wire.headroom.shapes
            ),
        ),
    )


def document_to_wire(
    kind: str, document: Document | None, body: bytes
) -> ttypes.Document:
    """Return the document as a thrift struct; revision 0 means no document."""
    revision = document.revision if document else 0
    return ttypes.Document(kind=kind, revision=revision, body=body)


def document_from_wire(
    wire: ttypes.Document, kind: DocumentKind
) -> Document | None:
    """Return the document, or None if the peer has none of that kind.

    Raises `msgspec.DecodeError` if the body is corrupt.
    """
    if wire is None or wire.revision <= 0:
        return None
    document = decode_document(wire.body)
    return document if document.kind is kind else None


def _need_to_wire(need: Resources) -> ttypes.ResourceNeed:
    return ttypes.ResourceNeed(
        processors_milli=need.processors_milli,
        memory_mib=need.memory_mib,
        accelerators=need.accelerators,
    )


def _need_from_wire(wire: ttypes.ResourceNeed) -> Resources:
    return Resources(wire.processors_milli, wire.memory_mib, wire.accelerators)
