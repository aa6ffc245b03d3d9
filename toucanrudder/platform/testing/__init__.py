"""Stand-ins for the platform, for tests and soak runs."""
