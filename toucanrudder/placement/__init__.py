"""Choice of the upstream for a request."""
