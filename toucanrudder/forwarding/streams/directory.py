"""Origins of streams, shared with the routers at which they may go on.

Expected load: up to 250 streams per second over 195 routers, a few per cent
of which break.  Each router keeps the origins of its own streams.  Where a
service may have several software versions, it also sends them to the owners
of the stream's key, before the first event can reach the caller; a router
that is asked to resume a stream that it did not begin asks these.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from toucanrudder import clock
from toucanrudder.forwarding.streams import origins
from toucanrudder.membership import ownership
from toucanrudder.membership import routers
from toucanrudder.observability import metrics
from toucanrudder.peers import origins as messages

#: Routers to which a record is sent.
KEEPERS = 2

#: Routers that are asked, by rank: a keeper may have died, and a router that
#: has just started may have taken its rank.
ASKED = 4

#: Parts into which the keys of streams are divided, so that few rankings of
#: the live routers are needed.
PARTITIONS = 256

#: Time for which records are gathered before they are sent; an engine takes
#: longer until its first event.
BATCHING_S = 0.005

#: Longest wait for a peer: allows for a new channel between availability
#: zones, and a peer that is busy for a moment.
KEEP_TIMEOUT_S = 0.5
ASK_TIMEOUT_S = 0.25

#: Interval of the check for records that are to be shared.
CHECK_INTERVAL_S = 0.2

KeepAt = Callable[[str, Sequence[messages.OriginRecord]], Awaitable[bool]]
AskAt = Callable[
    [str, bytes], Awaitable[tuple[bool, messages.OriginRecord | None]]
]


async def _keep_nowhere(
    address: str, records: Sequence[messages.OriginRecord]
) -> bool:
    """Keep no records; used until the calls to peers are set."""
    return False


async def _ask_nobody(
    address: str, key: bytes
) -> tuple[bool, messages.OriginRecord | None]:
    """Return no record; used until the calls to peers are set."""
    return False, None


@attrs.frozen
class Finding:
    """Result of a search for a stream's origin.

    Parameters
    ----------
    record : messages.OriginRecord or None
        What began the stream, if it is known.
    asked, answered : int
        Peers that were asked, and those that answered.
    """

    record: messages.OriginRecord | None
    asked: int = 0
    answered: int = 0


@attrs.define(eq=False)
class OriginDirectory:
    """Keeps, shares and finds origins of streams.

    Parameters
    ----------
    name : str
        This router's name.
    peers : callable
        Returns the other live routers that are not stopping.
    shared_services : callable
        Given the monotonic time, returns the services whose records other
        routers may need.
    keep_at, ask_at : callable
        Send records to the peer at an address, and ask it for one.
    """

    name: str
    peers: Callable[[], tuple[routers.Member, ...]]
    shared_services: Callable[[float], set[str]]
    keep_at: KeepAt = _keep_nowhere
    ask_at: AskAt = _ask_nobody
    table: origins.OriginTable = attrs.field(factory=origins.OriginTable)
    _known_peers: tuple[routers.Member, ...] | None = None
    _members: dict[str, routers.Member] = attrs.field(factory=dict)
    _ownership: ownership.Ownership = attrs.field(
        factory=lambda: ownership.Ownership(ASKED)
    )
    _pending: dict[str, list[messages.OriginRecord]] = attrs.field(
        factory=dict
    )
    _due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _replacing: dict[bytes, asyncio.Future] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    # Streams of this router.

    def record(
        self, record: messages.OriginRecord, now_s: float, *, is_shared: bool
    ) -> None:
        """Record what is about to begin, or to continue, a stream.

        Peers that have the record of an earlier attempt are told as well,
        though they may be no keepers any more: one that is stopping still
        serves callers.

        Parameters
        ----------
        record : messages.OriginRecord
            The stream and the upstream's software.
        now_s : float
            Monotonic time.
        is_shared : bool
            Whether other routers may need it.
        """
        holders = self.table.holders(record.key)
        is_other = self.table.contradicts(record)
        self.table.put(record, now_s)
        entry = self.table.entry(record.key)
        if holders and is_other:
            self._replace(entry, holders, now_s)
        else:
            self._send(entry, holders, now_s)
        if is_shared:
            self._refresh()
            self._send(entry, self._keepers(record.key), now_s)

    def _replace(
        self,
        entry: origins.Entry,
        holders: frozenset[origins.Holder],
        now_s: float,
    ) -> None:
        """Send a record at once to peers that have one of other software."""
        key, records = entry.record.key, [entry.at(now_s)]
        entry.shared_with |= holders
        replacing = asyncio.gather(
            *(self._keep(holder.address, records) for holder in holders)
        )
        self._replacing[key] = replacing

        def forget(replaced: asyncio.Future) -> None:
            if self._replacing.get(key) is replaced:
                del self._replacing[key]

        replacing.add_done_callback(forget)

    async def settled(self, key: bytes) -> None:
        """Wait until no peer has a record of other software than the last.

        A peer that does not answer in time is not waited for.
        """
        replacing = self._replacing.get(key)
        if replacing is not None:
            await asyncio.wait([replacing])

    def _send(
        self,
        entry: origins.Entry,
        holders: frozenset[origins.Holder],
        now_s: float,
    ) -> None:
        """Send a record to peers, unless they have it."""
        for holder in holders - entry.shared_with:
            pending = self._pending.setdefault(holder.address, [])
            pending.append(entry.at(now_s))
            self._due.set()
        entry.shared_with |= holders

    def _keepers(self, key: bytes) -> frozenset[origins.Holder]:
        """Return the peers that are to have the record of a stream."""
        return frozenset(map(_holder_of, self._owners(key)[:KEEPERS]))

    def _owners(self, key: bytes) -> list[routers.Member]:
        """Return the peers that own a key, by rank."""
        partition = int.from_bytes(key[:2]) % PARTITIONS
        names = self._ownership.owners(f"stream/{partition}")
        return [self._members[name] for name in names]

    def _refresh(self) -> None:
        """Update the live routers, if they have changed."""
        peers = self.peers()
        if peers is not self._known_peers:
            self._known_peers = peers
            self._members = {peer.name: peer for peer in peers}
            self._ownership.update(sorted(self._members))

    def share(self, now_s: float, services: set[str]) -> None:
        """Send the records of services to keepers that lack them.

        Also those of other routers, which may have died since.
        """
        if not services:
            return
        for entry in self.table.entries(now_s):
            if entry.record.service in services:
                self._send(entry, self._keepers(entry.record.key), now_s)

    async def find(self, key: bytes) -> Finding:
        """Return what began a stream; ask the owners of its key."""
        now_s = clock.now_s()
        known = self.table.get(key, now_s)
        if known is not None:
            return Finding(known)
        self._refresh()
        owners = self._owners(key)
        replies = await asyncio.gather(
            *(self.ask_at(owner.address, key) for owner in owners)
        )
        records = [
            record
            for _, record in replies
            if record is not None and record.key == key
        ]
        return Finding(
            max(records, key=lambda record: record.order, default=None),
            len(owners),
            sum(is_answered for is_answered, _ in replies),
        )

    # Streams of other routers.

    def keep(self, records: Iterable[messages.OriginRecord]) -> None:
        """Keep records of a peer."""
        now_s = clock.now_s()
        self._refresh()
        for record in records:
            # The router that sent it has sent it to the other keepers too.
            self.table.put(record, now_s, self._keepers(record.key))

    def answer(self, key: bytes) -> messages.OriginRecord | None:
        """Return the record of a stream, if it is known here."""
        return self.table.get(key, clock.now_s())

    # Periodic work.

    async def run(self) -> None:
        """Send records to their keepers until cancelled."""
        checking = asyncio.ensure_future(self._check())
        try:
            while True:
                await self._due.wait()
                await asyncio.sleep(BATCHING_S)
                self._due.clear()
                self._send_pending()
        finally:
            for task in [checking, *self._tasks, *self._replacing.values()]:
                task.cancel()

    async def _check(self) -> None:
        while True:
            now_s = clock.now_s()
            self.table.expire(now_s)
            self._refresh()
            self.share(now_s, self.shared_services(now_s))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _send_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for address, records in pending.items():
            for first in range(0, len(records), messages.MAX_RECORDS):
                batch = records[first : first + messages.MAX_RECORDS]
                task = asyncio.ensure_future(self._keep(address, batch))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _keep(
        self, address: str, records: Sequence[messages.OriginRecord]
    ) -> None:
        is_kept = await self.keep_at(address, records)
        metrics.counter(
            "toucanrudder_stream_origins", "Origins of streams sent to peers"
        ).add(len(records), {"kept": str(is_kept).lower()})


def _holder_of(member: routers.Member) -> origins.Holder:
    return origins.Holder(
        f"{member.name}/{member.incarnation}", member.address
    )
