"""A caller's request, as checked at the HTTP front."""

import re
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

import msgspec

from gentianpulley.cfg import ClusterCfg, WorkClass
from gentianpulley.deadline import has_passed
from gentianpulley.errors import RequestRefusedError
from gentianpulley.messages import (
    bad_request_key,
    idempotent_mismatch,
    deadline_in_past,
    malformed_body,
    payload_too_large,
    size_not_positive,
    unknown_class,
    unknown_team,
)
from gentianpulley.resources import Resources
from gentianpulley.result_code import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    DEADLINE_PASSED,
    UNKNOWN_CLASS,
    UNKNOWN_TEAM,
)

MAX_RECORDED_PAYLOAD_BYTES: Final = 700_000
MAX_DATA_TAGS: Final = 32
_KEY_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    `run_ms` is the declared run time; `deadline_ms` is in Unix milliseconds.
    `idempotent` is the caller's declaration; the class must allow it. The
    payload is sent as base64.
    """

    request_key: str
    work_class: str
    team: str
    need: Resources
    deadline_ms: int
    idempotent: bool
    run_ms: int = 0
    data_tags: tuple[str, ...] = ()
    payload: bytes = b''

    def digest(self) -> str:
        """Return the SHA-256 of the fields that define the request."""
        body = msgspec.json.encode(
            (
                self.work_class,
                self.team,
                self.need,
                self.idempotent,
                self.data_tags,
                self.payload,
            )
        )
        return sha256(body).hexdigest()


def parse_request(body: bytes) -> Request:
    """Parse a request body; raises `RequestRefusedError`."""
    try:
        return msgspec.json.decode(body, type=Request)
    except msgspec.DecodeError as exc:
        raise RequestRefusedError(
            BAD_REQUEST, malformed_body(str(exc))
        ) from exc
    except RecursionError as deep:
        raise RequestRefusedError(
            BAD_REQUEST, malformed_body('nested too deeply')
        ) from deep


def check_request(req: Request, cfg: ClusterCfg) -> WorkClass:
    """Check a request against the cfg and return its class.

    Raises `RequestRefusedError` with the code of the first error.
    """
    work_class = _resolve_class(req, cfg)
    _check_shape(req)
    _check_against_class(req, work_class)
    if has_passed(req.deadline_ms):
        raise RequestRefusedError(
            DEADLINE_PASSED, deadline_in_past(req.deadline_ms)
        )
    return work_class


def is_request_key(text: str) -> bool:
    """Return whether `text` is valid as a request key."""
    return _KEY_PATTERN.fullmatch(text) is not None


def _resolve_class(req: Request, cfg: ClusterCfg) -> WorkClass:
    work_class = cfg.classes.get(req.work_class)
    if work_class is None:
        raise RequestRefusedError(UNKNOWN_CLASS, unknown_class(req.work_class))
    if req.team not in cfg.teams:
        raise RequestRefusedError(UNKNOWN_TEAM, unknown_team(req.team))
    return work_class


def _check_shape(req: Request) -> None:
    if not is_request_key(req.request_key):
        raise RequestRefusedError(BAD_REQUEST, bad_request_key())
    if not req.need.is_positive() or req.run_ms < 0:
        raise RequestRefusedError(BAD_REQUEST, size_not_positive())
    if len(req.data_tags) > MAX_DATA_TAGS:
        raise RequestRefusedError(BAD_REQUEST, malformed_body('data_tags'))


def _check_against_class(req: Request, work_class: WorkClass) -> None:
    if req.idempotent is not work_class.idempotent:
        raise RequestRefusedError(
            BAD_REQUEST, idempotent_mismatch(req.work_class)
        )
    recorded = work_class.needs_record()
    if recorded and len(req.payload) > MAX_RECORDED_PAYLOAD_BYTES:
        raise RequestRefusedError(
            BODY_TOO_LARGE, payload_too_large(MAX_RECORDED_PAYLOAD_BYTES)
        )
