"""Conversion of documents to and from JSON."""

import json

from cattrs.preconf import json as cattrs_json

from toucanrudder.document import model

MAX_BYTES = 1_000_000

_ENTRIES = {
    "organisations": model.Organisation,
    "models": model.Model,
    "upstreams": model.Upstream,
    "services": model.Service,
}

_converter = cattrs_json.make_converter(forbid_extra_keys=True)


def to_json(document: model.Document) -> dict:
    """Return the document as JSON values, with all defaults included.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> to_json(model.Document())["policy"]["max_tries"]
    3
    """
    return _converter.unstructure(document)


def from_json(data: dict) -> model.Document:
    """Return the document from validated JSON values."""
    return _converter.structure(data, model.Document)


def entry_from_json(kind: str, data: dict) -> object:
    """Return an entry of the document's list `kind` from JSON values."""
    return _converter.structure(data, _ENTRIES[kind])


def accepted_to_json(accepted: model.Accepted) -> dict:
    """Return the value of the store's object ``configuration/current``."""
    return _converter.unstructure(accepted)


def accepted_from_json(data: dict) -> model.Accepted:
    """Return the accepted document from JSON of the store or a peer.

    Raises
    ------
    Exception
        Of several types, if `data` is malformed.
    """
    return _converter.structure(data, model.Accepted)


def encode(accepted: model.Accepted) -> bytes:
    """Return the accepted document as compact JSON for peers."""
    return json.dumps(
        accepted_to_json(accepted), separators=(",", ":")
    ).encode()


def decode(data: bytes) -> model.Accepted:
    """Return the accepted document from the bytes of `encode`."""
    return accepted_from_json(json.loads(data))
