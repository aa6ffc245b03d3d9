"""Questions between routers that end because their channel was closed."""

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
LONG_S = 20.0


class Log(fanout.ChangeLog):
    """Never has news; notes that somebody waits for some."""

    def __init__(self):
        super().__init__()
        self.reset(feed.Snapshot((), POSITION), 0.0)
        self.is_asked = asyncio.Event()

    async def wait(self, position, wait_s):
        self.is_asked.set()
        await super().wait(position, wait_s)


class Fleet:
    """A router, and two that it asks."""

    def __init__(self):
        asker = test_peers.Router("r0")
        self.client = client.PeerClient(
            asker.node,
            asker.offer,
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

    async def ask(self, address, position=POSITION, deadline_s=LONG_S):
        return await self.client.fetch_changes(
            address, KIND, position, wait_s=1.0, deadline_s=deadline_s
        )


async def another_call_to_the_peer_fails(fleet, first, second):
    await fleet.ask(first, deadline_s=0.05)


async def more_peers_are_called_than_channels_are_kept(fleet, first, second):
    await fleet.ask(second, attrs.evolve(POSITION, revision=9))


async def the_exchanges_begin_anew(fleet, first, second):
    await fleet.client._channels.close()


CLOSED = [
    the_exchanges_begin_anew,
    another_call_to_the_peer_fails,
    more_peers_are_called_than_channels_are_kept,
]


@pytest.mark.parametrize("close", CLOSED)
async def test_a_question_is_answered_though_its_channel_is_given_up(
    monkeypatch, close
):
    """A router hears of each change, whatever its other calls come to.

    A question waits at a reader for news.  Meanwhile the channel to that
    reader is given up: an exchange on it got no answer, or so many peers
    are called at once that the oldest channel yields.  Closed under the
    question, it cancels it, and the task that asked ends for good.
    """
    monkeypatch.setattr(client, "MAX_CHANNELS", 1)
    fleet = Fleet()
    async with fleet.serve(0) as first, fleet.serve(1) as second:
        waiting = asyncio.ensure_future(fleet.ask(first))
        await fleet.logs[0].is_asked.wait()
        await close(fleet, first, second)
        ended = await asyncio.gather(waiting, return_exceptions=True)
    assert ended == [fanout.ReaderReply(feed.Changes((), POSITION), mock.ANY)]


async def test_a_task_goes_on_after_a_call_that_was_cancelled(monkeypatch):
    """What keeps a table is started again, or the table stays as it is.

    A call inside the task is cancelled by another part of the process,
    while nobody has cancelled the task itself.  Taken for the daemon's
    own stop, it ends the task without a word, for as long as the process
    lives.
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
    ended = started.done()
    started.cancel()
    await asyncio.gather(started, return_exceptions=True)
    assert not ended
    assert len(runs) == 2
