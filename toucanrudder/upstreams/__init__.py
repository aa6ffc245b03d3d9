"""Clients of engines and services, and what is known of each."""
