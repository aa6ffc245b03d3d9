"""Validation of a whole document before it is accepted."""

from collections.abc import Iterable
from collections.abc import Iterator
import json

import attrs
import jsonschema

from toucanrudder import addresses
from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.document import schema
from toucanrudder.document import serialisation
from toucanrudder.messages import request

STEP = "configuration"
MAX_PROBLEMS = 200

_validator = jsonschema.Draft202012Validator(schema.SCHEMA)


@attrs.frozen
class Problem:
    """One problem of a document.

    Parameters
    ----------
    path : str
        JSON path, for example ``$.upstreams[3].address``.
    message : str
        Description of the problem.
    """

    path: str
    message: str


@attrs.define(eq=False)
class DocumentInvalid(errors.RudderError):
    """Error for an invalid document; `problems` lists all that is wrong."""

    problems: tuple[Problem, ...] = attrs.field(default=(), kw_only=True)

    def as_body(self, request_id: str = "") -> dict:
        """Return the error body, with the list of problems."""
        body = super().as_body(request_id)
        body["error"]["problems"] = [
            attrs.asdict(problem) for problem in self.problems
        ]
        return body


def parse(data: object) -> model.Document:
    """Validate JSON values and return the document that they describe.

    Parameters
    ----------
    data : object
        The document as decoded JSON.

    Returns
    -------
    model.Document
        Document whose references are all valid.

    Raises
    ------
    DocumentInvalid
        ``config_invalid``, with up to `MAX_PROBLEMS` of its problems.

    Examples
    --------
    >>> from toucanrudder.document import validation
    >>> try:
    ...     validation.parse({"organisations": [], "models": 3})
    ... except validation.DocumentInvalid as error:
    ...     [problem.path for problem in error.problems]
    ['$', '$.models']
    """
    try:
        failures = list(_validator.iter_errors(data))
        problems = list(_schema_problems(data, failures))
    except RecursionError:
        raise _invalid([Problem("$", "is nested too deeply")]) from None
    if problems:
        document = _partial_document(data, failures)
    else:
        document = serialisation.from_json(data)
    problems += _document_problems(document)
    if not problems:
        return document
    raise _invalid(problems)


def _invalid(problems: list[Problem]) -> DocumentInvalid:
    problems.sort(key=lambda problem: (problem.path, problem.message))
    return DocumentInvalid(
        errors.Code.CONFIG_INVALID,
        f"{len(problems)} problems; first: {problems[0].path}: "
        f"{problems[0].message}",
        step=STEP,
        problems=tuple(problems[:MAX_PROBLEMS]),
    )


def _schema_problems(
    data: object, failures: list[jsonschema.ValidationError]
) -> Iterator[Problem]:
    for error in failures:
        yield Problem(error.json_path, _shortened(error.message))
    try:
        json.dumps(data, allow_nan=False)
    except ValueError:
        # json.loads accepts NaN, which passes every bound of the schema.
        yield Problem("$", "holds a number that is not finite")


def _partial_document(
    data: object, failures: list[jsonschema.ValidationError]
) -> model.Document:
    """Return the valid entries, so that their references are checked too.

    An invalid entry is replaced by a valid placeholder of the same name, so
    that indices do not shift and references to it stay valid.
    """
    bad = {tuple(error.absolute_path)[:2] for error in failures}
    entries = {kind: _partial_list(kind, data, bad) for kind in _PLACEHOLDERS}
    return model.Document(**entries)


def _partial_list(kind: str, data: object, bad: set[tuple]) -> tuple:
    entries = data.get(kind, ()) if isinstance(data, dict) else ()
    if not isinstance(entries, list):
        return ()
    return tuple(
        _PLACEHOLDERS[kind](_name_of(entry, index), index)
        if (kind, index) in bad
        else serialisation.entry_from_json(kind, entry)
        for index, entry in enumerate(entries)
    )


def _name_of(entry: object, index: int) -> str:
    name = entry.get("name") if isinstance(entry, dict) else None
    return name if isinstance(name, str) else f"\0{index}"


