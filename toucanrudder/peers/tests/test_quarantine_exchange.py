"""Quarantine entries in fleets that exchange heartbeats, on virtual time.

Nodes, trackers and the choice of peers are those of the product; only the
transport between routers is simulated.
"""

import asyncio
import collections
import contextlib
import heapq
import random
import time

import attrs
import pytest

from toucanrudder import quarantine
from toucanrudder.membership import routers
from toucanrudder.peers import client
from toucanrudder.peers import loads
from toucanrudder.peers import messages
from toucanrudder.peers import node
from toucanrudder.peers import peers_pb2
from toucanrudder.quarantine import entry

INTERVAL_S = 0.5
SILENT_S = 3.0
SEED_COUNT = 3

#: Time until all routers know all.
CONVERGENCE_S = 6.0

#: Time in which entries reach all routers by exchanges only, also if a
#: third of the messages are lost.
SPREAD_S = 15.0

EVERYTHING = 1_000_000


@attrs.define(eq=False)
class Router:
    """One router process without a transport."""

    node: node.Node
    client: client.PeerClient
    tracker: quarantine.SuspectTracker

    @property
    def member(self):
        return self.node._next_heartbeat(0.0).sender

    @property
    def log(self):
        return self.tracker._log

    @property
    def entries(self):
        """All entries, in no order."""
        return frozenset(self.log.after(0, -1, EVERYTHING).entries)


def router(number, incarnation, *, is_old=False):
    """Return a router; one of an earlier version knows no positions."""
    tracker = quarantine.SuspectTracker()
    hooks = node.HeartbeatHooks(
        quarantine=tracker.entries, on_quarantine=tracker.merge
    )
    if not is_old:
        hooks.quarantine_log = tracker.log
    new_node = node.Node(
        f"router-{number:03}",
        incarnation,
        routers.RouterTable(SILENT_S),
        loads.PeerLoads(SILENT_S),
        lambda: None,
        hooks,
        random.Random(number),
    )
    new_node.address = address(number)
    new_client = client.PeerClient(
        new_node,
        lambda document: False,
        [address(seed) for seed in range(SEED_COUNT)],
        None,
        interval_s=INTERVAL_S,
        silent_s=SILENT_S,
        rng=random.Random(number),
    )
    return Router(new_node, new_client, tracker)


def address(number):
    return f"{number}:1"


class Fleet:
    """Routers that exchange heartbeats, some of which are lost."""

    def __init__(self, size, *, loss=0.0, seed=5, old=()):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now_s = 10_000.0
        self.is_partitioned = lambda one, other: False
        self.dead = set()
        self.routers = [
            router(number, 1_000 + number, is_old=number in old)
            for number in range(size)
        ]
        self.due = []
        #: How often each entry went from one router to another.
        self.sent = collections.Counter()
        for number in range(size):
            at_s = self.now_s + self.rng.random() * INTERVAL_S
            heapq.heappush(self.due, (at_s, number))

    def run(self, for_s):
        until_s = self.now_s + for_s
        while self.due[0][0] < until_s:
            self.now_s, number = heapq.heappop(self.due)
            if number not in self.dead:
                self._round(number)
            pause_s = INTERVAL_S * self.rng.uniform(0.8, 1.0)
            heapq.heappush(self.due, (self.now_s + pause_s, number))
        self.now_s = until_s

    def _round(self, number):
        sender = self.routers[number]
        targets = sender.client._exchange_targets(self.now_s, False)
        for target in targets:
            other = int(target.partition(":")[0])
            if other == number:
                sender.client._own_addresses.add(target)
                continue
            called = sender.node.table.peer_at(target, self.now_s)
            request = self._send(number, other, receiver=called)
            if request is None:
                continue
            answer = self._send(
                other,
                number,
                receiver=request.sender,
                all_entries=request.want_all,
                wanted=request.wanted,
            )
            if answer is not None:
                sender.client._last_exchange_s[target] = self.now_s

    def _send(self, source, target, **arguments):
        heartbeat = self.routers[source].node.heartbeat(
            self.now_s, self.now_s, **arguments
        )
        for each in heartbeat.quarantine:
            self.sent[source, target, each] += 1
        if (
            target in self.dead
            or self.is_partitioned(source, target)
            or self.rng.random() < self.loss
        ):
            return None
        self.routers[target].node.receive(heartbeat, self.now_s, self.now_s)
        self.routers[target].client._last_exchange_s[address(source)] = (
            self.now_s
        )
        return heartbeat

    def crash(self, count, at=None, for_s=0.0):
        """Let engines crash, at any of the routers or at some."""
        for _ in range(count):
            number = self.rng.choice(at or range(len(self.routers)))
            sent = tuple(
                (self._part(), self.rng.randint(1, 3)) for _ in range(2)
            )
            self.routers[number].tracker.record_crash(
                f"e{self.rng.randrange(22)}",
                f"i{self.rng.randrange(40)}",
                [entry.InFlight(f"{self.rng.getrandbits(64):x}", False, sent)],
                self.now_s,
            )
            if for_s:
                self.run(for_s / count)

    def _part(self):
        return quarantine.part_fingerprint(
            f"o{self.rng.randrange(4)}", "m", f"p{self.rng.randrange(200)}"
        )

    def restart(self, number):
        """Start a router anew, which knows nothing."""
        self.routers[number] = router(number, 2_000 + number)
        self.dead.discard(number)

    @property
    def known(self):
        """The sets of entries that live routers have."""
        return {
            each.entries
            for number, each in enumerate(self.routers)
            if number not in self.dead
        }


