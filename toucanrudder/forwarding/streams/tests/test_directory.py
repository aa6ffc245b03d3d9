"""Origins of streams outlive the routers that began them."""

import asyncio
import random

import attrs
import pytest

from toucanrudder import clock
from toucanrudder.forwarding.streams import directory
from toucanrudder.forwarding.streams import origins
from toucanrudder.membership import routers
from toucanrudder.peers import origins as messages
from toucanrudder.peers import peers_pb2

STREAMS = 200
DEADLINE_S = 10.0


class Fleet:
    """Directories that call each other directly."""

    def __init__(self, size):
        self.members = [
            routers.Member(f"r{number}", f"r{number}:1", 1)
            for number in range(size)
        ]
        self.lives = {member.name for member in self.members}
        # What all routers take for live; dead ones stay until detected.
        self.known = tuple(self.members)
        self.calls = 0
        self.bytes = 0
        self.may_keep = asyncio.Event()
        self.may_keep.set()
        self.directories = {
            member.name: self._directory(member.name)
            for member in self.members
        }
        self.views = {}

    def _directory(self, name):
        return directory.OriginDirectory(
            name,
            lambda: self._peers(name),
            lambda now_s: {"s"},
            self._keep,
            self._ask,
        )

    def _peers(self, name):
        known, peers = self.views.get(name, (None, ()))
        if known is not self.known:
            peers = tuple(each for each in self.known if each.name != name)
            self.views[name] = (self.known, peers)
        return peers

    def _alive(self, address):
        name = address.partition(":")[0]
        return self.directories[name] if name in self.lives else None

    async def _keep(self, address, records):
        await self.may_keep.wait()
        keeper = self._alive(address)
        if keeper is None:
            return False
        wire = messages.records_to_wire(records).SerializeToString()
        self.calls += 1
        self.bytes += len(wire)
        parsed = peers_pb2.OriginRecords.FromString(wire)
        keeper.keep(messages.records_from_wire(parsed))
        return True

    async def _ask(self, address, key):
        keeper = self._alive(address)
        if keeper is None:
            return False, None
        return True, keeper.answer(key)

    def kill(self, names):
        self.lives -= set(names)

    def restart(self, number):
        """Restart a router, faster than its silence is noticed."""
        member = self.members[number]
        self.members[number] = attrs.evolve(
            member, incarnation=member.incarnation + 1
        )
        self.directories[member.name] = self._directory(member.name)
        self.detect()

    def detect(self):
        self.known = tuple(
            member for member in self.members if member.name in self.lives
        )

    async def settle(self):
        """Let all directories send what they have to."""
        async with asyncio.timeout(DEADLINE_S):
            for _ in range(2):
                for name in sorted(self.lives):
                    each = self.directories[name]
                    each._refresh()
                    each.share(clock.now_s(), {"s"})
                    each._send_pending()
                    await asyncio.gather(*each._tasks)


def record(number, order=1, version="v1"):
    key = origins.stream_key("north", f"stream{number}")
    return messages.OriginRecord(key, "s", version, order, 60.0)


async def begin_streams(fleet, rng):
    """Begin streams at random routers; return these by stream."""
    began = [rng.choice(sorted(fleet.lives)) for _ in range(STREAMS)]
    for number, name in enumerate(began):
        fleet.directories[name].record(
            record(number), clock.now_s(), is_shared=True
        )
    await fleet.settle()
    return began


async def found_share(fleet, rng, numbers):
    """Return the share of streams whose origin a random router finds."""
    found = 0
    for number in numbers:
        asker = fleet.directories[rng.choice(sorted(fleet.lives))]
        finding = await asker.find(record(number).key)
        found += finding.record is not None
    return found / len(numbers)


SIZES = [8, 82, 195]


@pytest.mark.parametrize("is_detected", [False, True])
@pytest.mark.parametrize("size", SIZES)
async def test_origin_is_found_after_the_router_that_began_it_has_died(
    size, is_detected
):
    fleet, rng = Fleet(size), random.Random(size)
    began = await begin_streams(fleet, rng)
    dead = began[0]
    fleet.kill([dead])
    if is_detected:
        fleet.detect()
    lost = [number for number in range(STREAMS) if began[number] == dead]
    assert await found_share(fleet, rng, lost) == 1.0


