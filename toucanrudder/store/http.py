"""The platform's object API over HTTP; see docs/protocols.md."""

import collections
import http
import urllib.parse

import aiohttp

from toucanrudder.http1 import answer_room
from toucanrudder.observability import metrics
from toucanrudder.store import interface
from toucanrudder.upstreams import call_answers

WATCH_MARGIN_S = 2.0

#: Largest answer, and what all of them may occupy while they are read.
MAX_ANSWER_BYTES = 8_388_608
MAX_ANSWERS_BYTES = 16_777_216

_REJECTED = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_CONDITION_FAILED = (
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.CONFLICT,
    http.HTTPStatus.PRECONDITION_FAILED,
)
_NEVER_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


async def _send_once(request, handler):
    # aiohttp retries a PUT or DELETE by itself when a kept-alive connection
    # breaks.  If the first request took effect, the failed condition of the
    # retry would read as "no effect".  An exception that aiohttp does not
    # know ends the call after the first request.
    try:
        return await handler(request)
    except _NEVER_SENT as error:
        raise interface.StoreUnavailable(str(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise interface.OutcomeUnknown(
            f"{type(error).__name__}: {error}"
        ) from error


class HttpObjectStore(interface.ObjectStore):
    """Store of objects behind the object API of the platform.

    Parameters
    ----------
    address : str
        ``IP:port`` of the object API.
    session : aiohttp.ClientSession
        Session for reads; the caller closes it.
    fresh_session : aiohttp.ClientSession
        Session for writes, whose connector uses each connection once; the
        caller closes it.

    Attributes
    ----------
    counts : collections.Counter
        Number of calls, by ``(kind of object, operation)``.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ):
        self.counts: collections.Counter = collections.Counter()
        self._base = f"http://{address}/objects"
        self._session = session
        self._fresh_session = fresh_session
        self._answers = answer_room.AnswerRoom(
            MAX_ANSWER_BYTES, MAX_ANSWERS_BYTES
        )

    def _url(self, kind: str, name: str = "") -> str:
        url = f"{self._base}/{urllib.parse.quote(kind, safe='')}"
        if name:
            url += f"/{urllib.parse.quote(name, safe='')}"
        return url

    def _count(self, kind: str, operation: str) -> None:
        self.counts[kind, operation] += 1
        metrics.counter("toucanrudder_store_calls", "Store calls").add(
            1, {"kind": kind, "operation": operation}
        )

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        timeout_s: float,
        **options,
    ) -> tuple[int, dict]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=timeout_s
        )
        try:
            async with session.request(
                method,
                url,
                timeout=timeout,
                middlewares=(_send_once,),
                **options,
            ) as response:
                return response.status, await self._body(response)
        except _NEVER_SENT as error:
            raise interface.StoreUnavailable(str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # Includes TimeoutError, which is an OSError.
            raise interface.OutcomeUnknown(
                f"{type(error).__name__}: {error}"
            ) from error

    async def _body(self, response: aiohttp.ClientResponse) -> dict:
        if response.status == http.HTTPStatus.NOT_MODIFIED or (
            400 <= response.status < 600
        ):
            return {}
        body = await call_answers.read_json(response, self._answers)
        if not isinstance(body, dict):
            raise ValueError("response is not a JSON object")
        return body

    async def _read(
        self, url: str, timeout_s: float, **options
    ) -> tuple[int, dict]:
        try:
            status, body = await self._call(
                self._session, "GET", url, timeout_s, **options
            )
        except interface.OutcomeUnknown as error:
            raise interface.StoreUnavailable(str(error)) from error
        if status >= http.HTTPStatus.BAD_REQUEST and (
            status != http.HTTPStatus.NOT_FOUND
        ):
            raise interface.StoreUnavailable(f"HTTP status {status}")
        return status, body

    async def _write(
        self, method: str, url: str, timeout_s: float, **options
    ) -> dict:
        # A response does not name its request.  On a kept-alive connection a
        # duplicate of an earlier response could confirm a write that never
        # took effect.
        status, body = await self._call(
            self._fresh_session, method, url, timeout_s, **options
        )
        if status < http.HTTPStatus.BAD_REQUEST:
            return body
        if status in _CONDITION_FAILED:
            raise interface.ConditionFailed(f"HTTP status {status}")
        if (
            status in _REJECTED
            or status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            raise interface.StoreUnavailable(f"HTTP status {status}")
        raise interface.OutcomeUnknown(f"HTTP status {status}")

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        self._count(kind, "get")
        status, body = await self._read(self._url(kind, name), timeout_s)
        if status == http.HTTPStatus.NOT_FOUND:
            return None
        return _object(kind, body)

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        self._count(kind, "create")
        body = await self._write(
            "PUT",
            self._url(kind, name),
            timeout_s,
            json=value,
            headers={"If-None-Match": "*"},
        )
        return _version(body)

    async def update(
        self,
        kind: str,
        name: str,
        value: dict,
        version: int,
        *,
        timeout_s: float,
    ) -> int:
        """Replace the object if it has `version`; return the new one."""
        self._count(kind, "update")
        body = await self._write(
            "PUT",
            self._url(kind, name),
            timeout_s,
            json=value,
            headers={"If-Match": str(version)},
        )
        return _version(body)

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        self._count(kind, "delete")
        await self._write(
            "DELETE",
            self._url(kind, name),
            timeout_s,
            headers={"If-Match": str(version)},
        )

    async def list(
        self,
        kind: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = 100,
        timeout_s: float,
    ) -> list[interface.StoredObject]:
        """Return up to `limit` objects by name, after the name `after`."""
        self._count(kind, "list")
        _, body = await self._read(
            self._url(kind),
            timeout_s,
            params={"prefix": prefix, "after": after, "limit": str(limit)},
        )
        items = body.get("items")
        if not isinstance(items, list):
            raise interface.StoreUnavailable("response has no items")
        return [_object(kind, item) for item in items]

    async def watch(
        self,
        kind: str,
        name: str,
        version: int,
        *,
        wait_s: float,
    ) -> interface.StoredObject | None:
        """Wait until the version differs; None after `wait_s` seconds.

        A deleted object is not distinguished from an unchanged one.
        """
        self._count(kind, "watch")
        # If a device between both ends has dropped the connection, no
        # response ever comes, which looks like "no change".  The store
        # responds after wait_s at the latest, so no response within wait_s
        # and a margin means a broken connection.
        status, body = await self._read(
            self._url(kind, name),
            wait_s + WATCH_MARGIN_S,
            params={"after_version": str(version), "wait_s": str(wait_s)},
        )
        if status in (http.HTTPStatus.NOT_MODIFIED, http.HTTPStatus.NOT_FOUND):
            return None
        return _object(kind, body)


def _version(body: dict) -> int:
    version = body.get("version")
    if not isinstance(version, int):
        raise interface.OutcomeUnknown("response has no version")
    return version


def _object(kind: str, body: dict) -> interface.StoredObject:
    try:
        return interface.StoredObject(
            kind, str(body["name"]), int(body["version"]), dict(body["value"])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise interface.StoreUnavailable(
            f"malformed response: {error!r}"
        ) from error
