"""Calls to the platform's metadata store."""

import functools

from toucanrudder.platform import records
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.store import rest
from toucanrudder.store import strange
from toucanrudder.store import typed

#: Beyond the time that a watch was asked to wait: the store's slowest
#: answers while it is well take some hundred milliseconds.
WATCH_MARGIN_S = 1.0

#: Field of each answer that rises when the store comes back older.
ERA_FIELD = b"store-era"


def _stored(kind: str, item: records.Item) -> interface.StoredObject:
    metadata = item.metadata
    return interface.StoredObject(
        kind, metadata.name, metadata.revision, item.spec
    )


def _object(kind: str, item: object) -> interface.StoredObject:
    return _stored(kind, typed.read(records.Item, item, kind))


def _change(kind: str, event: object) -> feed.Change:
    found = typed.read(records.Event, event, kind)
    return feed.Change(_stored(kind, found.object), found.deleted)


class PlatformStore(rest.RestStore, feed.KindFeed):
    """The store behind one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str):
        super().__init__(rest.RestCalls(address, ERA_FIELD))

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        answer = await self.calls.read(f"/objects/{kind}/{name}", timeout_s)
        if answer.status == 404:
            return None
        return _stored(kind, rest.parse_record(records.Item, answer))

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        body = {"metadata": {"name": name}, "spec": value}
        path = f"/objects/{kind}"
        return await self._written(b"POST", path, body, timeout_s)

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
        return await self._written(b"PUT", path, body, timeout_s)

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        path = f"/objects/{kind}/{name}?revision={version}"
        await self.calls.write(b"DELETE", path, None, timeout_s)

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        found: list[interface.StoredObject] = []
        path, position = f"/objects/{kind}", None
        stored = functools.partial(_object, kind)
        while True:
            answer = await self.calls.read(path, timeout_s)
            page = rest.parse_record(records.Page, answer)
            found += strange.decode_valid(stored, page.items)
            # Changes after the first page are watched for from there on.
            position = position or feed.Position(answer.era, page.current_rev)
            if answer.era != position.era:
                raise interface.StoreUnavailable("restored between two pages")
            if not page.more or not page.items:
                return feed.Snapshot(tuple(found), position)
            if not found:
                raise interface.StoreUnavailable("no name to go on from")
            path = f"/objects/{kind}?after={found[-1].name}"

    async def changes(
        self, kind: str, position: feed.Position, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the position; none if `wait_s` passed."""
        wait_ms = round(wait_s * 1000)
        path = f"/objects/{kind}?watch={position.revision}&wait_ms={wait_ms}"
        answer = await self.calls.read(path, wait_s + WATCH_MARGIN_S)
        if answer.status == 410 or answer.era != position.era:
            raise feed.HistoryGone(kind)
        news = rest.parse_record(records.News, answer)
        changed = functools.partial(_change, kind)
        changes = strange.decode_valid(changed, news.events)
        here = feed.Position(answer.era, news.current_rev)
        return feed.Changes(tuple(changes), here)

    async def _written(
        self, method: bytes, path: str, body: dict, timeout_s: float
    ) -> int:
        answer = await self.calls.write(method, path, body, timeout_s)
        try:
            item = typed.read(records.Item, answer.body, path)
        except interface.MalformedObject as error:
            raise interface.OutcomeUnknown(str(error)) from error
        return item.metadata.revision
