"""Attempts of requests at upstreams: sending, relaying, retrying."""
