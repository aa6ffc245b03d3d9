"""Followers, readers and the store over days with many faults."""

import asyncio
import collections
import random

import pytest

from toucanrudder import clock
from toucanrudder.controllers import feeds
from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.testing.virtual import timing

KIND = "upstreams"
ROUTERS = 20
NAMES = [f"i{number}" for number in range(400)]
DAY_S = 60.0

#: Time after the last fault within which each router knows all.
SETTLE_S = 6.0


class Store(feed.KindFeed):
    """Objects with a history that is forgotten now and then."""

    def __init__(self):
        self.objects = {}
        self.era = 1
        self.revision = self.oldest = 10
        self.history = []
        self.objects_at_oldest = {}
        self.news = asyncio.Event()

    def write(self, name, is_deleted):
        if is_deleted and name not in self.objects:
            return
        self.revision += 1
        found = interface.StoredObject(KIND, name, self.revision, {})
        self.objects[name] = found
        if is_deleted:
            del self.objects[name]
        self.history.append(feed.Change(found, is_deleted))
        self.news.set()
        self.news = asyncio.Event()

    def forget(self):
        self.history.clear()
        self.oldest = self.revision
        self.objects_at_oldest = dict(self.objects)

    @property
    def position(self):
        return feed.Position(self.era, self.revision)

    def go_back(self, changes):
        """Lose the newest changes, and give their revisions out again."""
        kept = self.history[: max(0, len(self.history) - changes)]
        self.era += 1
        self.revision = self.oldest
        self.objects = dict(self.objects_at_oldest)
        self.history = []
        for each in kept:
            self.write(each.object.name, each.is_deleted)
        self.news.set()
        self.news = asyncio.Event()

    def content(self):
        return {name: each.version for name, each in self.objects.items()}

    async def snapshot(self, kind, *, timeout_s):
        return feed.Snapshot(tuple(self.objects.values()), self.position)

    async def changes(self, kind, position, *, wait_s):
        revision = position.revision
        if revision >= self.revision:
            waiting = asyncio.ensure_future(self.news.wait())
            await asyncio.wait([waiting], timeout=wait_s)
            waiting.cancel()
        if revision < self.oldest or position.era != self.era:
            raise feed.HistoryGone(kind)
        found = tuple(c for c in self.history if c.object.version > revision)
        return feed.Changes(found, self.position)


class Link(feed.KindFeed):
    """One router's link to the store."""

    def __init__(self, store, is_cut):
        self.store, self.is_cut = store, is_cut

    async def reached(self, timeout_s):
        if self.is_cut():
            await asyncio.sleep(timeout_s)
            raise interface.StoreUnavailable("cut")
        await asyncio.sleep(0.004)

    async def snapshot(self, kind, *, timeout_s):
        await self.reached(timeout_s)
        return await self.store.snapshot(kind, timeout_s=timeout_s)

    async def changes(self, kind, position, *, wait_s):
        await self.reached(wait_s + 1.0)
        found = await self.store.changes(kind, position, wait_s=wait_s)
        await self.reached(1.0)
        return found


