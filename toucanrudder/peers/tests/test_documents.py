"""Tests of which peers are asked for a newer document."""

import asyncio
import random

import pytest

from toucanrudder.peers import documents

SILENT, UNREADABLE = "silent", "unreadable"


class Peers:
    """Peers that give a generation, say nothing, or give nonsense."""

    def __init__(self, behaviours):
        self.behaviours = behaviours
        self.generation = 1
        self.asked = []
        self.cancelled = []
        self.tasks = []

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def fetch(self, address):
        self.asked.append(address)
        behaviour = self.behaviours[address]
        if behaviour == SILENT:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.append(address)
        if behaviour != UNREADABLE:
            self.generation = max(self.generation, behaviour)
        return True


CASES = {
    "one": ({"a": 4}, 4, 1),
    "one silent": ({"a": SILENT, "b": 4}, 4, 2),
    "two silent": ({"a": SILENT, "b": SILENT, "c": 4}, 4, 3),
    "one unreadable": ({"a": UNREADABLE, "b": 4}, 4, 2),
    "none is ahead": ({"a": 1}, 1, 0),
}


@pytest.mark.parametrize(
    ("behaviours", "generation", "most_asked"),
    CASES.values(),
    ids=CASES.keys(),
)
async def test_peers_are_asked_until_one_gives_its_document(
    behaviours, generation, most_asked
):
    peers = Peers(behaviours)
    fetcher = documents.DocumentFetcher(
        lambda: peers.generation, peers.fetch, peers.spawn, random.Random(1)
    )
    for address in behaviours:
        fetcher.record(address, generation)
    async with asyncio.timeout(1.0):
        await asyncio.gather(*peers.tasks)
    assert peers.generation == generation
    assert len(peers.asked) == len(set(peers.asked)) <= most_asked
    await asyncio.sleep(0)
    silent = {a for a in peers.asked if behaviours[a] == SILENT}
    assert set(peers.cancelled) == silent


async def test_peer_that_did_not_answer_is_asked_last_the_next_time():
    peers = Peers({"a": SILENT, "b": 4})
    fetcher = documents.DocumentFetcher(
        lambda: peers.generation, peers.fetch, peers.spawn, random.Random(1)
    )
    fetcher.record("a", 4)
    fetcher.record("b", 4)
    await asyncio.gather(*peers.tasks)
    for generation in range(5, 15):
        peers.behaviours["b"] = generation
        asked = len(peers.asked)
        fetcher.record("a", generation)
        fetcher.record("b", generation)
        await asyncio.gather(*peers.tasks)
        if "a" in peers.asked[:asked]:
            assert peers.asked[asked:] == ["b"]
    assert "a" in peers.asked


async def test_peer_with_an_unreadable_document_is_not_asked_in_a_loop():
    peers = Peers({"a": UNREADABLE})
    fetcher = documents.DocumentFetcher(
        lambda: peers.generation, peers.fetch, peers.spawn, random.Random(1)
    )
    for heartbeats in (1, 2):
        fetcher.record("a", 4)
        await asyncio.gather(*peers.tasks)
        assert len(peers.asked) == heartbeats
