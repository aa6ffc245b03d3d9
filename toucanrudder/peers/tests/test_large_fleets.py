"""Live routers in fleets of up to 400, on virtual time.

Nodes, tables and the choice of peers are those of the product; only the
transport between routers is simulated.
"""

import asyncio
import contextlib
import heapq
import random
import types
from unittest import mock

import attrs
import pytest

from toucanrudder import stalls
from toucanrudder.membership import routers
from toucanrudder.peers import client
from toucanrudder.peers import loads
from toucanrudder.peers import messages
from toucanrudder.peers import node

INTERVAL_S = 0.5
SILENT_S = 3.0
SEED_COUNT = 3

#: Time until all routers know all, also if all start at the same time.
CONVERGENCE_S = 6.0

#: Time until all routers count a dead one as dead: its silence, and as long
#: again for its last beats that are still being gossiped.
DETECTION_S = 2 * SILENT_S


@attrs.define(eq=False)
class Fleet:
    """A simulated fleet of routers that exchange heartbeats.

    Parameters
    ----------
    size : int
        Number of routers.
    loss : float
        Fraction of the messages that are lost.
    """

    size: int
    loss: float = 0.0
    now_s: float = 0.0
    nodes: list = attrs.field(factory=list)
    clients: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    is_partitioned: object = lambda one, other: False
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    due: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        seeds = [self.address(number) for number in range(SEED_COUNT)]
        for number in range(self.size):
            self.nodes.append(self._node(number, 1_000 + number))
            self.clients.append(self._client(number, seeds))
            heapq.heappush(self.due, (self.rng.random() * INTERVAL_S, number))

    def _node(self, number, incarnation):
        new_node = node.Node(
            self.name(number),
            incarnation,
            routers.RouterTable(SILENT_S),
            loads.PeerLoads(SILENT_S),
            lambda: None,
            node.HeartbeatHooks(),
            random.Random(number),
        )
        new_node.address = self.address(number)
        return new_node

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
        """Restart processes, which then know only the seeds."""
        seeds = [self.address(number) for number in range(SEED_COUNT)]
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
        """Simulate until a time; yield the time four times a second."""
        next_yield_s = self.now_s
        while self.now_s < until_s:
            self.now_s, number = heapq.heappop(self.due)
            if self.now_s >= next_yield_s:
                next_yield_s += 0.25
                yield self.now_s
            if number not in self.dead:
                self._round(number)
            pause_s = INTERVAL_S * self.rng.uniform(0.8, 1.0)
            heapq.heappush(self.due, (self.now_s + pause_s, number))

    def _round(self, number):
        sender = self.clients[number]
        for address in sender._exchange_targets(self.now_s, is_urgent=False):
            other = int(address.partition(":")[0])
            if other == number:
                sender._own_addresses.add(address)
                continue
            request = self._send(number, other, ())
            if request and self._send(other, number, request.wanted):
                sender._last_exchange_s[address] = self.now_s

    def _send(self, source, target, wanted):
        if target in self.dead or self.is_partitioned(source, target):
            return None
        if self.rng.random() < self.loss:
            return None
        heartbeat = self.nodes[source].heartbeat(
            self.now_s, self.now_s, wanted=wanted
        )
        self.nodes[target].receive(heartbeat, self.now_s, self.now_s)
        self.clients[target]._last_exchange_s[self.address(source)] = (
            self.now_s
        )
        return heartbeat

    def live_at(self, number):
        """Return the numbers of the routers that one router counts as live."""
        return {
            int(member.name.partition("-")[2])
            for member in self.nodes[number].table.live(self.now_s)
        } | {number}

    def missing_count(self):
        """Count the pairs in which one counts the other, live one as dead."""
        live = set(range(self.size)) - self.dead
        return sum(len(live - self.live_at(number)) for number in live)


SIZES = [
    # Routers, fraction of messages lost.
    (8, 0.025),
    (82, 0.025),
    (195, 0.025),
    (400, 0.0),
]


@pytest.mark.parametrize(("size", "loss"), SIZES)
def test_no_live_router_counts_as_dead(size, loss):
    """Live routers count as dead, and limits, readers and leases shift.

    When each heartbeat held a sample of 32 routers, the newest beat of one
    of 400 routers reached another less often than every three seconds, and
    a quarter of the fleet counted as dead though nothing was wrong.
    """
    fleet = Fleet(size, loss)
    list(fleet.run(CONVERGENCE_S))
    assert (
        max(fleet.missing_count() for _ in fleet.run(CONVERGENCE_S + 6.0)) == 0
    )


def test_a_dead_router_is_detected_everywhere():
    fleet = Fleet(195, loss=0.025)
    list(fleet.run(CONVERGENCE_S))
    fleet.dead.update({7, 90, 150})
    list(fleet.run(CONVERGENCE_S + DETECTION_S))
    live = set(range(195)) - fleet.dead
    assert all(fleet.live_at(number) == live for number in live)


def test_a_partitioned_fleet_reunites():
    """The two sides of a partition do not find each other again.

    A third of the routers cannot reach the others for ten seconds.  After
    that no router knows a live one of the other side, so only the seeds
    can reconnect them.
    """
    fleet = Fleet(82, loss=0.025)
    list(fleet.run(CONVERGENCE_S))
    fleet.is_partitioned = lambda one, other: (one < 27) is not (other < 27)
    list(fleet.run(CONVERGENCE_S + 10.0))
    assert fleet.live_at(5) == set(range(27))
    assert fleet.live_at(60) == set(range(27, 82))
    fleet.is_partitioned = lambda one, other: False
    list(fleet.run(CONVERGENCE_S + 10.0 + CONVERGENCE_S))
    assert fleet.missing_count() == 0


