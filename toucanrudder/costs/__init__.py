"""What requests cost the upstreams, learned from their answers.

Decisions and estimates only; no I/O.
"""