class Router:
    """What one router believes, and how it hears of changes."""

    def __init__(self, day, name):
        self.day, self.name = day, name
        self.content = {}
        self.log = fanout.ChangeLog()
        self.feed = fanout.FanoutFeed(
            Link(day.store, lambda: name in day.cut),
            self.log,
            is_reader=lambda: name in day.readers(name),
            has_followers=lambda: True,
            choose_reader=self.choose,
            ask_reader=self.ask,
            clock=clock.now_s,
        )
        self.controller = feeds.FeedController(
            self.feed,
            KIND,
            feeds.Follower(self.replaced, self.changed),
            timeout_s=1.0,
            wait_s=lambda: 2.0,
            rng=day.rng,
            followers=lambda: 40,
        )

    def start(self):
        self.task = asyncio.ensure_future(self.controller.run())

    def replaced(self, objects, now_s):
        self.content = {each.name: each.version for each in objects}

    def changed(self, change, now_s):
        self.content.pop(change.object.name, None)
        if not change.is_deleted:
            self.content[change.object.name] = change.object.version

    def choose(self, shunned):
        for name in self.day.readers(self.name):
            if name != self.name and name not in shunned:
                return fanout.Reader(name, name)
        return None

    async def ask(self, reader, kind, position, wait_s):
        log = self.day.routers[reader.name].log
        is_lost = self.day.rng.random() < self.day.loss
        is_apart = (self.name in self.day.cut) != (reader.name in self.day.cut)
        if is_lost or is_apart or reader.name not in self.day.live:
            await asyncio.sleep(fanout.ASK_DEADLINE_S)
            return None
        await log.wait(position, wait_s)
        return fanout.ReaderReply(
            log.changes_since(position), log.age_s(clock.now_s())
        )


class Day:
    """Routers that come and go, and what happens to all of them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = Store()
        self.loss = 0.1
        self.cut = set()
        names = [f"r{number}" for number in range(ROUTERS)]
        self.live = set(names)
        self.views = collections.defaultdict(lambda: set(names))
        self.routers = {name: Router(self, name) for name in names}

    def readers(self, name):
        return fanout.select_readers({name, *self.views[name]})

    def dies_or_returns(self):
        for name in self.rng.sample(sorted(self.routers), ROUTERS // 5):
            if name in self.live:
                self.live.discard(name)
                self.routers[name].task.cancel()
                continue
            self.live.add(name)
            self.routers[name] = Router(self, name)
            self.routers[name].start()

    def is_cut_off(self):
        self.cut = set(self.rng.sample(sorted(self.routers), 5))

    def is_healed(self):
        self.cut = set()

    def is_seen(self):
        for name in self.rng.sample(sorted(self.routers), ROUTERS // 2):
            self.views[name] = set(self.live)

    def is_restored(self):
        self.store.go_back(self.rng.randint(1, 6))

    def writes(self):
        for _ in range(self.rng.randint(1, 4)):
            name = self.rng.choice(NAMES)
            self.store.write(name, self.rng.random() < 0.3)

    async def run(self, others=()):
        # On some days the history is kept long enough for all to be told.
        events = [self.writes] * self.rng.choice([8, 80]) + [
            self.dies_or_returns,
            self.is_cut_off,
            self.is_healed,
            self.is_seen,
            self.is_seen,
            self.store.forget,
            *others,
        ]
        for each in self.routers.values():
            each.start()
        end_s = clock.now_s() + DAY_S
        while clock.now_s() < end_s:
            self.rng.choice(events)()
            await asyncio.sleep(self.rng.expovariate(8.0))
        self.loss, self.cut = 0.0, set()
        for name in self.routers:
            self.views[name] = set(self.live)
        self.writes()
        await asyncio.sleep(SETTLE_S)
        return {each: self.routers[each].content for each in self.live}


@pytest.mark.parametrize("seed", range(30))
def test_at_the_end_each_router_holds_what_the_store_holds(seed):
    """Whatever happened on the way, no change stays untold.

    Routers die together and return empty, see each other's end late and
    so disagree on who reads; questions are lost, some routers are cut off
    from the store and the others, and the store forgets its history.  In
    the end each router comes to the store's content within some seconds.
    """

    async def lived():
        day = Day(seed)
        return await day.run(), day.store.content()

    held, stored = timing.run(lived)
    assert held == dict.fromkeys(held, stored)


@pytest.mark.parametrize("seed", range(30))
def test_what_a_restored_store_has_lost_is_held_by_no_router(seed):
    """The store comes back older, and gives its revisions out again."""

    async def lived():
        day = Day(seed)
        return await day.run([day.is_restored] * 3), day.store.content()

    held, stored = timing.run(lived)
    assert held == dict.fromkeys(held, stored)
