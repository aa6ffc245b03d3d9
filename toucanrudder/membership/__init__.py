"""Which routers and upstreams are live."""
