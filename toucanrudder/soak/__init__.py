"""A randomized fault soak of the forwarding router's real program."""
