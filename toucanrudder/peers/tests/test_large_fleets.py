"""Who is live in fleets of up to 400 routers, on virtual time.

Nodes, tables and the choice of whom to exchange with are the product's;
only the way between two routers is not.
"""

import asyncio
import contextlib
import heapq
import random
import types
from unittest import mock

import attrs
import pytest

from toucanrudder.membership import routers
from toucanrudder.peers import client
from toucanrudder.peers import loads
from toucanrudder.peers import messages
from toucanrudder.peers import node

INTERVAL_S = 0.5
SILENT_S = 3.0
SEEDS = 3

#: Until all have heard of all, also after all have started at once.
KNOWN_WITHIN_S = 6.0

#: Until a dead router is out everywhere: its silence, and as long again
#: for the last word of it that is still under way.
OUT_WITHIN_S = 2 * SILENT_S


@attrs.define(eq=False)
class Fleet:
    """Routers that exchange heartbeats.

    Parameters
    ----------
    size : int
        How many.
    loss : float
        Part of the messages that get lost.
    """

    size: int
    loss: float = 0.0
    now_s: float = 0.0
    nodes: list = attrs.field(factory=list)
    clients: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    is_cut: object = lambda one, other: False
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    due: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        seeds = [self.address(number) for number in range(SEEDS)]
        for number in range(self.size):
            self.nodes.append(self._node(number, 1_000 + number))
            self.clients.append(self._client(number, seeds))
            heapq.heappush(self.due, (self.rng.random() * INTERVAL_S, number))

    def _node(self, number, incarnation):
        made = node.Node(
            self.name(number),
            incarnation,
            routers.RouterTable(SILENT_S),
            loads.PeerLoads(SILENT_S),
            lambda: None,
            node.HeartbeatHooks(),
            random.Random(number),
        )
        made.address = self.address(number)
        return made

    def _client(self, number, seeds):
        return client.PeerClient(
            self.nodes[number],
            lambda document: False,
            seeds,
            None,
            interval_s=INTERVAL_S,
            silent_s=SILENT_S,
            rng=random.Random(number),
        )

    def restart(self, numbers, incarnation):
        """Start processes anew; they know nothing but the seeds."""
        seeds = [self.address(number) for number in range(SEEDS)]
        for number in numbers:
            self.nodes[number] = self._node(number, incarnation)
            self.clients[number] = self._client(number, seeds)
        self.dead -= set(numbers)

    @staticmethod
    def name(number):
        return f"router-{number:03}"

    @staticmethod
    def address(number):
        return f"{number}:1"

    def run(self, until_s):
        """Exchange until a time; yield it four times a second."""
        look_s = self.now_s
        while self.now_s < until_s:
            self.now_s, number = heapq.heappop(self.due)
            if self.now_s >= look_s:
                look_s += 0.25
                yield self.now_s
            if number not in self.dead:
                self._round(number)
            pause_s = INTERVAL_S * self.rng.uniform(0.8, 1.0)
            heapq.heappush(self.due, (self.now_s + pause_s, number))

    def _round(self, number):
        beginning = self.clients[number]
        for address in beginning._targets(self.now_s, hurried=False):
            other = int(address.partition(":")[0])
            if other == number:
                beginning._own_addresses.add(address)
                continue
            asked = self._send(number, other, ())
            if asked and self._send(other, number, asked.wanted):
                beginning._heard_s[address] = self.now_s

    def _send(self, source, target, wanted):
        if target in self.dead or self.is_cut(source, target):
            return None
        if self.rng.random() < self.loss:
            return None
        heartbeat = self.nodes[source].heartbeat(
            self.now_s, self.now_s, wanted=wanted
        )
        self.nodes[target].receive(heartbeat, self.now_s, self.now_s)
        self.clients[target]._heard_s[self.address(source)] = self.now_s
        return heartbeat

    def seen(self, number):
        """Return the numbers of the routers that one counts as live."""
        return {
            int(member.name.partition("-")[2])
            for member in self.nodes[number].table.live(self.now_s)
        } | {number}

    def unseen(self):
        """Return how often a live router counts as dead for another."""
        living = set(range(self.size)) - self.dead
        return sum(len(living - self.seen(number)) for number in living)


