"""Processes and a fault-injecting proxy for tests."""
