"""Background tasks that maintain the state which filters read."""
