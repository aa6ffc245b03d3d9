"""Queries between routers whose channel is closed meanwhile."""

import asyncio
import random
from unittest import mock

import attrs
import pytest

from toucanrudder import tasks
from toucanrudder.peers import client
from toucanrudder.peers import server
from toucanrudder.peers.tests import test_peers
from toucanrudder.store import fanout
from toucanrudder.store import feed

KIND = "upstreams"
POSITION = feed.Position(era=1, revision=10)
LONG_DEADLINE_S = 20.0


class Log(fanout.ChangeLog):
    """A change log that never changes and records that a query waits."""

    def __init__(self):
        super().__init__()
        self.reset(feed.Snapshot((), POSITION), 0.0)
        self.has_waiter = asyncio.Event()

    async def wait(self, position, wait_s):
        self.has_waiter.set()
        await super().wait(position, wait_s)


class Fleet:
    """A router and two peers that it queries."""

    def __init__(self):
        querying_router = test_peers.Router("r0")
        self.client = client.PeerClient(
            querying_router.node,
            querying_router.offer,
            (),
            None,
            interval_s=0.1,
            silent_s=1.0,
            rng=random.Random(0),
        )
        self.logs = [Log(), Log()]

    def serve(self, number):
        node = test_peers.Router(f"r{number + 1}").node
        logs = {KIND: self.logs[number]}
        return server.serve(node, "127.0.0.1", 0, None, logs=logs)

    async def query(
        self, address, position=POSITION, deadline_s=LONG_DEADLINE_S
    ):
        return await self.client.fetch_changes(
            address, KIND, position, wait_s=1.0, deadline_s=deadline_s
        )


async def another_call_fails(fleet, first, second):
    await fleet.query(first, deadline_s=0.05)


async def the_pool_is_full(fleet, first, second):
    await fleet.query(second, attrs.evolve(POSITION, revision=9))


async def the_pool_is_closed(fleet, first, second):
    await fleet.client._channels.close()


DISCARDS = [
    the_pool_is_closed,
    another_call_fails,
    the_pool_is_full,
]


@pytest.mark.parametrize("discard", DISCARDS)
async def test_a_query_is_answered_though_its_channel_is_discarded(
    monkeypatch, discard
):
    """Other calls on a channel end a query that waits on it.

    While a query for changes waits, its channel is discarded: an exchange
    on it got no answer, the pool is full, or the pool is closed.  Closing
    the channel at once would cancel the query, and the task that sent it
    would end for good.
    """
    monkeypatch.setattr(client, "MAX_CHANNELS", 1)
    fleet = Fleet()
    async with fleet.serve(0) as first, fleet.serve(1) as second:
        waiting = asyncio.ensure_future(fleet.query(first))
        await fleet.logs[0].has_waiter.wait()
        await discard(fleet, first, second)
        results = await asyncio.gather(waiting, return_exceptions=True)
    assert results == [
        fanout.ReaderReply(feed.Changes((), POSITION), mock.ANY)
    ]


async def test_a_task_goes_on_after_a_call_that_was_cancelled(monkeypatch):
    """A controller ends for good, and its table is not updated any more.

    A call inside its task is cancelled by another part of the process,
    but not the task itself.  If the cancellation is taken for the stop of
    the process, the task ends without a message and is not restarted.
    """
    monkeypatch.setattr(tasks, "RESTART_S", 0.0)
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) == 1:
            call = asyncio.get_running_loop().create_future()
            call.cancel()
            await call
        await asyncio.Event().wait()

    service = tasks.TaskService(run=run, label="follow")
    service.set_loop(asyncio.get_running_loop())
    started = asyncio.ensure_future(service.start())
    for _ in range(10):
        await asyncio.sleep(0)
    has_ended = started.done()
    started.cancel()
    await asyncio.gather(started, return_exceptions=True)
    assert not has_ended
    assert len(runs) == 2
