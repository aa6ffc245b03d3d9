"""Forwarding of whole HTTP requests by host and path.

A second entry point of the router, for requests that are forwarded
unchanged: routes and organisations come from a configuration that another
system writes, upstreams from a registry in which they register themselves.
A `Dialect` defines the wire format.
"""
