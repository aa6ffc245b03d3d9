"""Exchange between routers, over gRPC."""
