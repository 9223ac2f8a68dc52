"""Program of an entry instance on the platform: serves until stopped."""

import os
import signal
import sys
import traceback

from gentianpulley.errors import SettingsError
from gentianpulley.exit_status import LISTEN_EXIT_STATUS
from gentianpulley.logs import start_log
from gentianpulley.messages import cannot_listen
from gentianpulley.platform.daemon import PlatformDaemon, settings_path
from gentianpulley.platform.daemon_settings import load_platform_daemon_settings
from gentianpulley.process_signals import ProcessSignals
from gentianpulley.result_code import INTERNAL


def main() -> None:
    """Run the daemon and exit the process with its status."""
    try:
        status = run_daemon()
    except Exception:
        traceback.print_exc()
        status = INTERNAL.exit_status
    sys.stderr.flush()
    # Threads of waiting requests must not run past the grace period.
    os._exit(status)


def run_daemon() -> int:
    """Serve until SIGTERM or SIGINT; SIGHUP re-reads the settings.

    Returns the exit status.
    """
    signals = ProcessSignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    try:
        settings = load_platform_daemon_settings(settings_path())
    except SettingsError as exc:
        sys.stderr.write(f'{exc.text}\n')
        return exc.code.exit_status
    log = start_log(settings.instance, settings.failure_domain)
    daemon = PlatformDaemon(settings, log)
    try:
        daemon.start()
    except OSError as listen_error:
        sys.stderr.write(cannot_listen(listen_error))
        return LISTEN_EXIT_STATUS
    while signals.wait() is signal.SIGHUP:
        daemon.reload()
    daemon.shut_down()
    log.flush()
    return 0
