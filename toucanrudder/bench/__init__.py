"""Measurements with real processes."""
