"""Entry point of the daemon: `gentianpulleyd SETTINGS`."""

import signal
import sys
from pathlib import Path
from typing import Final

from gentianpulley.entry_instance import create_entry_instance
from gentianpulley.errors import SettingsError
from gentianpulley.exit_status import LISTEN_EXIT_STATUS, USAGE_EXIT_STATUS
from gentianpulley.logs import start_log
from gentianpulley.messages import cannot_listen, daemon_usage
from gentianpulley.process_signals import ProcessSignals
from gentianpulley.settings import load_daemon_settings

_ARGUMENT_COUNT: Final = 2


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run_daemon(sys.argv))


def run_daemon(argv: list[str]) -> int:
    """Read the settings, serve until SIGTERM or SIGINT, and drain.

    Returns zero after a graceful shutdown. Starts nothing if the settings
    are invalid.
    """
    if len(argv) != _ARGUMENT_COUNT:
        sys.stderr.write(daemon_usage())
        return USAGE_EXIT_STATUS
    try:
        settings = load_daemon_settings(Path(argv[1]))
    except SettingsError as exc:
        sys.stderr.write(f'{exc.text}\n')
        return exc.code.exit_status
    log = start_log(settings.instance, settings.failure_domain)
    stop_signals = ProcessSignals((signal.SIGTERM, signal.SIGINT))
    instance = create_entry_instance(settings, log)
    try:
        instance.start()
    except OSError as error:
        sys.stderr.write(cannot_listen(error))
        return LISTEN_EXIT_STATUS
    stop_signals.wait()
    instance.shut_down()
    return 0


if __name__ == '__main__':
    main()
