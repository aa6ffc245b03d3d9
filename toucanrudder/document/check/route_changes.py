"""Calls of a service whose repeatability changes."""

from collections.abc import Iterator

from toucanrudder.document import model
from toucanrudder.document import routes
from toucanrudder.document import schema

#: ``*`` stands for the methods that the schema does not name.
METHODS: tuple[str, ...] = tuple(
    schema.SCHEMA["$defs"]["route"]["properties"]["method"]["enum"]
)
#: A segment that no sensible prefix holds: what is below a prefix in general.
_ANY_SEGMENT = "\0"


def find(old: model.Service, new: model.Service) -> Iterator[str]:
    """Yield a message for each prefix at which the answer changes.

    Between prefixes of the routes the answer is constant, so one path at
    and one below each prefix tell of all.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> old = model.Service("desk", (model.Route("POST", "/quotes", True),))
    >>> list(find(old, model.Service("desk")))
    ['POST /quotes may no longer be repeated']
    """
    if old.routes == new.routes:
        return
    prefixes = {route.path_prefix for route in (*old.routes, *new.routes)}
    for prefix in sorted(prefixes):
        if routes.has_dot_segments(prefix):
            continue  # refused before routes are looked at
        below = f"{prefix.rstrip('/')}/{_ANY_SEGMENT}"
        changed = _changed(old, new, below)
        yield from _messages(changed, prefix)
        at_prefix = _changed(old, new, prefix)
        if at_prefix != changed:
            yield from _messages(at_prefix, f"{prefix} itself")


def _changed(
    old: model.Service, new: model.Service, path: str
) -> dict[str, bool]:
    """Return the new answer of each method for which it changes."""
    after = {
        method: routes.is_repeatable(new, method, path) for method in METHODS
    }
    return {
        method: answer
        for method, answer in after.items()
        if answer is not routes.is_repeatable(old, method, path)
    }


def _messages(changed: dict[str, bool], where: str) -> Iterator[str]:
    names = {routes.ANY_METHOD: "other methods"}
    for answer, said in (
        (True, "may now be repeated"),
        (False, "may no longer be repeated"),
    ):
        methods = [
            names.get(each, each)
            for each in sorted(changed, reverse=True)
            if changed[each] is answer
        ]
        if methods:
            yield f"{', '.join(methods)} {where} {said}"
