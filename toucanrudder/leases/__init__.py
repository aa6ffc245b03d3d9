"""Leases in the object store, and the weight orders of their holders."""