@pytest.mark.parametrize("size", SIZES)
async def test_origins_survive_routers_that_die_one_after_the_other(size):
    fleet, rng = Fleet(size), random.Random(size)
    await begin_streams(fleet, rng)
    for dead in rng.sample(sorted(fleet.lives), size // 2):
        fleet.kill([dead])
        fleet.detect()
        await fleet.settle()
    assert await found_share(fleet, rng, range(STREAMS)) == 1.0


@pytest.mark.parametrize("size", SIZES)
async def test_origins_survive_routers_that_restart_under_their_names(size):
    fleet, rng = Fleet(size), random.Random(size)
    await begin_streams(fleet, rng)
    for number in range(size):
        fleet.restart(number)
        await fleet.settle()
    assert await found_share(fleet, rng, range(STREAMS)) == 1.0


@pytest.mark.parametrize("size", SIZES)
async def test_router_that_joins_finds_origins_and_becomes_a_keeper(size):
    fleet, rng = Fleet(size), random.Random(size)
    joining = fleet.members[-1].name
    fleet.kill([joining])
    fleet.detect()
    await begin_streams(fleet, rng)
    fleet.lives.add(joining)
    fleet.detect()
    finding = [
        await fleet.directories[joining].find(record(number).key)
        for number in range(STREAMS)
    ]
    assert all(each.record is not None for each in finding)
    await fleet.settle()
    assert len(fleet.directories[joining].table) > 0


@pytest.mark.parametrize("size", SIZES)
async def test_a_stream_costs_few_calls_at_any_size(size):
    fleet, rng = Fleet(size), random.Random(size)
    await begin_streams(fleet, rng)
    assert fleet.calls <= directory.KEEPERS * STREAMS
    assert fleet.bytes <= directory.KEEPERS * STREAMS * 64


async def test_latest_attempt_of_a_request_counts():
    fleet = Fleet(8)
    first, second = fleet.directories["r0"], fleet.directories["r1"]
    first.record(record(1, 2, "v2"), clock.now_s(), is_shared=True)
    second.record(record(1, 1, "v1"), clock.now_s(), is_shared=True)
    await fleet.settle()
    for name in ("r0", "r2", "r3", "r4"):
        finding = await fleet.directories[name].find(record(1).key)
        assert finding.record.software_version == "v2"


async def test_keeper_that_stops_learns_of_later_attempts():
    """Guards against a stream that a stopping router takes up at the software
    of an attempt that has failed.
    """
    fleet = Fleet(8)
    began = fleet.directories["r0"]
    key = record(0).key
    began.record(record(0, 1, "v1"), clock.now_s(), is_shared=True)
    await fleet.settle()
    keepers = [
        name
        for name, each in fleet.directories.items()
        if name != "r0" and each.answer(key)
    ]
    assert keepers
    # Routers that stop are no peers any more, but serve callers for a while.
    fleet.known = tuple(
        member for member in fleet.members if member.name not in keepers
    )
    began.record(record(0, 9, "v2"), clock.now_s(), is_shared=True)
    await fleet.settle()
    for name in keepers:
        finding = await fleet.directories[name].find(key)
        assert finding.record.software_version == "v2"


@pytest.mark.parametrize(("version", "is_awaited"), [("v1", 0), ("v2", 1)])
async def test_stream_waits_for_peers_that_have_other_software(
    version, is_awaited
):
    """Guards against a caller that returns before the record of the attempt
    that began its stream has arrived.
    """
    fleet = Fleet(8)
    began = fleet.directories["r0"]
    key = record(0).key
    began.record(record(0, 1, "v1"), clock.now_s(), is_shared=True)
    await fleet.settle()
    keepers = [each for each in fleet.directories.values() if each.answer(key)]
    fleet.may_keep.clear()
    began.record(record(0, 9, version), clock.now_s(), is_shared=True)
    waiting = asyncio.ensure_future(began.settled(key))
    await asyncio.sleep(0.02)
    assert waiting.done() != is_awaited
    fleet.may_keep.set()
    await asyncio.wait_for(waiting, DEADLINE_S)
    for keeper in keepers:
        assert keeper.answer(key).software_version == version


async def test_record_of_another_stream_is_not_taken_for_an_answer():
    fleet = Fleet(3)

    async def answer_wrongly(address, key):
        return True, record(2)

    asker = fleet.directories["r0"]
    asker.ask_at = answer_wrongly
    finding = await asker.find(record(1).key)
    assert (finding.record, finding.answered) == (None, 2)


BAD_RECORDS = {
    "short key": {"key": b"short"},
    "no service": {"service": ""},
    "long version": {"software_version": "v" * 1000},
    "negative time": {"kept_for_s": -1.0},
    "endless time": {"kept_for_s": float("inf")},
    "no number": {"kept_for_s": float("nan")},
}


@pytest.mark.parametrize("bad", BAD_RECORDS.values(), ids=BAD_RECORDS.keys())
def test_malformed_records_of_peers_are_refused(bad):
    good = messages.to_wire(record(1))
    fields = {
        "key": good.key,
        "service": good.service,
        "software_version": good.software_version,
        "order": good.order,
        "kept_for_s": good.kept_for_s,
    }
    assert messages.from_wire(good).key == good.key
    with pytest.raises(ValueError):
        messages.from_wire(peers_pb2.OriginRecord(**fields | bad))
