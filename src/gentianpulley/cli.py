"""Command-line interface `gentianpulley` for operators and callers."""

import sys

from cleo.application import Application

from gentianpulley.cli_cfg import (
    CfgCheckCommand,
    CfgDiffCommand,
    CfgPushCommand,
    CfgStatusCommand,
)
from gentianpulley.cli_domain import (
    DomainInCommand,
    DomainListCommand,
    DomainOutCommand,
)
from gentianpulley.cli_report import ReportBurnCommand
from gentianpulley.cli_requests import (
    CancelCommand,
    StatusCommand,
    SubmitCommand,
)

VERSION = '0.1.0'


def main() -> None:
    """Run one command and exit with the status of its result code."""
    sys.exit(create_application().run())


def create_application() -> Application:
    """Return the CLI application with all commands registered."""
    application = Application('gentianpulley', VERSION)
    commands = (
        CfgCheckCommand,
        CfgDiffCommand,
        CfgPushCommand,
        CfgStatusCommand,
        DomainOutCommand,
        DomainInCommand,
        DomainListCommand,
        StatusCommand,
        SubmitCommand,
        CancelCommand,
        ReportBurnCommand,
    )
    for command in commands:
        application.add(command())
    return application


if __name__ == '__main__':
    main()
