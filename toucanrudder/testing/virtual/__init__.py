"""A whole site of routers and engines on virtual time, without sockets."""