def _placeholder_upstream(name: str, index: int) -> model.Upstream:
    # Unique and never in use: in the IPv6 discard prefix 100::/64.
    address = f"[100::{index:x}]:1"
    return model.Upstream(name, "", address, "", "")


_PLACEHOLDERS = {
    "organisations": lambda name, index: model.Organisation(name),
    "models": lambda name, index: model.Model(name, ""),
    "upstreams": _placeholder_upstream,
    "services": lambda name, index: model.Service(name),
}


def _shortened(message: str) -> str:
    return message if len(message) <= 300 else message[:297] + "..."


def _document_problems(document: model.Document) -> Iterator[Problem]:
    yield from _size_problems(document)
    for kind in ("organisations", "models", "upstreams", "services"):
        names = [entry.name for entry in getattr(document, kind)]
        yield from _duplicates(f"$.{kind}", "name", names)
    yield from _organisation_problems(document)
    yield from _upstream_problems(document)
    yield from _route_problems(document)


def _size_problems(document: model.Document) -> Iterator[Problem]:
    text = json.dumps(serialisation.to_json(document))
    if len(text) > serialisation.MAX_BYTES:
        yield Problem(
            "$",
            f"is {len(text)} bytes long; the store holds at most "
            f"{serialisation.MAX_BYTES}",
        )


def _duplicates(
    path: str, field: str, values: Iterable[object]
) -> Iterator[Problem]:
    first_index: dict[object, int] = {}
    for index, value in enumerate(values):
        if value in first_index:
            yield Problem(
                f"{path}[{index}].{field}",
                f"{value!r} is already at {path}[{first_index[value]}]",
            )
        first_index.setdefault(value, index)


def _unknown_names(
    path: str, kind: str, names: Iterable[str], known: set[str]
) -> Iterator[Problem]:
    for index, name in enumerate(names):
        if name not in known:
            yield Problem(f"{path}[{index}]", f"no {kind} named {name!r}")


def _organisation_problems(document: model.Document) -> Iterator[Problem]:
    models = {entry.name for entry in document.models}
    owners: dict[str, str] = {}
    for index, organisation in enumerate(document.organisations):
        path = f"$.organisations[{index}]"
        yield from _unknown_names(
            f"{path}.models", "model", organisation.models, models
        )
        default = request.Priority[organisation.default_priority.upper()]
        if default < request.Priority[organisation.max_priority.upper()]:
            yield Problem(f"{path}.default_priority", "is above max_priority")
        for digest_index, digest in enumerate(organisation.api_key_sha256s):
            if digest in owners:
                yield Problem(
                    f"{path}.api_key_sha256s[{digest_index}]",
                    f"key belongs to {owners[digest]!r} already",
                )
            owners.setdefault(digest, organisation.name)


def _upstream_problems(document: model.Document) -> Iterator[Problem]:
    models = {entry.name for entry in document.models}
    services = {entry.name for entry in document.services}
    for index, upstream in enumerate(document.upstreams):
        path = f"$.upstreams[{index}]"
        yield from _unknown_names(
            f"{path}.models", "model", upstream.models, models
        )
        if addresses.ip_of(upstream.address) is None:
            yield Problem(f"{path}.address", "is not IP:port")
        if upstream.kind == model.ENGINE and not upstream.models:
            yield Problem(f"{path}.models", "an engine needs a model")
        if upstream.kind == model.SERVICE and upstream.models:
            yield Problem(f"{path}.models", "a service has no models")
        if upstream.kind == model.SERVICE and upstream.pool not in services:
            yield Problem(
                f"{path}.pool", f"no service named {upstream.pool!r}"
            )
    yield from _duplicates(
        "$.upstreams",
        "address",
        [upstream.address for upstream in document.upstreams],
    )


def _route_problems(document: model.Document) -> Iterator[Problem]:
    for index, service in enumerate(document.services):
        yield from _duplicates(
            f"$.services[{index}].routes",
            "path_prefix",
            [(route.method, route.path_prefix) for route in service.routes],
        )
