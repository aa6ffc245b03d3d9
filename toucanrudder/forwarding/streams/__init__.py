"""Streams that go on: where they began, and what may continue them."""
