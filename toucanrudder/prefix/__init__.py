"""Identity of prompt prefixes and beliefs about where they are cached."""
