"""Forwarding of whole HTTP requests by host and path.

A second way into the router, for callers whose requests are passed on
unchanged: routes, organisations and upstreams come from a configuration
that somebody else writes and from a registry in which upstreams register
themselves.  What is said on the wire is left to a `Dialect`.
"""
