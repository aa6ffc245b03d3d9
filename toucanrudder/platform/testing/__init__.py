"""The platform as tests and soaks need it."""
