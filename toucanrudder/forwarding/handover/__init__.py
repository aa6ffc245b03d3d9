"""Handing requests over to a peer that reaches their upstreams."""
