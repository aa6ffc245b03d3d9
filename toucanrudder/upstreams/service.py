"""Client of plain services: passes one HTTP call through."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from toucanrudder.document import model
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import sending

_IDENTITY = "X-Request-Id"

#: Headers that belong to one connection, and those that are ours.
_NOT_PASSED = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Connection",
        "Content-Length",
        "Expect",
        "Host",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        _IDENTITY,
    )
)


def passed_headers(headers: CIMultiDictProxy) -> CIMultiDict:
    """Return the headers that go on to the other side.

    Those that ``Connection`` names are left out too: they speak of one
    connection, and would be false on the next.
    """
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", [])
        for name in value.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_PASSED and name.lower() not in named
    )


class ServiceClient:
    """Calls services over a shared session.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the daemon; its connector must use each connection once
        and it must not decompress answers.
    connect_timeout_s : float
        Seconds for opening a connection.
    """

    def __init__(
        self, session: aiohttp.ClientSession, connect_timeout_s: float
    ):
        self._session = session
        self._connect_timeout_s = connect_timeout_s

    @contextlib.asynccontextmanager
    async def call(
        self,
        upstream: model.Upstream,
        method: str,
        path: str,
        *,
        headers: CIMultiDict,
        body: bytes,
        timeout_s: float,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send the call and yield the open answer.

        Raises
        ------
        UpstreamFailure
            ``not_reached`` or ``refused`` prove that nothing ran;
            ``silent`` and ``crossed`` leave it open.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=self._connect_timeout_s
        )
        request = self._session.request(
            method,
            f"http://{upstream.address}{path}",
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(sending.once(upstream.name),),
        )
        with sending.mapped(upstream.name):
            response = await request
        try:
            if (
                response.status == 503
                and response.headers.get("X-Not-Run") == "1"
            ):
                raise _refusal(
                    upstream.name,
                    headers.get(_IDENTITY, ""),
                    response.headers.get(_IDENTITY),
                )
            yield response
        finally:
            response.close()


def _refusal(
    name: str, sent: str, repeated: str | None
) -> failures.UpstreamFailure:
    # A service need not repeat the identity.  If it repeats another, the
    # answer was mixed up on the way and proves nothing of this call.
    if repeated is not None and repeated != sent:
        return failures.UpstreamFailure(
            failures.Kind.CROSSED, name, "refusal of another request"
        )
    return failures.UpstreamFailure(failures.Kind.REFUSED, name, "refused")
