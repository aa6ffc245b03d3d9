"""The policy bench: real routers and stand-ins under a seeded workload."""
