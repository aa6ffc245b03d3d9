"""Finds out whose request it is and in which class it runs."""

import hashlib

from aiohttp import web

from toucanrudder import errors
from toucanrudder import messages
from toucanrudder.document import model
from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers

STEP = "identify"


def organisation_of(
    api_key: str, by_digest: dict[str, model.Organisation]
) -> model.Organisation:
    """Return the organisation that the API key belongs to.

    Raises
    ------
    RudderError
        ``unauthorized``, in the same words whether a key was missing,
        malformed or unknown.
    """
    # The digest is looked up, never compared byte by byte with a stored
    # key: the time taken says nothing about keys that exist.
    digest = hashlib.sha256(api_key.encode("utf-8", "replace")).hexdigest()
    found = by_digest.get(digest) if api_key else None
    if found is None:
        raise errors.RudderError(
            errors.Code.UNAUTHORIZED, "API key missing or unknown", step=STEP
        )
    return found


async def identify(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Set the organisation and the priority class."""
    state = exchange.state
    organisation = organisation_of(
        headers.bearer(exchange.http), state.organisations_by_digest()
    )
    exchange.organisation = organisation
    asked = headers.priority(exchange.http, organisation.default_priority)
    most = messages.Priority[organisation.max_priority.upper()]
    exchange.priority = max(asked, most)
    return await call_next(exchange)
