"""Changes of the versioned documents by operators.

A change is written to the store by compare-and-swap on the revision that it
is based on. After a lost response, its change id shows whether this change or
another operator's is stored.
"""

import secrets
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from gentianpulley.cfg import ClusterCfg, encode_cfg
from gentianpulley.control_keys import document_key
from gentianpulley.deadline import deadline_in, has_passed, now_ms
from gentianpulley.document import (
    Document,
    DocumentKind,
    DomainStates,
    decode_document,
    decode_domain_states,
    encode_document,
    encode_domain_states,
)
from gentianpulley.errors import (
    CfgConflictError,
    StoreAnswerLostError,
    StoreError,
)
from gentianpulley.messages import change_conflict
from gentianpulley.store import (
    ABSENT,
    Entry,
    ConditionalWrite,
    Put,
    Store,
    WriteResult,
)

CHANGE_ID_BYTES: Final = 8
WRITE_CONFIRM_TIMEOUT_MS: Final = 15_000


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A document as stored; `document` is None before the first."""

    document: Document | None
    store_revision: int

    @property
    def body(self) -> str:
        """Return the document's body, empty before the first."""
        return self.document.body if self.document else ''

    @property
    def revision(self) -> int:
        """Return the document's revision, zero before the first."""
        return self.document.revision if self.document else 0


def read_document(store: Store, kind: DocumentKind) -> StoredDocument:
    """Return the stored document."""
    return _decode_entry(store.read(document_key(kind)))


def push_cfg(store: Store, cfg: ClusterCfg, expected: int | None) -> Document:
    """Replace revision `expected` with a checked cfg.

    Without `expected`, the stored revision is replaced. Raises
    `CfgConflictError` if another change was accepted in the meantime.
    """
    base = read_document(store, DocumentKind.CFG)
    if expected is not None and base.revision != expected:
        raise CfgConflictError(change_conflict(base.revision))
    body = encode_cfg(cfg).decode()
    return _replace(store, base, _next_revision(DocumentKind.CFG, base, body))


def take_domain_out_of_service(store: Store, failure_domain: str) -> Document:
    """Take a failure domain out of service."""
    return _edit_domains(
        store,
        lambda states: states.with_out_of_service(failure_domain, now_ms()),
    )


def return_domain_to_service(store: Store, failure_domain: str) -> Document:
    """Return a failure domain to service."""
    return _edit_domains(
        store, lambda states: states.with_in_service(failure_domain)
    )


def _edit_domains(
    store: Store, edit: Callable[[DomainStates], DomainStates]
) -> Document:
    """Apply an edit; edits commute, so a lost race is simply retried."""
    until_ms = deadline_in(WRITE_CONFIRM_TIMEOUT_MS)
    while not has_passed(until_ms):
        base = read_document(store, DocumentKind.DOMAINS)
        states = decode_domain_states(base.body or '{}')
        body = encode_domain_states(edit(states))
        document = _next_revision(DocumentKind.DOMAINS, base, body)
        with suppress(CfgConflictError):
            return _replace(store, base, document)
    raise CfgConflictError(change_conflict(base.revision))


def _next_revision(
    kind: DocumentKind, base: StoredDocument, body: str
) -> Document:
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    return Document(kind, base.revision + 1, change_id, body)


def _replace(
    store: Store, base: StoredDocument, document: Document
) -> Document:
    """Replace `base` with the document, retrying after lost responses."""
    write_result = _write_until_confirmed(store, base.store_revision, document)
    if write_result.applied:
        return document
    current = _decode_entry(write_result.current)
    stored = current.document
    if stored is not None and stored.change_id == document.change_id:
        return document
    raise CfgConflictError(change_conflict(current.revision))


def _write_until_confirmed(
    store: Store, expected_revision: int, document: Document
) -> WriteResult:
    """Repeat the write until the store responds; raises `StoreError`."""
    key = document_key(document.kind)
    put = Put(key, encode_document(document))
    write = ConditionalWrite(key, expected_revision, (put,))
    until_ms = deadline_in(WRITE_CONFIRM_TIMEOUT_MS)
    while True:
        try:
            return store.write((write,))[0]
        except StoreAnswerLostError:
            if has_passed(until_ms):
                raise


def _decode_entry(entry: Entry | None) -> StoredDocument:
    if entry is None:
        return StoredDocument(None, ABSENT)
    try:
        document = decode_document(entry.body)
    except ValueError as exc:
        raise StoreError(str(exc)) from exc
    return StoredDocument(document, entry.revision)
