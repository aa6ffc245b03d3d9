"""Fan-out under random faults of routers, links and the store."""

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
RUN_S = 60.0

#: Seconds after the last fault within which each router is up to date.
SETTLE_S = 6.0


class Store(feed.KindFeed):
    """Objects with a history that is truncated now and then."""

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
        stored = interface.StoredObject(KIND, name, self.revision, {})
        self.objects[name] = stored
        if is_deleted:
            del self.objects[name]
        self.history.append(feed.Change(stored, is_deleted))
        self.news.set()
        self.news = asyncio.Event()

    def truncate_history(self):
        self.history.clear()
        self.oldest = self.revision
        self.objects_at_oldest = dict(self.objects)

    @property
    def position(self):
        return feed.Position(self.era, self.revision)

    def restore(self, lost_changes):
        """Lose the newest changes, and issue their revisions again."""
        kept = self.history[: max(0, len(self.history) - lost_changes)]
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
        newer = tuple(c for c in self.history if c.object.version > revision)
        return feed.Changes(newer, self.position)


class Link(feed.KindFeed):
    """One router's link to the store."""

    def __init__(self, store, is_cut):
        self.store, self.is_cut = store, is_cut

    async def cross(self, timeout_s):
        if self.is_cut():
            await asyncio.sleep(timeout_s)
            raise interface.StoreUnavailable("cut")
        await asyncio.sleep(0.004)

    async def snapshot(self, kind, *, timeout_s):
        await self.cross(timeout_s)
        return await self.store.snapshot(kind, timeout_s=timeout_s)

    async def changes(self, kind, position, *, wait_s):
        await self.cross(wait_s + 1.0)
        read = await self.store.changes(kind, position, wait_s=wait_s)
        await self.cross(1.0)
        return read


class Router:
    """One router's copy of the objects, and its feed."""

    def __init__(self, scenario, name):
        self.scenario, self.name = scenario, name
        self.content = {}
        self.log = fanout.ChangeLog()
        self.feed = fanout.FanoutFeed(
            Link(scenario.store, lambda: name in scenario.cut),
            self.log,
            is_reader=lambda: name in scenario.readers(name),
            has_followers=lambda: True,
            choose_reader=self.choose,
            ask_reader=self.ask,
            clock=clock.now_s,
        )
        self.controller = feeds.FeedController(
            self.feed,
            KIND,
            feeds.FeedCallbacks(self.replaced, self.changed),
            timeout_s=1.0,
            wait_s=lambda: 2.0,
            rng=scenario.rng,
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

    def choose(self, excluded):
        for name in self.scenario.readers(self.name):
            if name != self.name and name not in excluded:
                return fanout.Reader(name, name)
        return None

    async def ask(self, reader, kind, position, wait_s):
        log = self.scenario.routers[reader.name].log
        is_lost = self.scenario.rng.random() < self.scenario.loss
        is_unreachable = (self.name in self.scenario.cut) != (
            reader.name in self.scenario.cut
        )
        if is_lost or is_unreachable or reader.name not in self.scenario.live:
            await asyncio.sleep(fanout.ASK_DEADLINE_S)
            return None
        await log.wait(position, wait_s)
        return fanout.ReaderReply(
            log.changes_since(position), log.age_s(clock.now_s())
        )


class Scenario:
    """Routers that start and stop, and faults of all of them."""

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

    def stop_or_start_routers(self):
        for name in self.rng.sample(sorted(self.routers), ROUTERS // 5):
            if name in self.live:
                self.live.discard(name)
                self.routers[name].task.cancel()
                continue
            self.live.add(name)
            self.routers[name] = Router(self, name)
            self.routers[name].start()

    def cut_off_routers(self):
        self.cut = set(self.rng.sample(sorted(self.routers), 5))

    def reconnect_routers(self):
        self.cut = set()

    def update_views(self):
        for name in self.rng.sample(sorted(self.routers), ROUTERS // 2):
            self.views[name] = set(self.live)

    def restore_store(self):
        self.store.restore(self.rng.randint(1, 6))

    def write_objects(self):
        for _ in range(self.rng.randint(1, 4)):
            name = self.rng.choice(NAMES)
            self.store.write(name, self.rng.random() < 0.3)

    async def run(self, extra_events=()):
        # In some runs the history is kept long enough to reach all routers.
        events = [self.write_objects] * self.rng.choice([8, 80]) + [
            self.stop_or_start_routers,
            self.cut_off_routers,
            self.reconnect_routers,
            self.update_views,
            self.update_views,
            self.store.truncate_history,
            *extra_events,
        ]
        for each in self.routers.values():
            each.start()
        end_s = clock.now_s() + RUN_S
        while clock.now_s() < end_s:
            self.rng.choice(events)()
            await asyncio.sleep(self.rng.expovariate(8.0))
        self.loss, self.cut = 0.0, set()
        for name in self.routers:
            self.views[name] = set(self.live)
        self.write_objects()
        await asyncio.sleep(SETTLE_S)
        return {each: self.routers[each].content for each in self.live}


@pytest.mark.parametrize("seed", range(30))
def test_all_routers_converge_to_the_store(seed):
    """Changes get lost under faults, and a router's copy stays wrong.

    Routers die together and restart empty, notice each other's failure late
    and so disagree on the readers; requests are lost, some routers are cut
    off from the store and the others, and the store truncates its history.
    After the last fault each router must have the store's content within
    `SETTLE_S`.
    """

    async def run_scenario():
        scenario = Scenario(seed)
        return await scenario.run(), scenario.store.content()

    copies, stored = timing.run(run_scenario)
    assert copies == dict.fromkeys(copies, stored)


@pytest.mark.parametrize("seed", range(30))
def test_no_router_keeps_objects_lost_in_a_restore(seed):
    """The store is restored from an older copy and issues revisions again."""

    async def run_scenario():
        scenario = Scenario(seed)
        return (
            await scenario.run([scenario.restore_store] * 3),
            scenario.store.content(),
        )

    copies, stored = timing.run(run_scenario)
    assert copies == dict.fromkeys(copies, stored)
