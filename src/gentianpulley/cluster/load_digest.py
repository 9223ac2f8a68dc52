"""The digest of the load that a leader publishes for all instances.

It is one key, written only while a queue is closed to new jobs, and once more
when the last one opens. It has no time of day, as clocks of instances differ:
each instance counts its age from when it saw the digest change.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Final

import msgspec

from gentianpulley.json_decoding import decode_json

LOAD_KEY: Final = 'gp/load'

MAX_DIGEST_AGE_MS: Final = 2000
"""How long a digest counts. A leader writes it each half second, so three
writes in a row may fail or come late."""

_Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class ClosedQueue:
    """A queue that is closed to jobs that would end too late to be of use.

    A new job of it is expected to start after `delay_ms`, and a job submitted
    after `free_in_ms` to find enough free capacity. `blocked_milli` is the
    least that any of its waiting tasks needs, in thousandths of a processor: a
    smaller task may fit at once.
    """

    delay_ms: _Milliseconds
    free_in_ms: _Milliseconds
    blocked_milli: int = 0


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The closed queues by name, as the leader with `token` sees them.

    `sequence` rises with each digest of one leader.
    """

    token: int
    sequence: int
    closed: Mapping[str, ClosedQueue] = field(default_factory=dict)

    @property
    def order(self) -> tuple[int, int]:
        """Return what rises from one digest to the next of any leader."""
        return self.token, self.sequence


class _Document(msgspec.Struct, frozen=True):
    """A digest as it is stored."""

    token: int
    seq: int
    closed: dict[str, ClosedQueue]


_DECODER: Final = msgspec.json.Decoder(_Document)


def encode_digest(digest: LoadDigest) -> bytes:
    """Encode a digest for the store."""
    document = _Document(digest.token, digest.sequence, dict(digest.closed))
    return msgspec.json.encode(document)


def decode_digest(body: bytes) -> LoadDigest:
    """Decode a stored digest; raises `msgspec.DecodeError` if malformed."""
    document = decode_json(_DECODER, body)
    return LoadDigest(document.token, document.seq, document.closed)
