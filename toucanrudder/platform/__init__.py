"""The users' prepared machines: names, formats and calls, no decisions."""
