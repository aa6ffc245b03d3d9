"""Logs and metrics."""
