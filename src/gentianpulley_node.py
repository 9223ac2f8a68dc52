"""Entry point that starts the platform daemon from a checkout."""

import signal
from importlib import import_module


def main() -> None:
    """Import the daemon and run it.

    SIGHUP is ignored during the import, where it would end the process. No
    reload is lost, because the settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('gentianpulley.platform.program').main()


if __name__ == '__main__':
    main()
