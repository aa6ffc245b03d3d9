"""JSON Schema of the configuration document."""

import importlib.resources
import json

SCHEMA: dict = json.loads(
    importlib.resources.files(__package__)
    .joinpath("schema.json")
    .read_text(encoding="utf-8")
)
