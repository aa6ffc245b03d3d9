"""The router daemon."""
