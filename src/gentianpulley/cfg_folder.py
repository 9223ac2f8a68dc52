"""Merges the operators' folder of cfg files and checks the merged cfg.

Files are merged in the order of their names. Objects are merged member by
member; any other value replaces the earlier one; `null` removes it.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from gentianpulley.cfg import (
    FailureDomain,
    Rule,
    ClusterCfg,
    ClusterLimits,
    Team,
    WorkClass,
)
from gentianpulley.cfg_validation import check_references
from gentianpulley.json_validation import (
    ErrorInfo,
    ErrorList,
    JsonObject,
    parse_object,
    read_record,
    read_table,
)
from gentianpulley.errors import CfgError
from gentianpulley.messages import (
    cfg_errors,
    empty_folder,
    file_unreadable,
    unknown_key,
)

FILE_PATTERN: Final = '*.json*'
_SECTIONS: Final = (
    'failure_domains',
    'classes',
    'teams',
    'rules',
    'limits',
)


@dataclass(frozen=True, slots=True)
class CfgCheckResult:
    """The result of a check: the cfg, or the errors that prevent one."""

    cfg: ClusterCfg
    errors: tuple[ErrorInfo, ...]


def load_cfg_folder(folder: Path) -> ClusterCfg:
    """Return the merged cfg; raises a `CfgError` that lists every error."""
    checked = check_cfg_folder(folder)
    if checked.errors:
        listed = '\n'.join(str(error) for error in checked.errors)
        raise CfgError(cfg_errors(listed))
    return checked.cfg


def check_cfg_folder(folder: Path) -> CfgCheckResult:
    """Merge all files of the folder and check the result."""
    errors = ErrorList()
    merged: JsonObject = {}
    paths = sorted(folder.glob(FILE_PATTERN), key=lambda path: path.name)
    if not paths:
        errors.add((), empty_folder(str(folder)))
    for path in paths:
        merge_objects(merged, _read_file(path, errors))
    cfg = read_cfg(merged, errors)
    return CfgCheckResult(cfg, tuple(errors.errors))


def merge_objects(base: JsonObject, overlay: JsonObject) -> None:
    """Merge `overlay` into `base` in place."""
    for name, member in overlay.items():
        existing = base.get(name)
        if member is None:
            base.pop(name, None)
        elif isinstance(member, dict) and isinstance(existing, dict):
            merge_objects(existing, member)
        else:
            base[name] = _without_nulls(member)


def read_cfg(merged: JsonObject, errors: ErrorList) -> ClusterCfg:
    """Convert and check a merged object; errors are added to `errors`."""
    for name in merged:
        if name not in _SECTIONS:
            errors.add((name,), unknown_key())
    limits = read_record(
        merged.get('limits', {}), ClusterLimits, ('limits',), errors
    )
    cfg = ClusterCfg(
        failure_domains=_read_section(
            merged, 'failure_domains', FailureDomain, errors
        ),
        classes=_read_section(merged, 'classes', WorkClass, errors),
        teams=_read_section(merged, 'teams', Team, errors),
        rules=_read_section(merged, 'rules', Rule, errors),
        limits=limits or ClusterLimits(),
    )
    check_references(cfg, merged, errors)
    return cfg


def _read_section(
    merged: JsonObject, section: str, record_type: type, errors: ErrorList
) -> dict[str, Any]:
    return read_table(merged.get(section, {}), record_type, (section,), errors)


def _read_file(path: Path, errors: ErrorList) -> JsonObject:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        reason = file_unreadable(str(path), exc)
        errors.errors.append(ErrorInfo(str(path), 1, reason))
        return {}
    return parse_object(text, str(path), errors)


def _without_nulls(member: Any) -> Any:
    if not isinstance(member, dict):
        return member
    return {
        name: _without_nulls(inner)
        for name, inner in member.items()
        if inner is not None
    }
