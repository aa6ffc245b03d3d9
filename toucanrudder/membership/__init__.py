"""Liveness of routers and upstreams."""
