"""Measurements of gentianpulley."""
