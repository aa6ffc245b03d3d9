"""Leases in the store, and orders given under them."""
