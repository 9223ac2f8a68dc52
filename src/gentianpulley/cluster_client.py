"""Client of a cluster for operators: the store and all entry instances."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from gentianpulley.deadline import deadline_in
from gentianpulley.document import Document, encode_document
from gentianpulley.endpoint_slices import connect_instance_list
from gentianpulley.errors import (
    GentianpulleyError,
    HttpSilentError,
    HttpUnreachableError,
    InstanceListError,
    PeerUnreachableError,
)
from gentianpulley.etcd_store import connect_store
from gentianpulley.front_messages import InstanceStatus, RequestAnswer
from gentianpulley.http_conn import HttpAddress, HttpResponse, HttpConn
from gentianpulley.instance_list import Role
from gentianpulley.messages import no_entry_reachable, unexpected_response
from gentianpulley.metrics import ClassMetrics
from gentianpulley.settings import CliSettings, checked_address

CALL_TIMEOUT_MS: Final = 3000
MAX_CONCURRENT_CALLS: Final = 16
_HTTP_OK: Final = 200

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry instance that the CLI may call."""

    instance: str
    failure_domain: str
    address: HttpAddress


@dataclass(frozen=True, slots=True)
class StatusReply:
    """An instance's status, or the reason why it is missing."""

    place: EntryAddress
    status: InstanceStatus | None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class MeasurementReply:
    """An instance's measurements, or the reason why they are missing."""

    place: EntryAddress
    classes: tuple[ClassMetrics, ...]
    problem: str = ''


class ClusterClient:
    """Calls the store and the entry instances for the CLI."""

    def __init__(self, settings: CliSettings) -> None:
        """Create the client; connections are opened at the first call."""
        self._settings = settings
        self.store = connect_store(checked_address(settings.store))
        self._instances = connect_instance_list(
            checked_address(settings.instance_list)
        )

    def entry_addresses(self) -> tuple[EntryAddress, ...]:
        """Return the listed entry instances and those of the settings.

        If the instance list cannot be read, only those of the settings are
        returned.
        """
        addresses = [
            EntryAddress(text, '', checked_address(text))
            for text in self._settings.entries
        ]
        try:
            listed = self._instances.read()
        except InstanceListError:
            listed = ()
        for entry in listed:
            if entry.role is Role.ENTRY:
                addresses.append(
                    EntryAddress(entry.name, entry.failure_domain, entry.http)
                )
        return tuple(addresses)

    def statuses(self) -> tuple[StatusReply, ...]:
        """Request the status of all entry instances concurrently."""
        return self._call_all(self._status)

    def push(self, document: Document) -> tuple[StatusReply, ...]:
        """Send a document to all instances and return their statuses."""
        body = encode_document(document)
        return self._call_all(lambda entry: self._push(entry, body))

    def measurements(self) -> tuple[MeasurementReply, ...]:
        """Request the measurements of all entry instances."""
        return self._call_all(self._measurements)

    def request(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> RequestAnswer:
        """Send a caller's request to the first instance that responds.

        Only an instance that could not be connected to is skipped. A request
        whose response is lost is not sent to another instance. Raises
        `GentianpulleyError`.
        """
        response = self._first_response(method, path, body, timeout_ms)
        return _decode(response.body, RequestAnswer)

    def cancel(self, body: bytes, timeout_ms: int) -> tuple[RequestAnswer, ...]:
        """Cancel requests through the first instance that responds."""
        response = self._first_response(
            'POST', '/v1/cancellations', body, timeout_ms
        )
        if response.status != _HTTP_OK:
            return (_decode(response.body, RequestAnswer),)
        return _decode(response.body, tuple[RequestAnswer, ...])

    def _first_response(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> HttpResponse:
        for entry in self.entry_addresses():
            conn = HttpConn(entry.address, 1)
            with suppress(HttpUnreachableError):
                return conn.call(method, path, deadline_in(timeout_ms), body)
        raise PeerUnreachableError(no_entry_reachable())

    def _call_all(
        self, call: Callable[[EntryAddress], _Answer]
    ) -> tuple[_Answer, ...]:
        addresses = self.entry_addresses()
        with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            return tuple(pool.map(call, addresses))

    def _status(self, entry: EntryAddress) -> StatusReply:
        return self._call_status(entry, 'GET', '/v1/status', b'')

    def _push(self, entry: EntryAddress, body: bytes) -> StatusReply:
        return self._call_status(entry, 'POST', '/v1/documents', body)

    def _call_status(
        self, entry: EntryAddress, method: str, path: str, body: bytes
    ) -> StatusReply:
        try:
            response = _call(entry, method, path, body)
            status = _decode(response.body, InstanceStatus)
        except GentianpulleyError as exc:
            return StatusReply(entry, None, exc.text)
        return StatusReply(entry, status)

    def _measurements(self, entry: EntryAddress) -> MeasurementReply:
        try:
            response = _call(entry, 'GET', '/v1/measurements', b'')
            classes = _decode(response.body, tuple[ClassMetrics, ...])
        except GentianpulleyError as exc:
            return MeasurementReply(entry, (), exc.text)
        return MeasurementReply(entry, classes)


def _call(
    entry: EntryAddress, method: str, path: str, body: bytes
) -> HttpResponse:
    conn = HttpConn(entry.address, 1)
    response = conn.call(method, path, deadline_in(CALL_TIMEOUT_MS), body)
    conn.close()
    return response


def _decode(body: bytes, response_type: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.DecodeError as exc:
        raise HttpSilentError(unexpected_response(str(exc))) from exc
