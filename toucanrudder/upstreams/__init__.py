"""Clients of engines and services, and the state of each upstream."""
