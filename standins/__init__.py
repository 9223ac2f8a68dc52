"""Stand-ins for the platform and the workers, for tests and the demo."""
