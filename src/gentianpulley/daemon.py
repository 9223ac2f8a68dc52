"""The daemon's entry point: `gentianpulleyd SETTINGS`."""

import signal
import sys
import threading
from pathlib import Path
from types import FrameType
from typing import Final

from gentianpulley.entry_instance import create_entry_instance
from gentianpulley.errors import SettingsError
from gentianpulley.logs import start_log
from gentianpulley.messages import cannot_listen, daemon_usage
from gentianpulley.settings import load_daemon_settings

USAGE_EXIT_STATUS: Final = 64
LISTEN_EXIT_STATUS: Final = 68
_ARGUMENT_COUNT: Final = 2


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run_daemon(sys.argv))


def run_daemon(argv: list[str]) -> int:
    """Read the settings, serve until a signal, and drain.

    Returns zero after a graceful shutdown. With faulty settings nothing is
    started.
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
    stopping = _StopSignal()
    instance = create_entry_instance(settings, log)
    try:
        instance.start()
    except OSError as failed:
        sys.stderr.write(cannot_listen(failed))
        return LISTEN_EXIT_STATUS
    stopping.wait()
    instance.shut_down()
    return 0


class _StopSignal:
    """Set once the process is told to end."""

    def __init__(self) -> None:
        self._received = threading.Event()
        signal.signal(signal.SIGTERM, self._receive)
        signal.signal(signal.SIGINT, self._receive)

    def wait(self) -> None:
        """Wait for the signal."""
        self._received.wait()

    def _receive(self, signum: int, frame: FrameType | None) -> None:
        self._received.set()


if __name__ == '__main__':
    main()
