"""Entries that no request can reach, or that nothing can serve."""

from collections.abc import Iterable
from collections.abc import Iterator

from toucanrudder.document import model
from toucanrudder.document import routes
from toucanrudder.document.check import findings


def find(document: model.Document) -> Iterator[findings.Finding]:
    """Yield the findings on a valid document."""
    yield from _organisations(document)
    yield from _models(document)
    for index, service in enumerate(document.services):
        path = f"$.services[{index}]"
        yield from _served(
            path,
            f"service {service.name!r}",
            serving_service(document, service.name),
            f"an upstream of kind service with pool {service.name!r}",
        )
        yield from _routes(path, service.routes)


def serving_model(
    document: model.Document, name: str
) -> tuple[model.Upstream, ...]:
    """Return the configured engines that can serve the model."""
    return tuple(
        upstream
        for upstream in document.upstreams
        if upstream.kind == model.ENGINE and name in upstream.models
    )


def serving_service(
    document: model.Document, name: str
) -> tuple[model.Upstream, ...]:
    """Return the configured instances of the service."""
    return tuple(
        upstream
        for upstream in document.upstreams
        if upstream.kind == model.SERVICE and upstream.pool == name
    )


def may_use(organisation: model.Organisation, name: str) -> bool:
    """Return whether the organisation has a key and may use the model."""
    return bool(organisation.api_key_sha256s) and (
        not organisation.models or name in organisation.models
    )


def _organisations(document: model.Document) -> Iterator[findings.Finding]:
    right = "at least one digest in api_key_sha256s"
    if not any(each.api_key_sha256s for each in document.organisations):
        yield findings.unreachable(
            "$.organisations",
            "no organisation has a key: every request is refused",
            right,
        )
        return
    for index, organisation in enumerate(document.organisations):
        if not organisation.api_key_sha256s:
            yield findings.unreachable(
                f"$.organisations[{index}].api_key_sha256s",
                f"organisation {organisation.name!r} has no key: no request "
                "can be its own",
                right,
            )


def _models(document: model.Document) -> Iterator[findings.Finding]:
    with_keys = [
        each for each in document.organisations if each.api_key_sha256s
    ]
    for index, entry in enumerate(document.models):
        path = f"$.models[{index}]"
        yield from _served(
            path,
            f"model {entry.name!r}",
            serving_model(document, entry.name),
            f"an engine with {entry.name!r} in its models",
        )
        if with_keys and not any(may_use(o, entry.name) for o in with_keys):
            yield findings.unreachable(
                path,
                f"no organisation with a key may use model {entry.name!r}",
                f"{entry.name!r} in the models of an organisation",
            )


def _served(
    path: str, what: str, upstreams: Iterable[model.Upstream], right: str
) -> Iterator[findings.Finding]:
    upstreams = tuple(upstreams)
    if not upstreams:
        yield findings.unreachable(path, f"nothing serves {what}", right)
    elif all(upstream.drained for upstream in upstreams):
        yield findings.unreachable(
            path,
            f"all {len(upstreams)} upstreams that serve {what} are drained",
            "one of them not drained",
        )


def _routes(
    path: str, service_routes: tuple[model.Route, ...]
) -> Iterator[findings.Finding]:
    for index, route in enumerate(service_routes):
        here = f"{path}.routes[{index}]"
        if routes.has_dot_segments(route.path_prefix):
            yield findings.unreachable(
                f"{here}.path_prefix",
                f"paths under {route.path_prefix!r} are refused",
                "a prefix without . and .. segments",
            )
            continue
        for before, earlier in enumerate(service_routes[:index]):
            if _takes_all(earlier, route):
                yield _shadowed(path, here, before, earlier, route)
                break


def _takes_all(earlier: model.Route, later: model.Route) -> bool:
    return earlier.method in (
        routes.ANY_METHOD,
        later.method,
    ) and routes.is_under_prefix(earlier.path_prefix, later.path_prefix)


def _shadowed(
    path: str, here: str, before: int, earlier: model.Route, later: model.Route
) -> findings.Finding:
    message = (
        f"{later.method} {later.path_prefix} never matches: "
        f"{path}.routes[{before}], {earlier.method} {earlier.path_prefix}, "
        "takes its calls"
    )
    if earlier.repeatable == later.repeatable:
        return findings.unreachable(here, message, "without this entry")
    return findings.unreachable(
        here,
        f"{message}, with repeatable={str(earlier.repeatable).lower()}",
        f"this entry before {path}.routes[{before}]",
    )
