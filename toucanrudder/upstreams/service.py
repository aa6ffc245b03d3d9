"""Client of plain services: forwards one HTTP call."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from toucanrudder.document import model
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import sending

_IDENTITY = "X-Request-Id"

#: Headers of one connection, and headers that the router sets itself.
_NOT_FORWARDED = frozenset(
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


def forwarded_headers(headers: CIMultiDictProxy) -> CIMultiDict:
    """Return the headers that are forwarded.

    Headers listed in ``Connection`` are omitted too, since they apply to one
    connection only.
    """
    hop_by_hop = {
        name.strip().lower()
        for value in headers.getall("Connection", [])
        for name in value.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_FORWARDED
        and name.lower() not in hop_by_hop
    )


class ServiceClient:
    """Calls services over a shared session.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session owned by the daemon; its connector must use each connection
        once, and it must not decompress responses.
    connect_timeout_s : float
        Timeout of opening a connection.
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
        """Send the call and yield the open response.

        Raises
        ------
        UpstreamFailure
            ``not_reached`` and ``refused`` prove that the call did not run;
            after ``silent`` and ``crossed`` it may have run.
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
            middlewares=(sending.without_resend(upstream.name),),
        )
        with sending.translated_errors(upstream.name):
            response = await request
        try:
            if (
                response.status == 503
                and response.headers.get("X-Not-Run") == "1"
            ):
                raise _refusal_failure(
                    upstream.name,
                    headers.get(_IDENTITY, ""),
                    response.headers.get(_IDENTITY),
                    sending.rest_s(response),
                )
            yield response
        finally:
            response.close()


def _refusal_failure(
    name: str, sent_id: str, repeated_id: str | None, rest_s: float
) -> failures.UpstreamFailure:
    # A service need not repeat the identity.  If it repeats another one, the
    # response belongs to another call and proves nothing about this one.
    if repeated_id is not None and repeated_id != sent_id:
        return failures.UpstreamFailure(
            failures.Kind.CROSSED, name, "refusal of another request"
        )
    return failures.UpstreamFailure(
        failures.Kind.REFUSED, name, "refused", rest_s=rest_s
    )
