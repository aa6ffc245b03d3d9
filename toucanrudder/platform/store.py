"""Client of the platform's metadata store."""

import functools
import urllib.parse

from toucanrudder.platform import records
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.store import rest
from toucanrudder.store import strange
from toucanrudder.store import typed

#: Added to the wait time of a watch to get its timeout: the slowest
#: answers of a healthy store take some hundred milliseconds.
WATCH_MARGIN_S = 1.0

#: Answer header whose value rises when the store is restored from a backup.
ERA_HEADER = b"store-era"


def _stored_object(kind: str, item: records.Item) -> interface.StoredObject:
    metadata = item.metadata
    return interface.StoredObject(
        kind, metadata.name, metadata.revision, item.spec
    )


def _read_item(kind: str, item: object) -> interface.StoredObject:
    return _stored_object(kind, typed.read(records.Item, item, kind))


def _read_change(kind: str, event: object) -> feed.Change:
    record = typed.read(records.Event, event, kind)
    return feed.Change(_stored_object(kind, record.object), record.deleted)


class PlatformStore(rest.RestStore, feed.KindFeed):
    """Metadata store at one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str):
        super().__init__(rest.RestCalls(address, ERA_HEADER))

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None if it does not exist."""
        answer = await self.calls.read(f"/objects/{kind}/{name}", timeout_s)
        if answer.status == 404:
            return None
        return _stored_object(kind, rest.parse_record(records.Item, answer))

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if it does not exist; return its version."""
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
        """Replace the object if it has `version`; return its new version."""
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
        await self.calls.write(b"DELETE", path, None, timeout_s)

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        objects: list[interface.StoredObject] = []
        path, position = f"/objects/{kind}", None
        read_item = functools.partial(_read_item, kind)
        while True:
            answer = await self.calls.read(path, timeout_s)
            page = rest.parse_record(records.Page, answer)
            objects += strange.decode_valid(read_item, page.items)
            # First page's position: the watch also covers changes made since.
            position = position or feed.Position(answer.era, page.current_rev)
            if answer.era != position.era:
                raise interface.StoreUnavailable("restored between list pages")
            if not page.more or not page.items:
                return feed.Snapshot(tuple(objects), position)
            if not objects:
                raise interface.StoreUnavailable("page without valid objects")
            after = urllib.parse.quote(objects[-1].name, safe="")
            path = f"/objects/{kind}?after={after}"

    async def changes(
        self, kind: str, position: feed.Position, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the position; none after `wait_s` seconds."""
        wait_ms = round(wait_s * 1000)
        path = f"/objects/{kind}?watch={position.revision}&wait_ms={wait_ms}"
        answer = await self.calls.read(path, wait_s + WATCH_MARGIN_S)
        if answer.status == 410 or answer.era != position.era:
            raise feed.HistoryGone(kind)
        news = rest.parse_record(records.News, answer)
        read_change = functools.partial(_read_change, kind)
        changes = strange.decode_valid(read_change, news.events)
        end = feed.Position(answer.era, news.current_rev)
        return feed.Changes(tuple(changes), end)

    async def _write(
        self, method: bytes, path: str, body: dict, timeout_s: float
    ) -> int:
        answer = await self.calls.write(method, path, body, timeout_s)
        try:
            item = typed.read(records.Item, answer.body, path)
        except interface.MalformedObject as error:
            raise interface.OutcomeUnknown(str(error)) from error
        return item.metadata.revision
