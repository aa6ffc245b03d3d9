"""At-most-once execution of requests that may not be repeated."""
