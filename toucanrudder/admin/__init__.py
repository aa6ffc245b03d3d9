"""HTTP API for operators, served on a separate port."""
