"""Objects and words that cannot be read: counted, and logged once."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import typing

import cachetools

from toucanrudder.observability import metrics
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

#: Sources and reasons that are remembered, so that an entry which is
#: written anew each second fills no log.
MAX_REMEMBERED = 256

_LOGGED: cachetools.LRUCache = cachetools.LRUCache(MAX_REMEMBERED)

Read = typing.TypeVar("Read")


def log_malformed(error: interface.MalformedObject) -> None:
    """Count what could not be read; log it if that is news."""
    kind = error.source.partition("/")[0]
    metrics.counter(
        "toucanrudder_strange_objects", "Objects that cannot be read"
    ).add(1, {"kind": kind if "/" in error.source else "upstream"})
    key = (error.source, error.reason)
    if key not in _LOGGED:
        _LOGGED[key] = True
        LOG.warning("left out: %s", error.reason, extra={"peer": error.source})


def decode_or_none(decode: Callable[..., Read], *given: object) -> Read | None:
    """Return what is read of it; None, and a log line, if it is strange."""
    try:
        return decode(*given)
    except interface.MalformedObject as error:
        log_malformed(error)
        return None


def decode_valid(
    decode: Callable[[object], Read], items: Iterable[object]
) -> list[Read]:
    """Return what is read of those items that are not strange."""
    found = (decode_or_none(decode, each) for each in items)
    return [each for each in found if each is not None]
