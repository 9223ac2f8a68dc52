"""Starts the daemon on the platform from a checkout."""

import signal
from importlib import import_module


def main() -> None:
    """Load the daemon and run it.

    A SIGHUP that comes meanwhile would end the process. Nothing is missed, as
    the settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('gentianpulley.platform.program').main()


if __name__ == '__main__':
    main()
