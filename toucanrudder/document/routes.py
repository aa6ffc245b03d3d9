"""Matching of calls to the routes of a service."""

from toucanrudder.document import model

ANY_METHOD = "*"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
DOT_SEGMENTS = frozenset({".", ".."})


def is_repeatable(target: model.Service, method: str, path: str) -> bool:
    """Return whether a call may be run twice, per the first matching route.

    Without a matching route, only HTTP's safe methods may be repeated, so
    that a missing route cannot cause a booking to be made twice.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> target = model.Service(
    ...     "booking", (model.Route("POST", "/quotes", True),))
    >>> is_repeatable(target, "POST", "/quotes/7")
    True
    >>> is_repeatable(target, "POST", "/bookings")
    False
    """
    for route in target.routes:
        if route.method in (ANY_METHOD, method) and is_under_prefix(
            route.path_prefix, path
        ):
            return route.repeatable
    return method in SAFE_METHODS


def is_under_prefix(prefix: str, path: str) -> bool:
    """Return whether the prefix's segments are the path's first ones.

    All paths under `path` are then under `prefix` too.
    """
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def has_dot_segments(path: str) -> bool:
    """Return whether a segment of the path is ``.`` or ``..``."""
    return not DOT_SEGMENTS.isdisjoint(path.split("/"))
