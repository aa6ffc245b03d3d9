"""Adapter to one outside platform: its names, formats and calls."""
