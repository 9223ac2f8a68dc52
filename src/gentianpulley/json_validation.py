"""Reads JSON with comments into frozen dataclasses and collects all errors.

Readers continue after an error, so that a user sees every error of a file at
once, each with file, line and reason.
"""

from collections import Counter
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar, get_type_hints

import jsonc
import msgspec

from gentianpulley.key_lines import KeyPath, find_key_lines
from gentianpulley.messages import (
    duplicate_key,
    invalid_syntax,
    missing_key,
    not_an_object,
    unknown_key,
)

JsonObject = dict[str, Any]

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class ErrorInfo:
    """An error and its source location; `line` counts from one."""

    source: str
    line: int
    reason: str

    def __str__(self) -> str:
        """Return the error as file:line: reason."""
        return f'{self.source}:{self.line}: {self.reason}'


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """The location at which a key was last set."""

    source: str
    line: int


@dataclass
class ErrorList:
    """Collects errors; holds the source location of each key path."""

    locations: dict[KeyPath, SourceLocation] = field(default_factory=dict)
    errors: list[ErrorInfo] = field(default_factory=list)

    def add(self, path: KeyPath, reason: str) -> None:
        """Add an error at the nearest recorded location of `path`."""
        location = self._find_location(path)
        label = '.'.join(path)
        text = f'{label}: {reason}' if label else reason
        self.errors.append(ErrorInfo(location.source, location.line, text))

    def _find_location(self, path: KeyPath) -> SourceLocation:
        for end in range(len(path), -1, -1):
            found = self.locations.get(path[:end])
            if found is not None:
                return found
        return SourceLocation('', 0)


def parse_object(text: str, source: str, errors: ErrorList) -> JsonObject:
    """Parse one file and record key locations; empty after an error."""
    duplicates: list[str] = []
    try:
        parsed = jsonc.loads(
            text,
            object_pairs_hook=lambda pairs: _to_object(pairs, duplicates),
        )
    except (ValueError, RecursionError) as exc:
        line = getattr(exc, 'lineno', 1)
        errors.errors.append(ErrorInfo(source, line, invalid_syntax(str(exc))))
        return {}
    errors.errors.extend(
        ErrorInfo(source, 1, duplicate_key(name)) for name in duplicates
    )
    if not isinstance(parsed, dict):
        errors.errors.append(ErrorInfo(source, 1, not_an_object()))
        return {}
    errors.locations[()] = SourceLocation(source, 1)
    for path, line in find_key_lines(text).items():
        errors.locations[path] = SourceLocation(source, line)
    return parsed


def read_record(
    raw: object, record_type: type[_Record], path: KeyPath, errors: ErrorList
) -> _Record | None:
    """Convert one object; adds every error and returns None if any."""
    if not isinstance(raw, dict):
        errors.add(path, not_an_object())
        return None
    before = len(errors.errors)
    converted = _convert_members(raw, record_type, path, errors)
    for name in raw:
        if name not in get_type_hints(record_type):
            errors.add((*path, str(name)), unknown_key())
    if len(errors.errors) > before:
        return None
    return record_type(**converted)


def read_table(
    raw: object,
    record_type: type[_Record],
    path: KeyPath,
    errors: ErrorList,
) -> dict[str, _Record]:
    """Convert an object whose members are records of one type."""
    if not isinstance(raw, dict):
        errors.add(path, not_an_object())
        return {}
    table = {}
    for name, member in raw.items():
        record = read_record(member, record_type, (*path, name), errors)
        if record is not None:
            table[name] = record
    return table


def _convert_members(
    raw: JsonObject, record_type: Any, path: KeyPath, errors: ErrorList
) -> JsonObject:
    converted = {}
    specs = {spec.name: spec for spec in fields(record_type)}
    for name in specs.keys() & raw.keys():
        member_path = (*path, name)
        converted[name] = _convert_member(
            raw[name], record_type, member_path, errors
        )
    for missing in sorted(specs.keys() - raw.keys()):
        if _is_required(specs[missing]):
            errors.add(path, missing_key(missing))
    return converted


def _is_required(spec: 'Field[Any]') -> bool:
    return spec.default is MISSING and spec.default_factory is MISSING


def _convert_member(
    member: object, record_type: Any, path: KeyPath, errors: ErrorList
) -> Any:
    member_type = get_type_hints(record_type)[path[-1]]
    try:
        return msgspec.convert(member, member_type)
    except msgspec.ValidationError as exc:
        errors.add(path, str(exc))
    return None


def _to_object(
    pairs: list[tuple[str, Any]], duplicates: list[str]
) -> JsonObject:
    counts = Counter(name for name, _ in pairs)
    repeated = [name for name, count in counts.items() if count > 1]
    duplicates.extend(repeated)
    return dict(pairs)
