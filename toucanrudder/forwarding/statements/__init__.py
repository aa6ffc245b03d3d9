"""What upstreams state of themselves in their answers."""
