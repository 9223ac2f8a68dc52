"""Tests of gentianpulley."""
