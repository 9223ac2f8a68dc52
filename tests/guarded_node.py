"""Runs an entry instance on the platform with one guard disabled."""

from gentianpulley.platform.program import main
from tests.guards import switch_off_named

if __name__ == '__main__':
    switch_off_named()
    main()
