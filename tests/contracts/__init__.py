"""Contract tests: what any implementation of an interface has to do.

A subclass names the implementation by overriding the fixture that the
contract declares. Fault cases need a way to break the implementation, which
the subclass provides too.
"""
