"""Jobs of several steps: what callers ask for and how far it has come."""
