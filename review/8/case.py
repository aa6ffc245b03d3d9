"""A run is continued from memory that was made with other weights.

An engine loads new weights while its runs go on, and crashes half a second
later.  A router that has not heard of its new weights continues the runs from
their copies at an engine that still has the old ones.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

EVENT_S = 0.05
EVENTS = 90
ENGINES = 4
STREAMS = 16
EPISODES = 5
LATEST_S = 75.0
#: Time from the end of the load until the engine crashes.
CRASH_AFTER_S = 0.5


class Play:
    """Engines whose weights change while they serve streams."""

    def __init__(self, record, store, has_trouble):
        self.record, self.store = record, store
        self.has_trouble = has_trouble
        self.engines = []
        self.breaks = []
        self.version = 1
        #: Crashes of engines that had runs at work.
        self.crashes = 0
        self._count = 0

    async def add_engine(self):
        """Start an engine that has the newest weights."""
        self._count += 1
        engine = standins.Engine(
            self.store,
            self.record,
            f"engine-{9 - self._count}",
            version=self.version,
            event_s=EVENT_S,
            events=EVENTS,
        )
        await engine.start()
        engine.on_begin = self._on_begin(engine)
        self.engines.append(engine)

    def _on_begin(self, engine):
        def began(run, is_continued):
            others = run.made_with - {engine.version}
            if is_continued and others:
                self.breaks.append(
                    f"STALE: {run.request_id} runs at {engine.name} on"
                    f" version {engine.version} with memory that was made"
                    f" with version {sorted(others)}"
                )

        return began

    def name_weights(self):
        """Name new weights."""
        self.version += 1
        weights = {"model": "m0", "version": self.version}
        self.store.put("versions", "m0", weights)
        self.record(f"operator: names version {self.version}")

    async def first_loaded(self):
        """Return the engine that first has the newest weights."""
        until_s = time.monotonic() + 8.0
        while time.monotonic() < until_s:
            for engine in self.engines:
                if engine.version == self.version:
                    return engine
            await asyncio.sleep(0.005)
        raise standins.CannotRun("no engine has loaded the weights")

    async def all_loaded(self):
        """Wait until all engines have the newest weights."""
        until_s = time.monotonic() + 10.0
        while any(each.version != self.version for each in self.engines):
            if time.monotonic() > until_s:
                raise standins.CannotRun("not all engines have the weights")
            await asyncio.sleep(0.05)

    async def crash(self, engine):
        """Let an engine crash; its entry expires later."""
        self.engines.remove(engine)
        self.crashes += any(run.is_at_work for run in engine.runs.values())
        engine.crash()
        await asyncio.sleep(3 * standins.HEARTBEAT_S)
        self.store.remove("servers", engine.name)


async def main(record, has_trouble):
    """Play some changes of the weights; return what was broken."""
    store = standins.Store(record)
    await store.start()
    store.put("config", "main", standins.configuration())
    store.put("versions", "m0", {"model": "m0", "version": 1})
    play = Play(record, store, has_trouble)
    for _ in range(ENGINES):
        await play.add_engine()
    began_s = time.monotonic()
    names = ["front-1", "front-2"]
    async with standins.routers(record, store, names) as (_, router):
        await asyncio.sleep(2.0)
        for episode in range(EPISODES):
            if time.monotonic() - began_s > LATEST_S or play.breaks:
                break
            await play_episode(play, router, episode)
    if has_trouble and not play.crashes:
        raise standins.CannotRun("no engine with runs has crashed")
    return play.breaks


async def play_episode(play, router, episode):
    """Name weights while streams run, and let the first engine crash."""
    streams = []
    for number in range(STREAMS):
        name = f"r{episode}{number:03d}"
        streams.append(
            asyncio.ensure_future(
                standins.stream(
                    router,
                    name,
                    host="llm.example",
                    path=f"/review/{name}",
                    key="key-of-north",
                    tokens=f"1200,{EVENTS}",
                    prefix=f"a{name[1:]}:300,b{name[1:]}:900",
                    wait_ms=15_000,
                    record=play.record,
                )
            )
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    play.name_weights()
    engine = await play.first_loaded()
    await asyncio.sleep(CRASH_AFTER_S)
    if play.has_trouble:
        await play.crash(engine)
    await asyncio.gather(*streams)
    await play.all_loaded()
    if play.has_trouble:
        await play.add_engine()
        await asyncio.sleep(1.0)


if __name__ == "__main__":
    standins.run_case(
        main, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
    )
