"""The status page as text."""

from collections.abc import Iterable
from collections.abc import Mapping

from toucanrudder.cli import output

_TABLES = {
    "routers": ("name", "zone", "generation", "ready", "heard_age_s"),
    "upstreams": (
        "name",
        "kind",
        "zone",
        "state",
        "drained",
        "running",
        "waiting",
        "report_age_s",
    ),
    "leases": ("name", "holder", "fencing"),
    "quarantined": ("fingerprint", "organisation", "crashes", "expires_in_s"),
    "unknown_claims": (
        "organisation",
        "key_sha256",
        "router",
        "started_age_s",
    ),
}


def _rounded(rows: Iterable[Mapping]) -> list[dict]:
    return [
        {
            name: round(value, 1) if isinstance(value, float) else value
            for name, value in row.items()
        }
        for row in rows
    ]


def text(status: Mapping) -> str:
    """Return the answer of ``GET /status`` as text."""
    parts = [f"router {status['router']}, generation {status['generation']}"]
    for name, columns in _TABLES.items():
        rows = status[name]
        title = name.replace("_", " ")
        if name in status["unavailable"]:
            parts.append(f"{title}: not available now")
        elif rows:
            parts.append(f"{title}:\n{output.table(_rounded(rows), columns)}")
        else:
            parts.append(f"{title}: none")
    return "\n\n".join(parts)
