"""What all tests of the project share."""

pytest_plugins = [
    "toucanrudder.testing.alone",
    "toucanrudder.testing.known_reds",
    "pytester",
]
