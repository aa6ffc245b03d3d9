"""Fan-out of changes from a few readers to all other routers."""

import asyncio

import pytest

from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface

KIND = "upstreams"


def at(revision, era=1):
    return feed.Position(era, revision)


def change(name, version, is_deleted=False):
    stored = interface.StoredObject(KIND, name, version, {"at": version})
    return feed.Change(stored, is_deleted)


def changes(revision, *names, era=1):
    return feed.Changes(
        tuple(change(name, revision) for name in names), at(revision, era)
    )


class Store(feed.KindFeed):
    """Returns the given responses, and records the calls."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    async def snapshot(self, kind, *, timeout_s):
        return feed.Snapshot((), at(10))

    async def changes(self, kind, position, *, wait_s):
        self.calls.append((position.revision, wait_s))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class Router:
    """One router's feed, with readers that give fixed replies."""

    def __init__(self, store, is_reader=False, has_followers=True, **replies):
        self.now_s = 100.0
        self.replies = replies
        self.asked_readers = []
        self.log = fanout.ChangeLog()
        self.feed = fanout.FanoutFeed(
            store,
            self.log,
            is_reader=lambda: is_reader,
            has_followers=lambda: has_followers,
            choose_reader=self.choose,
            ask_reader=self.ask,
            clock=lambda: self.now_s,
        )

    def choose(self, excluded):
        names = [name for name in self.replies if name not in excluded]
        return fanout.Reader(names[0], f"{names[0]}:1") if names else None

    async def ask(self, reader, kind, position, wait_s):
        self.asked_readers.append(reader.name)
        return self.replies[reader.name]

    async def changes(self, revision=10):
        return await self.feed.changes(KIND, at(revision), wait_s=5.0)


USABLE = fanout.ReaderReply(changes(12, "i1"), 0.4)
IDLE = fanout.ReaderReply(changes(10), 0.9)
UNUSABLE = {
    "no reply": None,
    "stale": fanout.ReaderReply(changes(12, "i1"), fanout.MAX_AGE_S + 0.1),
    "log too short": fanout.ReaderReply(None, 0.1),
}


async def test_a_follower_asks_a_reader_and_not_the_store():
    store = Store()
    router = Router(store, r1=USABLE)
    assert await router.changes() == USABLE.changes
    assert not store.calls


@pytest.mark.parametrize("reply", UNUSABLE.values(), ids=UNUSABLE.keys())
async def test_a_reader_without_usable_reply_is_skipped(reply):
    # A reader is dead, or cut off from the store without noticing.  Its reply
    # "no changes" would keep requests going to upstreams that have left.
    # The follower asks the store at once, and another reader the next time.
    store = Store(changes(11, "i2"))
    router = Router(store, r1=reply, r2=IDLE)
    assert (await router.changes()).position == at(11)
    assert (await router.changes()).position == at(10)
    assert router.asked_readers == ["r1", "r2"]
    router.now_s += fanout.READER_BACKOFF_S
    store.responses.append(changes(11))
    await router.changes()
    assert router.asked_readers == ["r1", "r2", "r1"]


async def test_without_readers_the_store_is_asked():
    store = Store(changes(11))
    assert (await Router(store).changes()).position == at(11)


async def test_a_reader_logs_changes_for_its_followers():
    store = Store(changes(12, "i1"), changes(15, "i2"))
    router = Router(store, is_reader=True, r1=USABLE)
    await router.changes(10)
    router.now_s += 1.0
    await router.changes(12)
    assert store.calls == [
        (10, fanout.READER_WAIT_S),
        (12, fanout.READER_WAIT_S),
    ]
    names = [
        each.object.name for each in router.log.changes_since(at(10)).changes
    ]
    assert names == ["i1", "i2"]
    assert router.log.changes_since(at(12)) == changes(15, "i2")
    assert router.log.changes_since(at(15)) == changes(15)
    assert router.log.changes_since(at(9)) is None
    assert router.log.age_s(router.now_s + 0.5) == 0.5


async def test_a_reader_without_followers_keeps_its_long_watch():
    # Eight routers all read for themselves.  With watches that end each
    # second for followers that do not exist, 700 calls became 1,053.
    store = Store(changes(12))
    await Router(store, is_reader=True, has_followers=False).changes()
    assert store.calls == [(10, 5.0)]


async def test_a_gap_between_two_reads_is_not_skipped():
    # A router read from the store, then followed another, and reads again
    # from a later revision.  The changes between are not in its own log.
    store = Store(changes(12, "i1"), changes(30, "i9"))
    router = Router(store, is_reader=True)
    await router.changes(10)
    await router.changes(25)
    assert router.log.changes_since(at(12)) is None
    assert router.log.changes_since(at(25)) == changes(30, "i9")


async def test_a_reader_behind_its_follower_returns_no_changes():
    # A follower asks a reader that has read less than itself.
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), at(10)), 0.0)
    assert log.changes_since(at(14)) == changes(14)


@pytest.mark.parametrize(
    ("requested", "known"),
    [(at(14), at(10, era=2)), (at(8, era=2), at(12))],
    ids=["follower in the older era", "reader in the older era"],
)
async def test_a_reader_in_another_era_returns_no_changes(requested, known):
    # Revisions were issued again, so the changes between two differ.
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), known), 0.0)
    await asyncio.wait_for(log.wait(requested, 30.0), 10)
    assert log.changes_since(requested) is None


async def test_store_failures_are_raised():
    router = Router(Store(interface.StoreUnavailable("down")), r1=None)
    with pytest.raises(interface.StoreUnavailable):
        await router.changes()
    router = Router(Store(feed.HistoryGone(KIND)), is_reader=True)
    with pytest.raises(feed.HistoryGone):
        await router.changes()


async def test_a_waiting_request_ends_at_the_next_change():
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), at(10)), 0.0)
    waiting = asyncio.ensure_future(log.wait(at(10), 30.0))
    await asyncio.sleep(0)
    log.append(at(10), changes(11, "i1"), 0.0)
    await asyncio.wait_for(waiting, 10)


def test_old_changes_are_evicted(monkeypatch):
    monkeypatch.setattr(fanout, "MAX_CHANGES", 2)
    log = fanout.ChangeLog()
    for revision in range(10, 14):
        log.append(at(revision), changes(revision + 1, f"i{revision}"), 0.0)
    assert log.changes_since(at(10)) is None
    assert len(log.changes_since(at(12)).changes) == 2


@pytest.mark.parametrize(
    ("routers", "expected"), [(1, False), (8, False), (82, True)]
)
def test_only_large_fleets_fan_out(routers, expected):
    assert fanout.uses_fanout(routers) is expected
