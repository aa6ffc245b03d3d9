"""The operators' HTTP API, served on a port of its own."""
