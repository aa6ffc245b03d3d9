"""Gossip and queries between routers, over gRPC."""
