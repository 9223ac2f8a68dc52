"""Runs the daemon with the named guard off, for `make prove-red`."""

from gentianpulley.daemon import main
from tests.guards import switch_off_named

if __name__ == '__main__':
    switch_off_named()
    main()
