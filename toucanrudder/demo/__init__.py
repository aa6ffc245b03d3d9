"""A whole system on loopback, in one process."""
