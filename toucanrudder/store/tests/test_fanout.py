"""Changes that few routers read and tell to all others."""

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
    """Answers with what it is given, and counts."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def snapshot(self, kind, *, timeout_s):
        return feed.Snapshot((), at(10))

    async def changes(self, kind, position, *, wait_s):
        self.asked.append((position.revision, wait_s))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Fleet:
    """One router's feed with readers that answer as they are told."""

    def __init__(self, store, is_reader=False, has_followers=True, **told):
        self.now_s = 100.0
        self.told = told
        self.asked = []
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

    def choose(self, shunned):
        names = [name for name in self.told if name not in shunned]
        return fanout.Reader(names[0], f"{names[0]}:1") if names else None

    async def ask(self, reader, kind, position, wait_s):
        self.asked.append(reader.name)
        return self.told[reader.name]

    async def changes(self, revision=10):
        return await self.feed.changes(KIND, at(revision), wait_s=5.0)


GOOD = fanout.ReaderReply(changes(12, "i1"), 0.4)
IDLE = fanout.ReaderReply(changes(10), 0.9)
BAD = {
    "no answer": None,
    "too long away from the store": fanout.ReaderReply(
        changes(12, "i1"), fanout.MAX_AGE_S + 0.1
    ),
    "does not know that far back": fanout.ReaderReply(None, 0.1),
}


async def test_a_follower_asks_a_reader_and_not_the_store():
    store = Store()
    fleet = Fleet(store, r1=GOOD)
    assert await fleet.changes() == GOOD.changes
    assert not store.asked


@pytest.mark.parametrize("told", BAD.values(), ids=BAD.keys())
async def test_a_reader_that_is_of_no_use_is_passed_over(told):
    # A reader is dead, or cut off from the store without a sign: its word
    # "nothing new" would keep requests going to upstreams that have left.
    # The follower asks the store at once, and another reader next time.
    store = Store(changes(11, "i2"))
    fleet = Fleet(store, r1=told, r2=IDLE)
    assert (await fleet.changes()).position == at(11)
    assert (await fleet.changes()).position == at(10)
    assert fleet.asked == ["r1", "r2"]
    fleet.now_s += fanout.SHUN_S
    store.answers.append(changes(11))
    await fleet.changes()
    assert fleet.asked == ["r1", "r2", "r1"]


async def test_without_readers_the_store_is_asked():
    store = Store(changes(11))
    assert (await Fleet(store).changes()).position == at(11)


async def test_a_reader_asks_the_store_and_knows_its_changes_for_others():
    store = Store(changes(12, "i1"), changes(15, "i2"))
    fleet = Fleet(store, is_reader=True, r1=GOOD)
    await fleet.changes(10)
    fleet.now_s += 1.0
    await fleet.changes(12)
    assert store.asked == [
        (10, fanout.READER_WAIT_S),
        (12, fanout.READER_WAIT_S),
    ]
    names = [
        each.object.name for each in fleet.log.changes_since(at(10)).changes
    ]
    assert names == ["i1", "i2"]
    assert fleet.log.changes_since(at(12)) == changes(15, "i2")
    assert fleet.log.changes_since(at(15)) == changes(15)
    assert fleet.log.changes_since(at(9)) is None
    assert fleet.log.age_s(fleet.now_s + 0.5) == 0.5


async def test_a_reader_without_followers_asks_as_rarely_as_ever():
    # Eight routers all read for themselves.  Watches that end each second
    # for followers that do not exist made 1,053 calls out of 700.
    store = Store(changes(12))
    await Fleet(store, is_reader=True, has_followers=False).changes()
    assert store.asked == [(10, 5.0)]


async def test_what_was_missed_between_two_readings_is_not_passed_over():
    # A router read from the store, then followed another, and reads again
    # from a later revision.  What lies between is not in its own log.
    store = Store(changes(12, "i1"), changes(30, "i9"))
    fleet = Fleet(store, is_reader=True)
    await fleet.changes(10)
    await fleet.changes(25)
    assert fleet.log.changes_since(at(12)) is None
    assert fleet.log.changes_since(at(25)) == changes(30, "i9")


async def test_a_reader_that_is_behind_takes_nothing_back():
    # A follower that has read further asks a reader that has not.
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), at(10)), 0.0)
    assert log.changes_since(at(14)) == changes(14)


@pytest.mark.parametrize(
    ("asked", "known"),
    [(at(14), at(10, era=2)), (at(8, era=2), at(12))],
    ids=["the asker has the older era", "the reader has the older era"],
)
async def test_a_reader_of_another_era_tells_no_changes(asked, known):
    # Revisions were given out again: what lies between is not the same.
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), known), 0.0)
    await asyncio.wait_for(log.wait(asked, 30.0), 10)
    assert log.changes_since(asked) is None


async def test_failures_of_the_store_are_not_hidden():
    fleet = Fleet(Store(interface.StoreUnavailable("down")), r1=None)
    with pytest.raises(interface.StoreUnavailable):
        await fleet.changes()
    fleet = Fleet(Store(feed.HistoryGone(KIND)), is_reader=True)
    with pytest.raises(feed.HistoryGone):
        await fleet.changes()


async def test_a_waiting_question_is_answered_by_the_next_change():
    log = fanout.ChangeLog()
    log.reset(feed.Snapshot((), at(10)), 0.0)
    waiting = asyncio.ensure_future(log.wait(at(10), 30.0))
    await asyncio.sleep(0)
    log.append(at(10), changes(11, "i1"), 0.0)
    await asyncio.wait_for(waiting, 10)


def test_old_changes_are_forgotten(monkeypatch):
    monkeypatch.setattr(fanout, "MAX_CHANGES", 2)
    log = fanout.ChangeLog()
    for revision in range(10, 14):
        log.append(at(revision), changes(revision + 1, f"i{revision}"), 0.0)
    assert log.changes_since(at(10)) is None
    assert len(log.changes_since(at(12)).changes) == 2


@pytest.mark.parametrize(
    ("routers", "fanned_out"), [(1, False), (8, False), (82, True)]
)
def test_only_large_fleets_fan_out(routers, fanned_out):
    assert fanout.uses_fanout(routers) is fanned_out
