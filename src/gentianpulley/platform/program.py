"""The program of an instance on the platform: serves until it is told to end."""

import os
import signal
import sys

from gentianpulley.errors import SettingsError
from gentianpulley.logs import start_log
from gentianpulley.platform.daemon import Node, settings_path
from gentianpulley.platform.node_file import load_node_settings
from gentianpulley.process_signals import ProcessSignals


def main() -> None:
    """Run the daemon and exit with its status."""
    status = run_node()
    sys.stderr.flush()
    # Threads of requests that still wait must not outlast the grace.
    os._exit(status)


def run_node() -> int:
    """Serve until SIGTERM; returns the exit status."""
    signals = ProcessSignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    try:
        settings = load_node_settings(settings_path())
    except SettingsError as exc:
        sys.stderr.write(f'{exc.text}\n')
        return exc.code.exit_status
    log = start_log(settings.instance, settings.failure_domain)
    node = Node(settings, log)
    node.start()
    while signals.wait() is signal.SIGHUP:
        node.reload()
    node.shut_down()
    log.flush()
    return 0
