"""Calls to the platform's metadata store."""

import asyncio

import attrs
import orjson

from toucanrudder import clock
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.store import feed
from toucanrudder.store import interface

#: Beyond the time that a watch was asked to wait: the store's slowest
#: answers while it is well take some hundred milliseconds.
WATCH_MARGIN_S = 1.0

#: A new connection crosses one zone border at most.
CONNECT_S = 1.0

#: Answers by which a call had no effect.
_REFUSED = (429, 503)

#: Largest answer: a page of a list is a megabyte at most.
MAX_ANSWER_BYTES = 8_388_608


@attrs.frozen
class _Answer:
    status: int
    body: dict


def _stored(kind: str, item: dict) -> interface.StoredObject:
    metadata = item["metadata"]
    return interface.StoredObject(
        kind, metadata["name"], metadata["revision"], item.get("spec") or {}
    )


class PlatformStore(interface.ConditionalStore, feed.KindFeed):
    """The store behind one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str):
        self._address = address
        self._pool = pool.ConnectionPool()
        self.calls = 0

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        answer = await self._read(f"/objects/{kind}/{name}", timeout_s)
        if answer.status == 404:
            return None
        return _stored(kind, answer.body)

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        body = {"metadata": {"name": name}, "spec": value}
        path = f"/objects/{kind}"
        return await self._write(b"POST", path, body, timeout_s)

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
        body = {
            "metadata": {"name": name, "revision": version},
            "spec": value,
        }
        path = f"/objects/{kind}/{name}"
        return await self._write(b"PUT", path, body, timeout_s)

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        path = f"/objects/{kind}/{name}?revision={version}"
        await self._write(b"DELETE", path, None, timeout_s)

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        found: list[interface.StoredObject] = []
        path, revision = f"/objects/{kind}", None
        while True:
            answer = await self._read(path, timeout_s)
            items = [_stored(kind, each) for each in answer.body["items"]]
            found += items
            # Changes after the first page are watched for from there on.
            if revision is None:
                revision = answer.body["current_rev"]
            if not answer.body.get("more") or not items:
                return feed.Snapshot(tuple(found), revision)
            path = f"/objects/{kind}?after={items[-1].name}"

    async def changes(
        self, kind: str, revision: int, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the revision; none if `wait_s` passed."""
        wait_ms = round(wait_s * 1000)
        path = f"/objects/{kind}?watch={revision}&wait_ms={wait_ms}"
        answer = await self._read(path, wait_s + WATCH_MARGIN_S)
        if answer.status == 410:
            raise feed.HistoryGone(kind)
        changes = tuple(
            feed.Change(_stored(kind, each["object"]), bool(each["deleted"]))
            for each in answer.body["events"]
        )
        return feed.Changes(changes, answer.body["current_rev"])

    async def _read(self, path: str, timeout_s: float) -> _Answer:
        try:
            answer = await self._exchange(b"GET", path, b"", timeout_s)
        except (client.ExchangeError, TimeoutError, ValueError) as error:
            raise interface.StoreUnavailable(str(error)) from error
        if answer.status not in (200, 404, 410):
            raise interface.StoreUnavailable(f"status {answer.status}")
        return answer

    async def _write(
        self, method: bytes, path: str, body: dict | None, timeout_s: float
    ) -> int:
        content = orjson.dumps(body) if body is not None else b""
        try:
            answer = await self._exchange(method, path, content, timeout_s)
        except client.ExchangeError as error:
            if not error.sent:
                raise interface.StoreUnavailable(str(error)) from error
            raise interface.OutcomeUnknown(str(error)) from error
        except (TimeoutError, ValueError) as error:
            raise interface.OutcomeUnknown(str(error)) from error
        if answer.status in _REFUSED:
            raise interface.StoreUnavailable(f"status {answer.status}")
        if answer.status in (404, 409):
            raise interface.ConditionFailed(path)
        if answer.status >= 300:
            raise interface.OutcomeUnknown(f"status {answer.status}")
        return answer.body.get("metadata", {}).get("revision", 0)

    async def _exchange(
        self, method: bytes, path: str, body: bytes, timeout_s: float
    ) -> _Answer:
        async with (
            asyncio.timeout(timeout_s),
            self._pool.connection(
                self._address,
                connect_timeout_s=min(CONNECT_S, timeout_s),
                clock=clock.now_s,
            ) as connection,
        ):
            self.calls += 1
            connection.send(self._head(method, path, body), body)
            head = await connection.next_event()
            connection.keep_for_s = pool.keep_for_s(head.headers)
            content = bytearray()
            while not isinstance(
                event := await connection.next_event(), client.End
            ):
                content += event.content
                if len(content) > MAX_ANSWER_BYTES:
                    raise ValueError("answer too large")
        parsed = orjson.loads(content) if content else {}
        return _Answer(head.status, parsed if isinstance(parsed, dict) else {})

    def _head(
        self, method: bytes, path: str, body: bytes
    ) -> message.RequestHead:
        headers = [(b"Host", self._address.encode())]
        if method != b"GET":
            headers += [
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
        return message.RequestHead(method, path.encode(), tuple(headers))
