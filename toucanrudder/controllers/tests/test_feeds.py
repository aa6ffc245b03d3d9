"""Tests of watches of one kind of objects."""

import asyncio
import contextlib
import random

import pytest

from toucanrudder.controllers import feeds
from toucanrudder.store import feed
from toucanrudder.store import interface

WAIT_S, FIRST_WAIT_S = 20.0, 3.0
CHANGE = feed.Change(interface.StoredObject("k", "n", 1, {}))


class Source(feed.KindFeed):
    """A store that answers watches from a list, then no more."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.waits_s = []
        self.pending = asyncio.Event()

    async def snapshot(self, kind, *, timeout_s):
        return feed.Snapshot((), feed.Position(1, 1))

    async def changes(self, kind, position, *, wait_s):
        self.waits_s.append(wait_s)
        if not self.answers:
            self.pending.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if answer is None:
            raise interface.StoreUnavailable("no answer")
        return feed.Changes(answer, feed.Position(1, 1))


@contextlib.asynccontextmanager
async def following(answers, first_wait_s=lambda: FIRST_WAIT_S):
    source = Source(answers)
    controller = feeds.FeedController(
        source,
        "k",
        feeds.FeedCallbacks(lambda *_: None, lambda *_: None),
        timeout_s=1.0,
        wait_s=lambda: WAIT_S,
        rng=random.Random(1),
        first_wait_s=first_wait_s,
    )
    task = asyncio.create_task(controller.run())
    try:
        async with asyncio.timeout(5.0):
            await source.pending.wait()
        yield source, controller
    finally:
        task.cancel()


WAITS_S = {
    "after the start": ([], [FIRST_WAIT_S]),
    "nothing new": ([()], [FIRST_WAIT_S, WAIT_S]),
    "a change": (
        [(), (CHANGE,), ()],
        [FIRST_WAIT_S, WAIT_S, FIRST_WAIT_S, WAIT_S],
    ),
    "a failure": (
        [(), None, (), ()],
        [FIRST_WAIT_S, WAIT_S, 0.0, FIRST_WAIT_S, WAIT_S],
    ),
}


@pytest.mark.parametrize(
    ("answers", "waits_s"), WAITS_S.values(), ids=WAITS_S.keys()
)
async def test_only_the_first_watch_with_a_common_start_is_shorter(
    answers, waits_s
):
    async with following(answers) as (source, _):
        assert source.waits_s == waits_s


async def test_first_watch_waits_as_usual_until_its_wait_is_known():
    waits_s = [None, FIRST_WAIT_S]
    async with following([()], lambda: waits_s.pop(0)) as (source, _):
        assert source.waits_s == [WAIT_S, FIRST_WAIT_S]


async def test_watch_that_misses_news_of_others_is_replaced_at_once():
    async with following([]) as (source, controller):
        source.answers = [()]
        source.pending.clear()
        controller.recheck()
        async with asyncio.timeout(1.0):
            await source.pending.wait()
        assert source.waits_s == [FIRST_WAIT_S, 0.0, FIRST_WAIT_S]


async def test_watch_goes_on_after_an_outage_of_any_length(monkeypatch):
    """Guards against a watch that ends by the count of its failures."""
    monkeypatch.setattr(feeds, "BASE_DELAY_S", 1e-9)
    monkeypatch.setattr(feeds, "MAX_DELAY_S", 1e-9)
    outage = [None] * 2_000
    async with following([(), *outage, ()]) as (source, controller):
        assert len(source.waits_s) > len(outage)
        assert controller._failures == 0
