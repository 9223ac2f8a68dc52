"""Versioned documents: the cfg and the states of the failure domains.

Each is agreed on through one key in the store and propagated by watch, by
peer heartbeat and directly by the CLI. An instance accepts only higher
revisions, so no document ever reverts, whatever order copies arrive in.
"""

import enum
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from gentianpulley.cfg import ClusterCfg, decode_cfg
from gentianpulley.logs import EventLog

DocumentListener = Callable[[], None]


class DocumentKind(enum.StrEnum):
    """The kinds of versioned documents."""

    CFG = 'cfg'
    DOMAINS = 'domains'


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of a document.

    `change_id` is unique for each change, so that an operator whose response
    from the store was lost can determine whose change is stored.
    """

    kind: DocumentKind
    revision: int
    change_id: str
    body: str


@dataclass(frozen=True, slots=True)
class OutOfService:
    """When a failure domain was taken out of service."""

    since_ms: int


@dataclass(frozen=True, slots=True)
class DomainStates:
    """The failure domains that are out of service; others are in service."""

    out: Mapping[str, OutOfService] = field(default_factory=dict)

    def is_out(self, failure_domain: str) -> bool:
        """Return whether the domain is out of service: nothing may start."""
        return failure_domain in self.out

    def with_out_of_service(
        self, failure_domain: str, since_ms: int
    ) -> 'DomainStates':
        """Return the states with the domain out of service; idempotent."""
        return DomainStates(
            {failure_domain: OutOfService(since_ms), **self.out}
        )

    def with_in_service(self, failure_domain: str) -> 'DomainStates':
        """Return the states with the domain in service; idempotent."""
        remaining = dict(self.out)
        remaining.pop(failure_domain, None)
        return DomainStates(remaining)


def encode_document(document: Document) -> bytes:
    """Return the document encoded as it is stored."""
    return msgspec.json.encode(document)


def decode_document(body: bytes) -> Document:
    """Decode a document; raises `msgspec.DecodeError` if malformed."""
    return msgspec.json.decode(body, type=Document)


def encode_domain_states(states: DomainStates) -> str:
    """Return the states encoded as the body of a document."""
    return msgspec.json.encode(states, order='deterministic').decode()


def decode_domain_states(body: str) -> DomainStates:
    """Decode the states; raises `msgspec.DecodeError` if malformed."""
    return msgspec.json.decode(body, type=DomainStates)


class ActiveDocuments:
    """The highest revision of each document that this instance has seen."""

    def __init__(self, log: EventLog) -> None:
        """Start without documents."""
        self._log = log
        self._lock = threading.Lock()
        self._documents: dict[DocumentKind, Document] = {}
        self._listeners: list[DocumentListener] = []
        self._cfg: ClusterCfg | None = None
        self._domains = DomainStates()

    @property
    def cfg(self) -> ClusterCfg | None:
        """Return the active cfg, or None before the first."""
        return self._cfg

    @property
    def domains(self) -> DomainStates:
        """Return the active states of the failure domains."""
        return self._domains

    def revision(self, kind: DocumentKind) -> int:
        """Return the active revision, zero before the first."""
        document = self._documents.get(kind)
        return document.revision if document else 0

    def document(self, kind: DocumentKind) -> Document | None:
        """Return the active document, or None before the first."""
        return self._documents.get(kind)

    def add_listener(self, listener: DocumentListener) -> None:
        """Call `listener` after each activation of a document."""
        self._listeners.append(listener)

    def update(self, document: Document) -> bool:
        """Activate the document if it is newer; return False if it is not.

        A malformed document is logged and dropped, whatever its revision.
        """
        with self._lock:
            if document.revision <= self.revision(document.kind):
                return False
            try:
                self._activate(document)
            except msgspec.DecodeError as exc:
                self._log.document_damaged(document.kind, str(exc))
                return False
        self._log.document_in_force(document.kind, document.revision)
        for listener in self._listeners:
            listener()
        return True

    def _activate(self, document: Document) -> None:
        if document.kind is DocumentKind.CFG:
            self._cfg = decode_cfg(document.body.encode())
        else:
            self._domains = decode_domain_states(document.body)
        self._documents[document.kind] = document
