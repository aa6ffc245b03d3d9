"""Sending of a request at most once, and translation of its errors."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import aiohttp

from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.upstreams import failures


@contextlib.contextmanager
def translated_errors(name: str) -> Iterator[None]:
    """Translate the client library's exceptions to `UpstreamFailure`.

    Parameters
    ----------
    name : str
        Name of the upstream.

    Raises
    ------
    UpstreamFailure
        ``not_reached`` if no connection was established, so that no byte
        of the request was sent; ``silent`` otherwise.
    """
    try:
        yield
    except aiohttp.ClientConnectorError as error:
        raise failures.UpstreamFailure(
            failures.Kind.NOT_REACHED,
            name,
            str(error),
            connection_refused=isinstance(
                error.os_error, ConnectionRefusedError
            ),
        ) from error
    except aiohttp.ConnectionTimeoutError as error:
        raise failures.UpstreamFailure(
            failures.Kind.NOT_REACHED, name, "connection timed out"
        ) from error
    except TimeoutError as error:
        raise failures.UpstreamFailure(
            failures.Kind.SILENT, name, failures.NO_PROGRESS_IN_TIME
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise failures.UpstreamFailure(
            failures.Kind.SILENT, name, repr(error)
        ) from error


def failure_of(
    error: client.ExchangeError, name: str
) -> failures.UpstreamFailure:
    """Return the failure of an exchange that did not end with an answer.

    Parameters
    ----------
    error : client.ExchangeError
        How the exchange ended.
    name : str
        Name of the upstream.
    """
    kind = failures.Kind.SILENT if error.sent else failures.Kind.NOT_REACHED
    return failures.UpstreamFailure(
        kind, name, str(error), connection_refused=error.is_refused
    )


def rest_s(headers: Mapping[str, str]) -> float:
    """Return the rest in seconds that a refusal asks for; 0 for none."""
    return message.parse_number(headers.get("Retry-After", "")) or 0.0


def without_resend(name: str):
    """Return a client middleware that prevents aiohttp from resending.

    aiohttp resends a GET, PUT or DELETE by itself if the connection breaks
    before the response, so that a request that must not be repeated could
    run twice.  It does so only for its own exceptions; raising another one
    inside the middleware prevents it.
    """

    async def send(request, handler):
        with translated_errors(name):
            return await handler(request)

    return send
