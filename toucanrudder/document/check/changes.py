"""Differences from the version in force, by what they mean."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import json
import re

import attrs

from toucanrudder.document import difference
from toucanrudder.document import model
from toucanrudder.document.check import findings
from toucanrudder.document.check import reachability
from toucanrudder.document.check import route_changes

Kind = findings.Kind

MAX_NAMES = 10
DIGEST_CHARS = 8

_ENTRY = re.compile(r"(?P<list>\w+)\[(?P<name>[^]]+)\](?:\.(?P<field>\w+))?")
#: Fields whose differences are told as access or routes instead.
_TOLD_ELSEWHERE = {
    ("organisations", "api_key_sha256s"),
    ("organisations", "models"),
    ("services", "routes"),
}
_KINDS = {
    "requests_per_s": Kind.LIMIT,
    "burst_requests": Kind.LIMIT,
    "weight": Kind.LIMIT,
    "context_tokens": Kind.LIMIT,
    "max_body_bytes": Kind.LIMIT,
    "timeout_s": Kind.LIMIT,
    "retry_ratio": Kind.LIMIT,
    "max_tries": Kind.LIMIT,
    "first_token_deadline_s": Kind.LIMIT,
    "claim_retention_s": Kind.LIMIT,
    "default_priority": Kind.PRIORITY,
    "max_priority": Kind.PRIORITY,
    "kind": Kind.CAPACITY,
    "pool": Kind.CAPACITY,
    "models": Kind.CAPACITY,
    "slots": Kind.CAPACITY,
    "drained": Kind.CAPACITY,
}


def _indices(document: model.Document) -> dict[str, dict[str, int]]:
    return {
        kind: {
            entry.name: index
            for index, entry in enumerate(getattr(document, kind))
        }
        for kind in ("organisations", "models", "upstreams", "services")
    }


@attrs.frozen
class _Sides:
    """The documents before and after.

    Parameters
    ----------
    old, new : model.Document
        The version in force and the checked document.
    indices : mapping of str to mapping of str to int
        Index of each entry of `new` by list and name.
    """

    old: model.Document
    new: model.Document
    indices: Mapping[str, Mapping[str, int]] = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: _indices(self.new), takes_self=True
        ),
    )

    def path(self, kind: str, name: str, field: str = "") -> str:
        """Return the JSON path in the new document."""
        index = self.indices[kind].get(name)
        if index is None:
            return f"$.{kind}"
        return f"$.{kind}[{index}]" + (f".{field}" if field else "")


def find(
    old: model.Document, new: model.Document
) -> Iterator[findings.Finding]:
    """Yield what changes between two valid documents.

    Differences without effect, such as another order of entries, are not
    told.
    """
    sides = _Sides(old, new)
    yield from _keys(sides)
    yield from _model_access(sides)
    yield from _services(sides)
    yield from _capacity(sides)
    for each in difference.compare(old, new):
        yield from _field(sides, each)


def _owners(document: model.Document) -> dict[str, str]:
    return {
        digest: organisation.name
        for organisation in document.organisations
        for digest in organisation.api_key_sha256s
    }


def _keys(sides: _Sides) -> Iterator[findings.Finding]:
    before, after = _owners(sides.old), _owners(sides.new)
    for digest in sorted(before | after):
        old, new = before.get(digest), after.get(digest)
        if old == new:
            continue
        key = f"key {digest[:DIGEST_CHARS]}..."
        if old is None:
            message = f"{key} gains access as organisation {new!r}"
        elif new is None:
            message = f"{key} of organisation {old!r} loses all access"
        else:
            message = f"{key} moves from organisation {old!r} to {new!r}"
        path = sides.path("organisations", new or old, "api_key_sha256s")
        yield findings.change(Kind.ACCESS, path, message)


def _users(document: model.Document, name: str) -> set[str]:
    """Return the organisations that may use the model."""
    if all(entry.name != name for entry in document.models):
        return set()
    return {
        each.name
        for each in document.organisations
        if reachability.may_use(each, name)
    }


def _model_access(sides: _Sides) -> Iterator[findings.Finding]:
    # Organisations without a key on one side are told by their keys.
    with_keys = set(_owners(sides.old).values()) & set(
        _owners(sides.new).values()
    )
    for name in _names(sides.old.models, sides.new.models):
        before = _users(sides.old, name) & with_keys
        after = _users(sides.new, name) & with_keys
        path = sides.path("models", name)
        for verb, users in (
            ("gain", after - before),
            ("lose", before - after),
        ):
            if users:
                yield findings.change(
                    Kind.ACCESS,
                    path,
                    f"organisations that {verb} access to model {name!r}: "
                    f"{_listed(users)}",
                )


def _services(sides: _Sides) -> Iterator[findings.Finding]:
    before = {each.name: each for each in sides.old.services}
    after = {each.name: each for each in sides.new.services}
    for name in _names(sides.old.services, sides.new.services):
        path = sides.path("services", name)
        if name not in before or name not in after:
            verb = "gain" if name in after else "lose"
            yield findings.change(
                Kind.ACCESS,
                path,
                f"all organisations {verb} access to service {name!r}",
            )
            continue
        for message in route_changes.find(before[name], after[name]):
            yield findings.change(Kind.ROUTE, f"{path}.routes", message)


def _capacity(sides: _Sides) -> Iterator[findings.Finding]:
    for kind, what, serving in (
        ("models", "model", reachability.serving_model),
        ("services", "service", reachability.serving_service),
    ):
        known = {entry.name for entry in getattr(sides.old, kind)}
        for entry in getattr(sides.new, kind):
            if entry.name not in known:
                continue
            before = _room(serving(sides.old, entry.name))
            after = _room(serving(sides.new, entry.name))
            if before != after:
                yield findings.change(
                    Kind.CAPACITY,
                    sides.path(kind, entry.name),
                    f"{what} {entry.name!r} is served by {after}, before by "
                    f"{before}",
                )


def _room(upstreams: Sequence[model.Upstream]) -> str:
    usable = [each for each in upstreams if not each.drained]
    slots = sum(each.slots for each in usable)
    plural = "s" * (len(usable) != 1)
    return f"{len(usable)} upstream{plural} with {slots} slots"


def _field(
    sides: _Sides, each: difference.Change
) -> Iterator[findings.Finding]:
    found = _ENTRY.fullmatch(each.path)
    if found is None:
        name = each.path.rsplit(".", 1)[-1]
        kind = _KINDS.get(name, Kind.SETTING)
        yield findings.change(kind, f"$.{each.path}", _said(each, each.path))
        return
    entries, name, field = found["list"], found["name"], found["field"]
    what = f"{entries.removesuffix('s')} {name!r}"
    if field is None:
        yield from _entry(sides, each, entries, name)
    elif (entries, field) not in _TOLD_ELSEWHERE and not _same_set(each):
        kind = _KINDS.get(field, Kind.SETTING)
        path = sides.path(entries, name, field)
        yield findings.change(kind, path, _said(each, f"{what}: {field}"))


def _entry(
    sides: _Sides, each: difference.Change, entries: str, name: str
) -> Iterator[findings.Finding]:
    if entries == "services":
        return  # told as access
    kind = Kind.CAPACITY if entries == "upstreams" else Kind.ACCESS
    if each.after is None:
        said = "is removed"
    else:
        said = f"is new: {_summary(each.after)}"
    yield findings.change(
        kind,
        sides.path(entries, name),
        f"{entries.removesuffix('s')} {name!r} {said}",
    )


@functools.singledispatch
def _summary(entry: object) -> str:
    raise NotImplementedError(type(entry).__name__)


@_summary.register
def _(entry: model.Organisation) -> str:
    return (
        f"{entry.requests_per_s:g} requests per second, burst "
        f"{entry.burst_requests:g}, weight {entry.weight:g}, priority "
        f"{entry.default_priority} up to {entry.max_priority}, models "
        f"{_listed(set(entry.models)) or 'all'}"
    )


@_summary.register
def _(entry: model.Model) -> str:
    return (
        f"weights {entry.weights_version!r}, {entry.context_tokens} tokens "
        "of context"
    )


@_summary.register
def _(entry: model.Upstream) -> str:
    state = "drained" if entry.drained else "in use"
    return (
        f"{entry.kind} in {entry.zone}, pool {entry.pool!r}, "
        f"{entry.slots} slots, {state}"
    )


def _said(each: difference.Change, what: str) -> str:
    return f"{what} is {_shown(each.after)}, before {_shown(each.before)}"


def _shown(value: object) -> str:
    if isinstance(value, tuple):
        return _listed(set(value)) or "none"
    return json.dumps(value)


def _same_set(each: difference.Change) -> bool:
    return (
        isinstance(each.before, tuple)
        and isinstance(each.after, tuple)
        and set(each.before) == set(each.after)
    )


def _names(*lists: Sequence) -> list[str]:
    return sorted({entry.name for entries in lists for entry in entries})


def _listed(names: set[str]) -> str:
    shown = sorted(names)[:MAX_NAMES]
    more = len(names) - len(shown)
    return ", ".join(shown) + (f" and {more} more" if more else "")
