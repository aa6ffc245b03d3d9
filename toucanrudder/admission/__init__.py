"""Priority queue, fair shares and rate limits."""
