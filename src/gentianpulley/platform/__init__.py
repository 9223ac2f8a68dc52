"""Adapter to the users' platform: its wire formats stay in this package."""