SIZES = (8, 87)


@pytest.mark.parametrize("size", SIZES)
def test_lost_messages_leave_no_router_without_entries(size):
    fleet = Fleet(size, loss=0.3)
    fleet.run(CONVERGENCE_S)
    fleet.crash(100, for_s=3.0)
    # Longer than recent entries are sent to peers without a position.
    fleet.run(node.RECENT_ENTRY_S + SPREAD_S)
    assert len(fleet.known) == 1
    assert len(fleet.known.pop()) >= 250


@pytest.mark.parametrize("size", SIZES)
def test_restarted_router_gets_the_entries_that_its_predecessor_had(size):
    """Entries are not sent to the peer from which they came."""
    fleet = Fleet(size, loss=0.1)
    fleet.run(CONVERGENCE_S)
    fleet.crash(40, at=[5])
    fleet.run(node.RECENT_ENTRY_S + SPREAD_S)
    (before,) = fleet.known
    fleet.restart(5)
    assert not fleet.routers[5].entries
    fleet.run(SPREAD_S)
    assert fleet.known == {before}


@pytest.mark.parametrize("size", SIZES)
def test_router_that_joins_late_gets_all_entries(size):
    """The one reply to a request for all entries may be lost."""
    fleet = Fleet(size, loss=0.3)
    fleet.dead.add(6)
    fleet.run(CONVERGENCE_S)
    fleet.crash(60, at=[2, 4])
    fleet.run(node.RECENT_ENTRY_S + SPREAD_S)
    (before,) = fleet.known
    fleet.restart(6)
    fleet.routers[6].node._heartbeats = 1
    fleet.run(SPREAD_S)
    assert fleet.known == {before}


@pytest.mark.parametrize("size", SIZES)
def test_halves_that_meet_again_have_the_entries_of_both(size):
    fleet = Fleet(size, loss=0.05)
    fleet.run(CONVERGENCE_S)
    half = size // 2
    fleet.is_partitioned = lambda one, other: (
        (one < half) is not (other < half)
    )
    fleet.run(2 * SILENT_S)
    fleet.crash(50, at=range(half), for_s=1.0)
    fleet.crash(50, at=range(half, size), for_s=1.0)
    fleet.run(node.RECENT_ENTRY_S + SPREAD_S)
    assert len(fleet.known) == 2
    fleet.is_partitioned = lambda one, other: False
    fleet.run(CONVERGENCE_S + SPREAD_S)
    assert len(fleet.known) == 1


def test_routers_of_an_earlier_version_get_recent_entries_and_send_theirs():
    fleet = Fleet(8, old={1, 4})
    fleet.run(CONVERGENCE_S)
    fleet.crash(40, for_s=3.0)
    fleet.run(SPREAD_S)
    assert len(fleet.known) == 1


