"""Filter that sets the organisation and priority of a request."""

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
    api_key: str, organisations: dict[str, model.Organisation]
) -> model.Organisation:
    """Return the organisation that the API key belongs to.

    Raises
    ------
    RudderError
        ``unauthorized``; the message is the same for a missing, a
        malformed and an unknown key.
    """
    # The key's digest is looked up, and no stored key is compared byte by
    # byte, so that the time taken reveals nothing about existing keys.
    digest = hashlib.sha256(api_key.encode("utf-8", "replace")).hexdigest()
    organisation = organisations.get(digest) if api_key else None
    if organisation is None:
        raise errors.RudderError(
            errors.Code.UNAUTHORIZED, "API key missing or unknown", step=STEP
        )
    return organisation


async def identify(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Set the organisation and the priority class."""
    state = exchange.state
    organisation = organisation_of(
        headers.bearer_token(exchange.http), state.organisations_by_digest()
    )
    exchange.organisation = organisation
    requested = headers.priority(exchange.http, organisation.default_priority)
    highest_allowed = messages.Priority[organisation.max_priority.upper()]
    # A greater value is a lower priority.
    exchange.priority = max(requested, highest_allowed)
    return await call_next(exchange)
