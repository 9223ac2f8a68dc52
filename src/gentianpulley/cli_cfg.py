"""CLI commands for the cfg folder: check, diff, push and status."""

import difflib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from gentianpulley.cfg import encode_cfg
from gentianpulley.cfg_folder import check_cfg_folder, load_cfg_folder
from gentianpulley.json_validation import ErrorInfo
from gentianpulley.cli_command import COMMON_OPTIONS, ClusterCommand
from gentianpulley.cli_rollout import wait_until_active, build_rollout
from gentianpulley.document import DocumentKind
from gentianpulley.document_push import push_cfg, read_document
from gentianpulley.messages import cfg_is_valid
from gentianpulley.cluster_client import ClusterClient
from gentianpulley.result_code import (
    CFG_INVALID,
    NOT_IN_FORCE,
    OK,
    ResultCode,
)

FOLDER: Final = argument('folder', 'The folder of cfg files.')
TIMEOUT: Final = option(
    'timeout',
    't',
    'Seconds to wait until the change is in force everywhere.',
    flag=False,
    default='20',
)


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of a check, as printed with `--json`."""

    valid: bool
    faults: tuple[ErrorInfo, ...]


class CfgCheckCommand(Command):
    """Checks a folder without contacting a cluster."""

    name = 'cfg check'
    description = 'Check a cfg folder and list every fault.'
    arguments = [FOLDER]
    options = [COMMON_OPTIONS[1]]

    def handle(self) -> int:
        """Print each error with file, line and reason."""
        checked = check_cfg_folder(Path(self.argument('folder')))
        report = CheckReport(not checked.errors, checked.errors)
        if self.option('json'):
            self.line(msgspec.json.encode(report).decode())
        for error in checked.errors:
            self.line_error(str(error))
        if checked.errors:
            return CFG_INVALID.exit_status
        if not self.option('json'):
            self.line(cfg_is_valid(len(checked.cfg.rules)))
        return OK.exit_status


class CfgDiffCommand(ClusterCommand):
    """Compares a folder with the accepted cfg."""

    name = 'cfg diff'
    description = 'Show what pushing a folder would change.'
    arguments = [FOLDER]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Print a unified diff of the merged cfg."""
        cfg = load_cfg_folder(Path(self.argument('folder')))
        stored = read_document(client.store, DocumentKind.CFG)
        lines = list(
            difflib.unified_diff(
                stored.body.splitlines(),
                encode_cfg(cfg).decode().splitlines(),
                f'revision {stored.revision}',
                str(self.argument('folder')),
                lineterm='',
            )
        )
        self.emit(lines, *lines)
        return OK


class CfgPushCommand(ClusterCommand):
    """Pushes a folder as the new accepted cfg."""

    name = 'cfg push'
    description = 'Check a folder and put it in force.'
    arguments = [FOLDER]
    options = [
        *COMMON_OPTIONS,
        TIMEOUT,
        option(
            'expect',
            'e',
            'Revision that must still stand, as printed by "cfg diff".',
            flag=False,
        ),
    ]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Push, then wait until every instance has the revision."""
        cfg = load_cfg_folder(Path(self.argument('folder')))
        expected = self.option('expect')
        document = push_cfg(
            client.store, cfg, int(expected) if expected else None
        )
        client.push(document)
        rollout = wait_until_active(
            client, DocumentKind.CFG, document.revision, self.option('timeout')
        )
        self.emit(rollout, *rollout.lines())
        return OK if rollout.is_complete else NOT_IN_FORCE


class CfgStatusCommand(ClusterCommand):
    """Shows the active revision of each instance."""

    name = 'cfg status'
    description = 'Show the cfg revision in force on each instance.'

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Compare the revision of every instance with the stored one."""
        stored = read_document(client.store, DocumentKind.CFG)
        rollout = build_rollout(
            DocumentKind.CFG, stored.revision, client.statuses()
        )
        self.emit(rollout, *rollout.lines())
        return OK if rollout.is_complete else NOT_IN_FORCE
