"""Passing an answer on, event by event."""
