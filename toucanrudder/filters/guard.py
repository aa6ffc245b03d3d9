"""Outermost filter: counts requests and turns errors into responses."""

import asyncio
import logging
import math

from aiohttp import web

from toucanrudder import errors
from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.observability import metrics
from toucanrudder.relay import sinks

LOG = logging.getLogger(__name__)

#: Status of a request whose caller has disconnected; never sent.
CLIENT_CLOSED_REQUEST = 499


def error_response(error: errors.RudderError, request_id: str) -> web.Response:
    """Return the HTTP response for an error."""
    response_headers = {headers.REQUEST_ID: request_id}
    if error.retry_after_s is not None:
        response_headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.code is errors.Code.UNAUTHORIZED:
        response_headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(
        error.as_body(request_id),
        status=error.status,
        headers=response_headers,
    )


async def guard(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Count the request as open, and turn errors into responses."""
    with exchange.state.exchanges.track():
        try:
            return await call_next(exchange)
        except errors.RudderError as error:
            _record_refusal(error, exchange)
            return error_response(error, exchange.request_id)
        except sinks.CallerGone:
            metrics.counter(
                "toucanrudder_callers_gone", "Callers who left or stalled"
            ).add(1)
            return web.Response(status=CLIENT_CLOSED_REQUEST)
        except asyncio.CancelledError:
            metrics.counter(
                "toucanrudder_callers_gone", "Callers who left or stalled"
            ).add(1)
            raise
        except Exception:
            LOG.exception(
                "unexpected failure",
                extra={"request_id": exchange.request_id, "step": "guard"},
            )
            # An upstream may have run the request before this failure.
            error = errors.RudderError(
                errors.Code.INTERNAL,
                "internal error in the router",
                step="guard",
                ran=errors.Ran.UNKNOWN,
            )
            _record_refusal(error, exchange)
            return error_response(error, exchange.request_id)


def _record_refusal(
    error: errors.RudderError, exchange: exchanges.Exchange
) -> None:
    metrics.count_refusal(error.code.value, error.step)
    organisation = exchange.organisation
    LOG.info(
        "refused",
        extra={
            "request_id": exchange.request_id,
            "organisation": organisation.name if organisation else "",
            "step": error.step,
            "peer": error.peer,
            "code": error.code.value,
        },
    )