def test_storm_of_crashes_sends_an_entry_twice_at_most_over_a_link():
    """Routers that sent all recent entries in each heartbeat did little else.

    What a router has received it does not send back.  What it has sent it
    sends again only if it calls the peer before that has said that it has
    it, or if it did not know the peer's position before.
    """
    fleet = Fleet(87)
    fleet.run(CONVERGENCE_S)
    fleet.sent.clear()
    fleet.crash(300, for_s=5.0)
    fleet.run(SPREAD_S)
    (known,) = fleet.known
    crossings = collections.Counter()
    for (source, target, each), count in fleet.sent.items():
        crossings[frozenset((source, target)), each] += count
    assert max(crossings.values()) <= 2
    # Two routers that observe one crash have two versions of an entry.
    assert len({each for _, each in crossings}) <= 1.1 * len(known)
    # Each router has called just its partners.
    links = {link for link, _ in crossings}
    assert len(links) <= 87 * client.PARTNERS


def test_nothing_is_sent_once_all_routers_know_all():
    fleet = Fleet(8)
    fleet.run(CONVERGENCE_S)
    fleet.crash(300, for_s=5.0)
    fleet.run(SPREAD_S)
    assert len(fleet.known) == 1
    fleet.sent.clear()
    fleet.run(2 * node.WANT_ALL_EVERY * INTERVAL_S)
    assert not fleet.sent


def one_and_other():
    """Return two routers that know each other's positions."""
    one, other = router(1, 1_001), router(2, 1_002)
    for _ in range(3):
        exchange(one, other)
    return one, other


def exchange(one, other, *, is_answer_lost=False):
    """Let one router call another; return both heartbeats."""
    called = one.node.table.peer_at(other.node.address, 1.0)
    request = one.node.heartbeat(1.0, 1.0, receiver=called)
    request = on_the_wire(request)
    other.node.receive(request, 1.0, 1.0)
    answer = on_the_wire(
        other.node.heartbeat(
            1.0,
            1.0,
            receiver=request.sender,
            all_entries=request.want_all,
        )
    )
    if not is_answer_lost:
        one.node.receive(answer, 1.0, 1.0)
    return request, answer


def on_the_wire(heartbeat):
    raw = messages.to_wire(heartbeat).SerializeToString()
    return messages.from_wire(peers_pb2.Heartbeat.FromString(raw))


def record_crash(of, name, at_s=1.0):
    of.tracker.record_crash("e", f"i-{name}", [entry.InFlight(name)], at_s)


def names(heartbeat):
    return [each.fingerprint for each in heartbeat.quarantine]


def test_entry_is_sent_until_the_peer_says_that_it_has_it():
    one, other = one_and_other()
    record_crash(other, "a")
    for _ in range(2):
        _, answer = exchange(one, other, is_answer_lost=True)
        assert names(answer) == ["a"]
    _, answer = exchange(one, other)
    assert names(answer) == ["a"]
    request, answer = exchange(one, other)
    assert names(request) == names(answer) == []
    assert one.entries == other.entries


def test_urgent_news_advances_no_position():
    one, other = one_and_other()
    record_crash(one, "a")
    urgent = on_the_wire(one.node.urgent_heartbeat(1.0, 1.0))
    assert names(urgent) == ["a"]
    assert urgent.quarantine_positions is None
    # It is told once, and not what peers have told.
    assert names(one.node.urgent_heartbeat(1.0, 1.0)) == []
    other.node.receive_urgent(urgent, 1.0, 1.0)
    assert names(other.node.urgent_heartbeat(1.0, 1.0)) == []
    request, answer = exchange(one, other)
    assert (names(request), names(answer)) == (["a"], [])


def test_news_of_crashes_is_pending_only_until_it_was_told():
    one, other = one_and_other()
    assert not one.node.has_quarantine_news(1.0)
    record_crash(one, "a")
    assert one.node.has_quarantine_news(1.0)
    exchange(one, other)
    assert not other.node.has_quarantine_news(1.0)
    one.node.urgent_heartbeat(1.0, 1.0)
    assert not one.node.has_quarantine_news(1.0)