RESTARTS = [
    # Which of 82 routers die, after how many seconds they restart, and by
    # how many milliseconds their clocks have changed.
    pytest.param(range(82), 0.0, 0, id="all at once"),
    pytest.param(range(82), 0.0, -3_600_000, id="all, clocks an hour back"),
    pytest.param(range(0, 82, 2), 2.0, 0, id="every other one"),
    pytest.param(range(0, 60), 8.0, 0, id="most, for long"),
]


@pytest.mark.parametrize(("which", "away_s", "jump_ms"), RESTARTS)
def test_restarted_routers_are_soon_known(which, away_s, jump_ms):
    """Restarted routers find no peers and do the work of a small fleet."""
    fleet = Fleet(82, loss=0.025)
    list(fleet.run(CONVERGENCE_S))
    fleet.dead.update(which)
    list(fleet.run(fleet.now_s + away_s))
    fleet.restart(which, 1_000_000 + jump_ms)
    list(fleet.run(fleet.now_s + CONVERGENCE_S))
    assert fleet.missing_count() == 0


def test_a_membership_change_replaces_at_most_one_partner():
    # A channel is kept for as long as its peer is a partner.
    fleet = Fleet(82)
    list(fleet.run(CONVERGENCE_S))
    one = fleet.clients[9]
    table = fleet.nodes[9].table
    before = set(one._partners(table.peers(fleet.now_s)))
    fleet.dead.add(int(min(before).partition(":")[0]))
    list(fleet.run(CONVERGENCE_S + DETECTION_S))
    after = set(one._partners(table.peers(fleet.now_s)))
    assert len(before) == len(after) == client.PARTNERS
    assert len(before - after) == 1


class Stub:
    """A stub that records the messages sent to peers."""

    def __init__(self, sent):
        self._sent = sent

    async def Tell(self, heartbeat, timeout):
        self._sent.append(heartbeat)

    async def Exchange(self, heartbeat, timeout):
        self._sent.append(heartbeat)
        return heartbeat


class StubChannels:
    """A channel pool whose peers answer immediately."""

    def __init__(self, sent):
        self._sent = sent

    @contextlib.asynccontextmanager
    async def stub_for(self, address):
        yield Stub(self._sent)

    async def close(self):
        """Nothing is open."""


async def test_concurrent_urgent_news_share_a_broadcast():
    """Callers of the router that orders new weights wait for seconds.

    For each engine about to load, it sent a full heartbeat to 32 peers.
    Orders to twenty engines within milliseconds made 640 exchanges, which
    took two thirds of its CPU time.
    """
    fleet, sent = Fleet(82), []
    list(fleet.run(CONVERGENCE_S))
    table = fleet.nodes[9].table
    sender = fleet.clients[9]
    sender._channels = StubChannels(sent)
    virtual = types.SimpleNamespace(
        monotonic=lambda: fleet.now_s, time=lambda: fleet.now_s
    )
    with (
        mock.patch.object(client, "time", virtual),
        mock.patch.object(stalls, "time", virtual),
    ):
        await asyncio.gather(
            *(sender.broadcast_urgent(1.0) for _ in range(20))
        )
        assert len(sent) == client.MAX_BROADCAST_PEERS
        assert not any(
            heartbeat.members or heartbeat.digest_keys for heartbeat in sent
        )
        # Later news gets a broadcast of its own.
        await asyncio.gather(sender.broadcast_urgent(1.0))
    assert len(sent) == 2 * client.MAX_BROADCAST_PEERS
    assert len(table.peers(fleet.now_s)) == 81


async def test_urgent_news_keeps_reported_loads():
    """Urgent news clears a router's loads, and peers overload its engines.

    Urgent news holds no loads, which must not be read as no load.
    """
    fleet = Fleet(2)
    one, other = fleet.nodes
    one._hooks.loads = lambda: (messages.UpstreamLoad("e1", 900, 2),)
    other.receive(one.heartbeat(1.0, 1.0), 1.0, 1.0)
    other.receive_urgent(one.urgent_heartbeat(1.1, 1.1), 1.1, 1.1)
    assert other._loads.requests("e1", 1.2) == 2
    assert other.table.live(1.2)[0].name == one.name


async def test_urgent_news_is_sent_after_a_cancelled_broadcast():
    """No urgent news is sent any more after a restart of the controller.

    The controller of the exchanges fails and is restarted; a broadcast
    that is waiting for more news is cancelled with the other tasks.  If it
    stayed the pending one, each later call would return at once.
    """
    fleet, sent = Fleet(8), []
    list(fleet.run(CONVERGENCE_S))
    sender = fleet.clients[2]
    sender._channels = StubChannels(sent)
    virtual = types.SimpleNamespace(
        monotonic=lambda: fleet.now_s, time=lambda: fleet.now_s
    )
    with (
        mock.patch.object(client, "time", virtual),
        mock.patch.object(stalls, "time", virtual),
    ):
        broadcast = asyncio.ensure_future(sender.broadcast_urgent(1.0))
        await asyncio.sleep(0)
        for task in list(sender._tasks):
            task.cancel()
        await broadcast
        assert not sent
        await sender.broadcast_urgent(1.0)
    assert len(sent) == 7


def test_urgent_news_does_not_request_all_entries():
    # Older quarantine entries are requested with the first heartbeat.
    one = Fleet(2).nodes[0]
    for _ in range(5):
        one.urgent_heartbeat(1.0, 1.0)
    want_all = [
        one.heartbeat(1.0, 1.0).want_all
        for _ in range(node.WANT_ALL_EVERY + 1)
    ]
    assert want_all == [True] + (node.WANT_ALL_EVERY - 1) * [False] + [True]