SIZES = [
    # Routers, part of the messages lost.
    (8, 0.025),
    (82, 0.025),
    (195, 0.025),
    (400, 0.0),
]


@pytest.mark.parametrize(("size", "loss"), SIZES)
def test_no_live_router_counts_as_dead(size, loss):
    """Limits, readers of the registry and the lease's line change all along.

    Each heartbeat told of 32 routers, drawn from all.  Of 400, the word of
    a router's newest beat reached another less often than each three
    seconds, so that a quarter counted as dead though nothing was wrong.
    """
    fleet = Fleet(size, loss)
    list(fleet.run(KNOWN_WITHIN_S))
    assert max(fleet.unseen() for _ in fleet.run(KNOWN_WITHIN_S + 6.0)) == 0


def test_a_dead_router_is_soon_out():
    fleet = Fleet(195, loss=0.025)
    list(fleet.run(KNOWN_WITHIN_S))
    fleet.dead.update({7, 90, 150})
    list(fleet.run(KNOWN_WITHIN_S + OUT_WITHIN_S))
    living = set(range(195)) - fleet.dead
    assert all(fleet.seen(number) == living for number in living)


def test_a_third_that_was_cut_off_is_found_again():
    """Each side counts its own alone, and all again once they meet.

    A third of the routers reach no others for ten seconds.  Nobody on the
    one side has an address of the other among those that live, so only
    the seeds bring them together.
    """
    fleet = Fleet(82, loss=0.025)
    list(fleet.run(KNOWN_WITHIN_S))
    fleet.is_cut = lambda one, other: (one < 27) is not (other < 27)
    list(fleet.run(KNOWN_WITHIN_S + 10.0))
    assert fleet.seen(5) == set(range(27))
    assert fleet.seen(60) == set(range(27, 82))
    fleet.is_cut = lambda one, other: False
    list(fleet.run(KNOWN_WITHIN_S + 10.0 + KNOWN_WITHIN_S))
    assert fleet.unseen() == 0


RESTARTS = [
    # Which of 82 routers die, after how many seconds they are back, and by
    # how much their clocks have jumped.
    pytest.param(range(82), 0.0, 0, id="all at once"),
    pytest.param(range(82), 0.0, -3_600_000, id="all, clocks an hour back"),
    pytest.param(range(0, 82, 2), 2.0, 0, id="every other one"),
    pytest.param(range(0, 60), 8.0, 0, id="most, for long"),
]


@pytest.mark.parametrize(("which", "away_s", "jump_ms"), RESTARTS)
def test_routers_that_are_back_are_soon_known(which, away_s, jump_ms):
    """Routers that start again find no peers, and do alone what few do."""
    fleet = Fleet(82, loss=0.025)
    list(fleet.run(KNOWN_WITHIN_S))
    fleet.dead.update(which)
    list(fleet.run(fleet.now_s + away_s))
    fleet.restart(which, 1_000_000 + jump_ms)
    list(fleet.run(fleet.now_s + KNOWN_WITHIN_S))
    assert fleet.unseen() == 0


def test_one_that_comes_or_goes_changes_few_partners():
    # A channel is kept for as long as the partner is one.
    fleet = Fleet(82)
    list(fleet.run(KNOWN_WITHIN_S))
    one = fleet.clients[9]
    table = fleet.nodes[9].table
    before = set(one._partners(table.peers(fleet.now_s)))
    fleet.dead.add(int(min(before).partition(":")[0]))
    list(fleet.run(KNOWN_WITHIN_S + OUT_WITHIN_S))
    after = set(one._partners(table.peers(fleet.now_s)))
    assert len(before) == len(after) == client.PARTNERS
    assert len(before - after) == 1


