"""Client of plain services: forwards one HTTP call."""

from collections.abc import AsyncIterator
import contextlib

import attrs
import h11
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import yarl

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.document import model
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import sending

STEP = "service"

#: Methods whose requests state the length of an empty body.
_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

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


@attrs.define(eq=False)
class ServiceAnswer:
    """A service's open answer.

    Parameters
    ----------
    upstream : str
        Name of the service's instance.
    status : int
        HTTP status.
    headers : CIMultiDict
        Header fields as received; names are case-insensitive.
    """

    upstream: str
    status: int
    headers: CIMultiDict
    _connection: client.UpstreamConnection = attrs.field(repr=False)
    _deadline_s: float

    @property
    def content_length(self) -> int | None:
        """Stated length of the body; None if it has none."""
        length = self.headers.get("Content-Length")
        return None if length is None else int(length)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece, as it arrives.

        It ends without an error only if the answer is complete by its own
        framing.

        Raises
        ------
        UpstreamFailure
            ``silent``: it was cut off, or is not complete in time.
        """
        while True:
            event = await _next_event(
                self._connection, self.upstream, self._deadline_s
            )
            if isinstance(event, client.End):
                return
            yield event.content

    async def read(self) -> bytes:
        """Return the rest of the body; raise as `pieces`."""
        return b"".join([piece async for piece in self.pieces()])


class ServiceClient:
    """Calls services, each on a connection of its own.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout of opening a connection.
    """

    def __init__(self, connect_timeout_s: float):
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
    ) -> AsyncIterator[ServiceAnswer]:
        """Send the call and yield the open answer.

        Raises
        ------
        UpstreamFailure
            ``not_reached`` and ``refused`` prove that the call did not run;
            after ``silent`` and ``crossed`` it may have run.
        RudderError
            ``invalid_request``: the call cannot be forwarded.
        """
        name = upstream.name
        deadline_s = clock.now_s() + timeout_s
        try:
            connection = await client.connect(
                upstream.address, min(self._connect_timeout_s, timeout_s)
            )
        except client.ExchangeError as error:
            raise sending.failure_of(error, name) from error
        try:
            head = _request_head(upstream.address, method, path, headers, body)
            _send(connection, name, head, body)
            answer = await _next_event(connection, name, deadline_s)
            received = _received_headers(answer.headers)
            if answer.status == 503 and received.get("X-Not-Run") == "1":
                raise _refusal_failure(
                    name,
                    headers.get(_IDENTITY, ""),
                    received.get(_IDENTITY),
                    sending.rest_s(received),
                )
            yield ServiceAnswer(
                name, answer.status, received, connection, deadline_s
            )
        finally:
            connection.abort()


def _request_head(
    address: str, method: str, path: str, headers: CIMultiDict, body: bytes
) -> message.RequestHead:
    url = yarl.URL(f"http://{address}{path}")
    fields = [("Host", address), *headers.items(), ("Connection", "close")]
    if body or method in _WITH_BODY:
        fields.append(("Content-Length", str(len(body))))
    return message.RequestHead(
        method.encode(),
        url.raw_path_qs.encode(),
        tuple(
            (field.encode(), value.encode("utf-8", "surrogateescape"))
            for field, value in fields
        ),
    )


def _received_headers(headers: message.Headers) -> CIMultiDict:
    return CIMultiDict(
        (field.decode(), value.decode("utf-8", "surrogateescape"))
        for field, value in headers
    )


def _send(
    connection: client.UpstreamConnection,
    name: str,
    head: message.RequestHead,
    body: bytes,
) -> None:
    try:
        connection.send(head, body)
    except client.ExchangeError as error:
        raise sending.failure_of(error, name) from error
    except h11.LocalProtocolError as error:
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST, str(error), step=STEP
        ) from error


async def _next_event(
    connection: client.UpstreamConnection, name: str, deadline_s: float
) -> message.AnswerHead | client.Data | client.End:
    try:
        async with stalls.timeout(deadline_s - clock.now_s()):
            return await connection.next_event()
    except client.ExchangeError as error:
        raise sending.failure_of(error, name) from error
    except TimeoutError as error:
        raise failures.UpstreamFailure(
            failures.Kind.SILENT, name, failures.NO_PROGRESS_IN_TIME
        ) from error


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
