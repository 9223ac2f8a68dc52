"""What all commands of the CLI share: settings, output and exit status."""

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
    """A command that works on a site.

    Subclasses implement `run_with_client` and return a result code, whose exit
    status becomes the command's.
    """

    options = list(COMMON_OPTIONS)

    def handle(self) -> int:
        """Run the command; errors are printed with their codes."""
        try:
            code = self.run_with_client(self._site())
        except GentianpulleyError as exc:
            code = exc.code
            self.line_error(f'{code.number} {code.name}: {exc.text}')
        return code.exit_status

    @abstractmethod
    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Do the work and return how it went."""

    @property
    def wants_json(self) -> bool:
        """Tell whether a script reads the output."""
        return bool(self.option('json'))

    def emit(self, record: Any, *lines: str) -> None:
        """Print `record` as JSON for scripts, else the lines for people."""
        if self.wants_json:
            self.line(msgspec.json.encode(record).decode())
            return
        for text in lines:
            self.line(text)

    def _site(self) -> ClusterClient:
        path = Path(self.option('settings'))
        return ClusterClient(load_cli_settings(path))
