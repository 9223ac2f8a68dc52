"""A site as operators reach it: the store and all entry instances."""

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
    """An entry instance that the CLI may ask."""

    instance: str
    failure_domain: str
    address: HttpAddress


@dataclass(frozen=True, slots=True)
class StatusReply:
    """An instance's status, or the reason why there is none."""

    place: EntryAddress
    status: InstanceStatus | None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class MeasurementReply:
    """An instance's measurements, or the reason why there are none."""

    place: EntryAddress
    classes: tuple[ClassMetrics, ...]
    problem: str = ''


class ClusterClient:
    """Calls the store and the entry instances for the CLI."""

    def __init__(self, settings: CliSettings) -> None:
        """Connect at the first call."""
        self._settings = settings
        self.store = connect_store(checked_address(settings.store))
        self._instances = connect_instance_list(
            checked_address(settings.instance_list)
        )

    def entry_addresses(self) -> tuple[EntryAddress, ...]:
        """Return the listed entry instances and those of the settings.

        An instance list that cannot be read leaves those of the settings.
        """
        places = [
            EntryAddress(text, '', checked_address(text))
            for text in self._settings.entries
        ]
        try:
            listed = self._instances.read()
        except InstanceListError:
            listed = ()
        for entry in listed:
            if entry.role is Role.ENTRY:
                places.append(
                    EntryAddress(entry.name, entry.failure_domain, entry.http)
                )
        return tuple(places)

    def statuses(self) -> tuple[StatusReply, ...]:
        """Ask all entry instances for their status at the same time."""
        return self._ask_all(self._status)

    def push(self, document: Document) -> tuple[StatusReply, ...]:
        """Send a document to all instances and return their statuses."""
        body = encode_document(document)
        return self._ask_all(lambda place: self._push(place, body))

    def measurements(self) -> tuple[MeasurementReply, ...]:
        """Ask all entry instances for their measurements."""
        return self._ask_all(self._measurements)

    def request(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> RequestAnswer:
        """Send a caller's request to the first instance that answers.

        Only an instance that could not be connected to is passed over. A
        request whose answer is lost is not sent elsewhere. Raises
        `GentianpulleyError`.
        """
        answer = self._first_answer(method, path, body, timeout_ms)
        return _decode(answer.body, RequestAnswer)

    def cancel(self, body: bytes, timeout_ms: int) -> tuple[RequestAnswer, ...]:
        """Cancel requests through the first instance that answers."""
        answer = self._first_answer(
            'POST', '/v1/cancellations', body, timeout_ms
        )
        if answer.status != _HTTP_OK:
            return (_decode(answer.body, RequestAnswer),)
        return _decode(answer.body, tuple[RequestAnswer, ...])

    def _first_answer(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> HttpResponse:
        for place in self.entry_addresses():
            conn = HttpConn(place.address, 1)
            with suppress(HttpUnreachableError):
                return conn.call(method, path, deadline_in(timeout_ms), body)
        raise PeerUnreachableError(no_entry_reachable())

    def _ask_all(
        self, ask: Callable[[EntryAddress], _Answer]
    ) -> tuple[_Answer, ...]:
        places = self.entry_addresses()
        with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            return tuple(pool.map(ask, places))

    def _status(self, place: EntryAddress) -> StatusReply:
        return self._status_call(place, 'GET', '/v1/status', b'')

    def _push(self, place: EntryAddress, body: bytes) -> StatusReply:
        return self._status_call(place, 'POST', '/v1/documents', body)

    def _status_call(
        self, place: EntryAddress, method: str, path: str, body: bytes
    ) -> StatusReply:
        try:
            answer = _call(place, method, path, body)
            status = _decode(answer.body, InstanceStatus)
        except GentianpulleyError as exc:
            return StatusReply(place, None, exc.text)
        return StatusReply(place, status)

    def _measurements(self, place: EntryAddress) -> MeasurementReply:
        try:
            answer = _call(place, 'GET', '/v1/measurements', b'')
            classes = _decode(answer.body, tuple[ClassMetrics, ...])
        except GentianpulleyError as exc:
            return MeasurementReply(place, (), exc.text)
        return MeasurementReply(place, classes)


def _call(
    place: EntryAddress, method: str, path: str, body: bytes
) -> HttpResponse:
    conn = HttpConn(place.address, 1)
    answer = conn.call(method, path, deadline_in(CALL_TIMEOUT_MS), body)
    conn.close()
    return answer


def _decode(body: bytes, answer_type: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.DecodeError as exc:
        raise HttpSilentError(unexpected_response(str(exc))) from exc