class Stub:
    """Counts what peers are sent."""

    def __init__(self, sent):
        self._sent = sent

    async def Tell(self, told, timeout):
        self._sent.append(told)

    async def Exchange(self, heartbeat, timeout):
        self._sent.append(heartbeat)
        return heartbeat


class StubChannels:
    """Reaches each peer at once."""

    def __init__(self, sent):
        self._sent = sent

    @contextlib.asynccontextmanager
    async def stub_for(self, address):
        yield Stub(self._sent)

    async def close(self):
        """Nothing is open."""


async def test_urgent_news_shares_a_round():
    """Callers of the router that orders new weights wait for seconds.

    It tells 32 peers of each engine that is about to load, with all that a
    heartbeat holds.  Twenty engines are ordered within milliseconds: 640
    exchanges, which took two thirds of its processor time.
    """
    fleet, sent = Fleet(82), []
    list(fleet.run(KNOWN_WITHIN_S))
    table = fleet.nodes[9].table
    beginning = fleet.clients[9]
    beginning._channels = StubChannels(sent)
    virtual = types.SimpleNamespace(
        monotonic=lambda: fleet.now_s, time=lambda: fleet.now_s
    )
    with mock.patch.object(client, "time", virtual):
        await asyncio.gather(
            *(beginning.broadcast_urgent(1.0) for _ in range(20))
        )
        assert len(sent) == client.MAX_TOLD
        assert not any(told.members or told.digest_keys for told in sent)
        # What is said while a round is under way gets one of its own.
        await asyncio.gather(beginning.broadcast_urgent(1.0))
    assert len(sent) == 2 * client.MAX_TOLD
    assert len(table.peers(fleet.now_s)) == 81


async def test_urgent_news_takes_nothing_back():
    """Peers forget a router's work at engines, and crowd them.

    News without loads is no word that there are none.
    """
    fleet = Fleet(2)
    one, other = fleet.nodes
    one._hooks.loads = lambda: (messages.UpstreamLoad("e1", 900, 2),)
    other.receive(one.heartbeat(1.0, 1.0), 1.0, 1.0)
    other.receive_urgent(one.urgent_heartbeat(1.1, 1.1), 1.1, 1.1)
    assert other._loads.requests("e1", 1.2) == 2
    assert other.table.live(1.2)[0].name == one.name


async def test_urgent_news_goes_on_after_a_round_was_cancelled():
    """Peers hear of no crash and no loading engine any more, for ever.

    The controller of the exchanges ends by an error and starts again; a
    round that was just gathering news is cancelled with its other tasks.
    Kept as the one to wait for, it is over at once each time.
    """
    fleet, sent = Fleet(8), []
    list(fleet.run(KNOWN_WITHIN_S))
    beginning = fleet.clients[2]
    beginning._channels = StubChannels(sent)
    virtual = types.SimpleNamespace(
        monotonic=lambda: fleet.now_s, time=lambda: fleet.now_s
    )
    with mock.patch.object(client, "time", virtual):
        telling = asyncio.ensure_future(beginning.broadcast_urgent(1.0))
        await asyncio.sleep(0)
        for task in list(beginning._tasks):
            task.cancel()
        await telling
        assert not sent
        await beginning.broadcast_urgent(1.0)
    assert len(sent) == 7


def test_news_takes_no_turn_of_a_heartbeat():
    # Old facts about crashes are asked for with the first heartbeat.
    one = Fleet(2).nodes[0]
    for _ in range(5):
        one.urgent_heartbeat(1.0, 1.0)
    asked = [
        one.heartbeat(1.0, 1.0).want_all for _ in range(node.ASK_ALL_EVERY + 1)
    ]
    assert asked == [True] + (node.ASK_ALL_EVERY - 1) * [False] + [True]
