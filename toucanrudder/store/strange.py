"""Counting of malformed objects, and logging of each one once."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import typing

import cachetools

from toucanrudder.http1 import json_text
from toucanrudder.observability import metrics
from toucanrudder.store import interface
from toucanrudder.store import typed

LOG = logging.getLogger(__name__)

#: Pairs of source and reason that count as logged, so that an entry that is
#: rewritten each second does not fill the log.
MAX_LOGGED = 256

_LOGGED: cachetools.LRUCache = cachetools.LRUCache(MAX_LOGGED)

Read = typing.TypeVar("Read")


def log_malformed(error: interface.MalformedObject) -> None:
    """Count a malformed object; log it unless it was logged before."""
    kind = error.source.partition("/")[0]
    metrics.counter(
        "toucanrudder_strange_objects", "Objects that cannot be read"
    ).add(1, {"kind": kind if "/" in error.source else "upstream"})
    key = (error.source, error.reason)
    if key not in _LOGGED:
        _LOGGED[key] = True
        LOG.warning(
            "ignored malformed object: %s",
            error.reason,
            extra={"peer": error.source},
        )


def decode_or_none(decode: Callable[..., Read], *args: object) -> Read | None:
    """Return the decoded object; log it and return None if it is malformed."""
    try:
        return decode(*args)
    except interface.MalformedObject as error:
        log_malformed(error)
        return None


def encode(value: object, source: str) -> bytes:
    """Return a parsed value as strict JSON.

    Raises
    ------
    MalformedObject
        It holds what JSON cannot.
    """
    try:
        return json_text.encode(value)
    except TypeError as error:
        raise interface.MalformedObject(source, str(error)) from error


def read_valid(
    record_type: type[Read], items: Iterable[object], source: str
) -> tuple[Read, ...]:
    """Return the items as records, without the malformed ones."""
    return tuple(
        decode_valid(lambda item: typed.read(record_type, item, source), items)
    )


def decode_valid(
    decode: Callable[[object], Read], items: Iterable[object]
) -> list[Read]:
    """Return the decoded items, without the malformed ones."""
    decoded = (decode_or_none(decode, item) for item in items)
    return [each for each in decoded if each is not None]
