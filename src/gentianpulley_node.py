"""Starts the daemon on the platform from a checkout."""

from gentianpulley.platform.daemon import main

if __name__ == '__main__':
    main()
