"""Decoding of JSON that other processes wrote, whatever they wrote."""

from typing import TypeVar

import msgspec

_Message = TypeVar('_Message')


def decode_json(
    decoder: msgspec.json.Decoder[_Message], body: bytes
) -> _Message:
    """Return the decoded message; raises only `msgspec.DecodeError`.

    The decoder raises `RecursionError` if fields that it skips are nested too
    deeply, which callers would take for a fault of their own.
    """
    try:
        return decoder.decode(body)
    except RecursionError as exc:
        raise msgspec.DecodeError('nested too deeply') from exc