def test_positions_of_an_earlier_process_are_not_believed():
    one, other = one_and_other()
    record_crash(one, "a")
    exchange(one, other)
    reborn = router(2, 2_002)
    # The first request still means the process that is gone.
    _, answer = exchange(one, reborn)
    assert answer.quarantine_positions.seen == 0
    record_crash(one, "b")
    exchange(one, reborn)
    exchange(one, reborn)
    assert reborn.entries == one.entries


def test_position_beyond_the_log_is_not_believed():
    one, other = one_and_other()
    record_crash(one, "a")
    said = other.node.heartbeat(1.0, 1.0, receiver=one.member)
    wrong = attrs.evolve(said.quarantine_positions, seen=99)
    one.node.receive(attrs.evolve(said, quarantine_positions=wrong), 1.0, 1.0)
    request, _ = exchange(one, other)
    assert names(request) == ["a"]


def test_entries_beyond_the_limit_of_a_message_are_sent_later(monkeypatch):
    monkeypatch.setattr(messages, "MAX_QUARANTINE", 4)
    one, other = one_and_other()
    for number in range(10):
        record_crash(one, f"r{number}")
    counts = [len(exchange(one, other)[0].quarantine) for _ in range(4)]
    assert counts == [4, 4, 2, 0]
    assert one.entries == other.entries


def test_position_is_not_believed_if_entries_were_not_read(monkeypatch):
    one, other = one_and_other()
    for number in range(10):
        record_crash(one, f"r{number}")
    called = one.node.table.peer_at(other.node.address, 1.0)
    wire = messages.to_wire(one.node.heartbeat(1.0, 1.0, receiver=called))
    monkeypatch.setattr(messages, "MAX_QUARANTINE", 4)
    read = messages.from_wire(wire)
    assert read.quarantine_positions.position is None
    assert len(read.quarantine) == 4


def test_positions_of_forgotten_peers_are_dropped():
    one, _ = one_and_other()
    assert len(one.node._positions) == 1
    later_s = 1.0 + 2 * routers.FORGET_FACTOR * SILENT_S
    one.node.table.peers(later_s)
    one.node.heartbeat(later_s, later_s)
    assert len(one.node._positions) == 0


class Channels:
    """A channel pool whose peers take urgent news when they are let."""

    def __init__(self):
        self.told = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    @contextlib.asynccontextmanager
    async def stub_for(self, address):
        yield self

    async def Tell(self, heartbeat, timeout):
        self.told.append(names(messages.from_wire(heartbeat)))
        await self.may_answer.wait()


def telling():
    """Return a router with one peer, and what it tells the peer."""
    one, _ = one_and_other()
    one.client._channels = channels = Channels()
    one.node.table.peers = lambda now_s: [
        routers.Member("router-002", address(2), 1_002)
    ]
    return one, channels


async def test_broken_attempts_without_a_new_crash_tell_peers_nothing():
    """Attempts that break at once each told all peers of all crashes."""
    one, channels = telling()
    record_crash(one, "a", time.time())
    for _ in range(20):
        one.client.start_telling_crashes()
    await one.client.tell_crashes(1.0)
    assert channels.told == [["a"]]
    for _ in range(20):
        record_crash(one, "a", time.time())
        one.client.start_telling_crashes()
    await one.client.tell_crashes(1.0)
    assert channels.told == [["a"]]
    record_crash(one, "b", time.time())
    await one.client.tell_crashes(1.0)
    assert channels.told == [["a"], ["b"]]


async def test_other_urgent_news_is_told_without_crashes():
    one, channels = telling()
    await one.client.broadcast_urgent(1.0)
    assert channels.told == [[]]


async def test_caller_waits_until_a_crash_told_for_another_is_known():
    """The answer to its resend may come before peers know of the crash."""
    one, channels = telling()
    channels.may_answer.clear()
    record_crash(one, "a", time.time())
    first = asyncio.ensure_future(one.client.tell_crashes(30.0))
    while not channels.told:
        await asyncio.sleep(0)
    second = asyncio.ensure_future(one.client.tell_crashes(30.0))
    for _ in range(5):
        await asyncio.sleep(0)
    assert not second.done()
    channels.may_answer.set()
    await asyncio.wait_for(asyncio.gather(first, second), 30.0)
    assert channels.told == [["a"]]
