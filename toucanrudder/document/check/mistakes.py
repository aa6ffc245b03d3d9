"""Problems of an invalid document, with what would be right."""

from collections.abc import Iterable
from collections.abc import Iterator
import re

from toucanrudder.document import schema
from toucanrudder.document import validation
from toucanrudder.document.check import findings

MAX_NAMES = 10

_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
#: Ends of the paths of references, and the list that they refer to.
_REFERENCES = (
    (re.compile(r"\.models\[\d+\]$"), "models"),
    (re.compile(r"\.pool$"), "services"),
)


def find(
    data: object, problems: Iterable[validation.Problem]
) -> Iterator[findings.Finding]:
    """Yield a finding for each problem of the document `data`."""
    for problem in problems:
        yield findings.Finding(
            findings.Kind.INVALID,
            findings.Severity.ERROR,
            problem.path,
            problem.message,
            _right(data, problem.path),
        )


def _right(data: object, path: str) -> str:
    parts = [_described(path)]
    for pattern, kind in _REFERENCES:
        if pattern.search(path):
            parts.append(f"a name in $.{kind}: {_names(data, kind)}")
    return "; ".join(filter(None, parts))


def _names(data: object, kind: str) -> str:
    entries = data.get(kind) if isinstance(data, dict) else None
    names = [
        repr(entry["name"])
        for entry in (entries if isinstance(entries, list) else ())
        if isinstance(entry, dict) and isinstance(entry.get("name"), str)
    ]
    shown = ", ".join(names[:MAX_NAMES]) or "none"
    return shown + (", ..." if len(names) > MAX_NAMES else "")


def _described(path: str) -> str:
    """Return what the schema says of the value at the path."""
    node = schema.SCHEMA
    description = node["description"]
    for field, index in _STEP.findall(path):
        inner = node.get("items") if index else _property(node, field)
        if inner is None:
            break
        node = _resolved(inner)
        description = node.get("description", description)
    return "; ".join([description.rstrip("."), *_rules(node)])


def _property(node: dict, field: str) -> dict | None:
    return node.get("properties", {}).get(field)


def _resolved(node: dict) -> dict:
    if "$ref" not in node:
        return node
    name = node["$ref"].rsplit("/", 1)[-1]
    return {**schema.SCHEMA["$defs"][name], **node}


def _rules(node: dict) -> Iterator[str]:
    if "properties" in node:
        yield "fields " + ", ".join(node["properties"])
        if node.get("required"):
            yield "required " + ", ".join(node["required"])
        return
    if "type" in node:
        yield node["type"]
    if "enum" in node:
        yield "one of " + ", ".join(map(str, node["enum"]))
    if "minimum" in node:
        bounds = f"from {node['minimum']} to {node['maximum']}"
        yield f"{bounds} {node.get('x-unit', '')}".rstrip()
    if "maxItems" in node:
        yield f"at most {node['maxItems']} entries"
    if "pattern" in node:
        yield f"matches {node['pattern']!r}"
