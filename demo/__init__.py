"""A short demonstration on real processes."""
