"""Exit statuses of the daemons, in addition to those of the result codes."""

from typing import Final

USAGE_EXIT_STATUS: Final = 64
LISTEN_EXIT_STATUS: Final = 68
"""An address to listen on cannot be used."""
