"""Sends a request to an upstream once, and says how that failed."""

from collections.abc import Iterator
import contextlib

import aiohttp

from toucanrudder.upstreams import failures


@contextlib.contextmanager
def mapped(name: str) -> Iterator[None]:
    """Raise `UpstreamFailure` for the client library's exceptions.

    Parameters
    ----------
    name : str
        The upstream.

    Raises
    ------
    UpstreamFailure
        ``not_reached`` when no connection came about, so that no byte of
        the request was sent; else ``silent``.
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
            failures.Kind.NOT_REACHED, name, "no connection in time"
        ) from error
    except TimeoutError as error:
        raise failures.UpstreamFailure(
            failures.Kind.SILENT, name, failures.NO_BYTES_IN_TIME
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise failures.UpstreamFailure(
            failures.Kind.SILENT, name, repr(error)
        ) from error


def once(name: str):
    """Return a client middleware that keeps aiohttp from sending twice.

    aiohttp repeats a GET, PUT or DELETE by itself when the connection
    breaks before an answer: a call that may not be repeated would run
    twice.  It does so for its own exceptions only, so that raising ours
    inside the call ends it after one sending.
    """

    async def send(request, handler):
        with mapped(name):
            return await handler(request)

    return send
