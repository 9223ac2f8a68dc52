"""Base of all CLI commands: settings, output and exit status."""

from abc import abstractmethod
from pathlib import Path
from typing import Any, Final

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from gentianpulley.errors import GentianpulleyError
from gentianpulley.cluster_client import ClusterClient
from gentianpulley.result_code import ResultCode
from gentianpulley.settings import load_cli_settings

SETTINGS_FILE: Final = 'gentianpulley.jsonc'

COMMON_OPTIONS: Final = (
    option(
        'settings',
        's',
        'File with the addresses of the platform.',
        flag=False,
        default=SETTINGS_FILE,
    ),
    option('json', None, 'Print JSON for scripts.', flag=True),
)


class ClusterCommand(Command):
    """A command that contacts a cluster.

    Subclasses implement `run_with_client` and return a result code, whose exit
    status becomes that of the command.
    """

    options = list(COMMON_OPTIONS)

    def handle(self) -> int:
        """Run the command; errors are printed with their codes."""
        try:
            code = self.run_with_client(self._create_client())
        except GentianpulleyError as exc:
            code = exc.code
            self.line_error(f'{code.number} {code.name}: {exc.text}')
        return code.exit_status

    @abstractmethod
    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Run the command and return its result code."""

    @property
    def wants_json(self) -> bool:
        """Return whether the output is JSON for scripts."""
        return bool(self.option('json'))

    def emit(self, record: Any, *lines: str) -> None:
        """Print `record` as JSON for scripts, otherwise the lines for users."""
        if self.wants_json:
            self.line(msgspec.json.encode(record).decode())
            return
        for text in lines:
            self.line(text)

    def _create_client(self) -> ClusterClient:
        path = Path(self.option('settings'))
        return ClusterClient(load_cli_settings(path))
