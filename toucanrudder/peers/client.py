"""Exchanges heartbeats with other routers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import functools
import logging
import random
import time

import attrs
from grpc import aio

from toucanrudder.admission import caps
from toucanrudder.document import serialisation
from toucanrudder.membership import routers
from toucanrudder.peers import cap_words
from toucanrudder.peers import changes
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peers_pb2
from toucanrudder.peers import peers_pb2_grpc
from toucanrudder.peers import server
from toucanrudder.placement import rendezvous
from toucanrudder.store import fanout
from toucanrudder.store import feed

LOG = logging.getLogger(__name__)

#: Peers exchanged with in one interval.  Bounds the cost however many
#: routers there are; what a router does not hear itself is passed on.
MAX_PEERS = 4

#: The same where many routers live, each of which passes on more of what
#: it has heard: an exchange costs both sides 0.8 ms, and at four in an
#: interval 82 routers that do nothing else use two cores.
MAX_PEERS_OF_MANY = 2
MANY_ROUTERS = 16

#: The same when there is news that cannot wait.
MAX_PEERS_FOR_NEWS = 8

#: Part of the interval within which a peer that was heard is left out: an
#: exchange tells both sides, so one of the two has to begin it.
HEARD_SHARE = 0.7

#: Peers told of urgent news; in larger fleets the exchanges carry it on.
MAX_TOLD = 32

#: Time for which urgent news waits for more of it.
GATHER_S = 0.02

#: Peers of many with which exchanges are begun.  Always the same ones, as
#: ranked by this router's name: a channel costs both sides more than an
#: exchange does, and so few carry a word to all as fast as all would.
PARTNERS = 16

#: Channels kept open, beside those that are being used.
MAX_CHANNELS = 64

#: A document may be a megabyte, and a peer slow.
DOCUMENT_S = 5.0

#: Least time between two rounds that news calls for.
HASTE_S = 0.05


@attrs.define(eq=False)
class _Lent:
    """A channel, and how many calls wait on it."""

    channel: aio.Channel
    calls: int = 0
    is_dropped: bool = False


class ChannelPool:
    """Channels to peers, by address; a failed one is not used again.

    Failure: a channel is closed, since another call on it has failed or
    since it was the oldest of many, while a question for changes waits on
    it.  The library cancels that question, and a cancellation passes
    through every layer as if the router itself stopped.  Symptom: the task
    that follows the registry ends, and what it keeps stays as it is.  So a
    channel is closed by the last call that uses it; each has a deadline.

    Parameters
    ----------
    credentials : peer_credentials.Credentials or None
        For mutual TLS.
    """

    def __init__(self, credentials: peer_credentials.Credentials | None):
        self._credentials = credentials
        self._channels: dict[str, _Lent] = {}

    def _open(self, address: str) -> aio.Channel:
        if self._credentials is None:
            return aio.insecure_channel(address, compression=server.PACKED)
        options = [
            ("grpc.ssl_target_name_override", peer_credentials.PEER_NAME)
        ]
        return aio.secure_channel(
            address, self._credentials.client(), options, server.PACKED
        )

    @contextlib.asynccontextmanager
    async def stub_for(
        self, address: str
    ) -> AsyncIterator[peers_pb2_grpc.PeersStub]:
        """Lend a stub for one call to the peer at the address."""
        lent = self._channels.pop(address, None)
        if lent is None:
            lent = _Lent(self._open(address))
        # Last used comes last.
        self._channels[address] = lent
        lent.calls += 1
        try:
            await self._drop_oldest()
            yield peers_pb2_grpc.PeersStub(lent.channel)
        finally:
            lent.calls -= 1
            await self._close_unused(lent)

    async def _drop_oldest(self) -> None:
        unused = [a for a, lent in self._channels.items() if not lent.calls]
        for address in unused[: max(0, len(self._channels) - MAX_CHANNELS)]:
            await self.drop(address)

    async def drop(self, address: str) -> None:
        """Give the channel up, so that the next call connects anew."""
        lent = self._channels.pop(address, None)
        if lent is not None:
            lent.is_dropped = True
            await self._close_unused(lent)

    async def _close_unused(self, lent: _Lent) -> None:
        if lent.is_dropped and not lent.calls:
            await lent.channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self.drop(address)


class PeerClient:
    """Sends heartbeats and fetches newer documents.

    Parameters
    ----------
    node : nodes.Node
        Builds heartbeats and takes in answers.
    offer : callable
        Takes a peer's document.
    seeds : iterable of str
        ``IP:port`` of peers to begin with.
    credentials : peer_credentials.Credentials or None
        For mutual TLS.
    interval_s : float
        Seconds between two rounds.
    silent_s : float
        Silence after which a peer counts as gone.
    rng : random.Random
        Chooses peers and jitter.
    decode : callable
        Reads the bytes of a peer's document.
    """

    def __init__(
        self,
        node: nodes.Node,
        offer: Callable[[nodes.Document], bool],
        seeds: Iterable[str],
        credentials: peer_credentials.Credentials | None,
        *,
        interval_s: float,
        silent_s: float,
        rng: random.Random,
        decode: Callable[[bytes], nodes.Document] = serialisation.decode,
    ):
        self._decode = decode
        self._node = node
        self._offer = offer
        self._seeds = tuple(seeds)
        self._interval_s = interval_s
        # A call to a silent peer must end while others still count it
        # as live, or its first lost answer would make it gone.
        self._deadline_s = silent_s / 2
        self._rng = rng
        self._channels = ChannelPool(credentials)
        self._busy: set[str] = set()
        self._fetching = False
        self._own_addresses: set[str] = set()
        self._haste = asyncio.Event()
        self._heard_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._round: asyncio.Task | None = None
        self._ranked_of: tuple[routers.Member, ...] = ()
        self._ranked: list[str] = []

    def exchange_soon(self) -> None:
        """Exchange soon: there is news that cannot wait for the interval."""
        self._haste.set()

    async def broadcast_urgent(self, within_s: float) -> None:
        """Tell reachable peers what cannot wait, until they have it.

        Failure: many engines are about to load weights, and peers are told
        of each by a round of its own.  Symptom: the router that gives the
        orders does nothing else, and its callers wait.  Who asks within
        `GATHER_S` shares a round, and a round carries nothing but news.

        Parameters
        ----------
        within_s : float
            Longest wait; peers that are silent hold nobody up for longer.
        """
        # One that was cancelled with all other tasks tells nobody.
        if self._round is None or self._round.done():
            self._round = self._start(self._told_round())
        await asyncio.wait([self._round], timeout=within_s)

    async def _told_round(self) -> None:
        await asyncio.sleep(GATHER_S)
        # Whoever asks from now on may have news that this one lacks.
        self._round = None
        now_s = time.monotonic()
        told = messages.to_wire(
            self._node.urgent_heartbeat(now_s, time.time())
        )
        known = self._node.table.peers(now_s)
        chosen = self._rng.sample(known, min(len(known), MAX_TOLD))
        await asyncio.gather(
            *(self._tell(member.address, told) for member in chosen)
        )

    async def _tell(self, address: str, told: peers_pb2.Heartbeat) -> None:
        try:
            async with self._channels.stub_for(address) as stub:
                await stub.Tell(told, timeout=self._deadline_s)
        except aio.AioRpcError as error:
            await self._failed(address, error)

    async def fetch_changes(
        self,
        address: str,
        kind: str,
        position: feed.Position,
        *,
        wait_s: float,
        deadline_s: float,
    ) -> fanout.ReaderReply | None:
        """Ask a peer what it has read from the store after a position.

        Returns
        -------
        fanout.ReaderReply or None
            None if no answer came in time.
        """
        request = peers_pb2.ChangesRequest(
            kind=kind,
            revision=position.revision,
            era=position.era,
            wait_s=wait_s,
        )
        return await self._asked(
            address,
            lambda stub: stub.GetChanges(request, timeout=deadline_s),
            functools.partial(changes.from_wire, kind),
        )

    async def use_cap(
        self,
        address: str,
        organisation: str,
        units: float,
        is_settlement: bool,
        *,
        deadline_s: float,
    ) -> caps.Decision | None:
        """Ask the owner of a usage cap for units of it.

        Returns
        -------
        caps.Decision or None
            None if the peer is not the owner, or gave no answer.
        """
        request = peers_pb2.CapRequest(
            organisation=organisation,
            units=units,
            is_settlement=is_settlement,
        )
        return await self._asked(
            address,
            lambda stub: stub.UseCap(request, timeout=deadline_s),
            cap_words.from_wire,
        )

    async def _asked(
        self,
        address: str,
        ask: Callable[[peers_pb2_grpc.PeersStub], Awaitable],
        read: Callable,
    ):
        """Return what a peer answers; None if there is nothing to read."""
        try:
            async with self._channels.stub_for(address) as stub:
                reply = await ask(stub)
            return read(reply)
        except (aio.AioRpcError, ValueError) as error:
            await self._failed(address, error)
            return None

    def handle_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Fetch the sender's document if it is newer."""
        self._heard_s[heartbeat.sender.address] = time.monotonic()
        if heartbeat.generation > self._node.generation():
            self._start_fetch(heartbeat.sender.address)

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            hurried = False
            while True:
                for address in self._targets(time.monotonic(), hurried):
                    self._start(self._exchange(address))
                hurried = await self._pause()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._channels.close()

    async def _pause(self) -> bool:
        """Wait for the next round; say whether news called for it."""
        await asyncio.sleep(HASTE_S)
        # Jitter keeps routers that started together from exchanging in
        # step for ever.
        wait_s = self._interval_s * self._rng.uniform(0.8, 1.0) - HASTE_S
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                await self._haste.wait()
            return True
        except TimeoutError:
            return False
        finally:
            self._haste.clear()

    def _targets(self, now_s: float, hurried: bool) -> list[str]:
        peers = self._node.table.peers(now_s)
        are_many = len(peers) > MANY_ROUTERS
        room = MAX_PEERS_OF_MANY if are_many else MAX_PEERS
        if hurried:
            room = MAX_PEERS_FOR_NEWS
        strangers = self._strangers(peers)
        known = self._partners(peers)
        if not hurried:
            known = self._unheard(known, now_s)
        # One place is kept for a seed not heard of: two groups of
        # routers that lost each other must find each other again.
        kept = 1 if strangers else 0
        count = min(len(known), room - kept)
        chosen = self._rng.sample(known, count)
        count = min(len(strangers), room - len(chosen))
        chosen += self._rng.sample(strangers, count)
        return [address for address in chosen if address not in self._busy]

    def _strangers(self, peers: tuple[routers.Member, ...]) -> list[str]:
        """Return the seeds that have not been heard of."""
        known = {each.address for each in peers} | self._own_addresses
        return [seed for seed in self._seeds if seed not in known]

    def _partners(self, peers: tuple[routers.Member, ...]) -> list[str]:
        """Return the addresses with which exchanges are begun."""
        if len(peers) <= MANY_ROUTERS:
            return [each.address for each in peers]
        if peers is not self._ranked_of:
            # One that comes or goes takes the place of one partner.
            addresses = {each.name: each.address for each in peers}
            key = self._node.name.encode()[:64]
            names = rendezvous.ranked(key, addresses)[:PARTNERS]
            self._ranked = [addresses[name] for name in names]
            self._ranked_of = peers
        return self._ranked

    def _unheard(self, known: list[str], now_s: float) -> list[str]:
        """Return the peers that were not heard lately; forget others."""
        self._heard_s = {
            address: heard_s
            for address, heard_s in self._heard_s.items()
            if now_s - heard_s < HEARD_SHARE * self._interval_s
        }
        return [each for each in known if each not in self._heard_s]

    def _start(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(self, address: str) -> None:
        self._busy.add(address)
        try:
            heartbeat = self._node.heartbeat(time.monotonic(), time.time())
            async with self._channels.stub_for(address) as stub:
                answer = await stub.Exchange(
                    messages.to_wire(heartbeat), timeout=self._deadline_s
                )
            answer = messages.from_wire(answer)
        except (aio.AioRpcError, messages.BadHeartbeat) as error:
            await self._failed(address, error)
            return
        finally:
            self._busy.discard(address)
        if self._node.is_self(answer.sender):
            self._own_addresses.add(address)
            return
        self._heard_s[address] = time.monotonic()
        self._node.receive(answer, time.monotonic(), time.time())
        if answer.generation > self._node.generation():
            self._start_fetch(address)

    async def _failed(self, address: str, error: Exception) -> None:
        reason = "unreadable_answer"
        if isinstance(error, aio.AioRpcError):
            reason = error.code().name.lower()
        nodes.count_refusal(reason)
        LOG.debug("exchange failed", extra={"peer": address, "code": reason})
        # The connection may have gone silent for good while new ones
        # work.  gRPC would go on using it; the next call opens another.
        await self._channels.drop(address)

    def _start_fetch(self, address: str) -> None:
        if not self._fetching:
            self._fetching = True
            self._start(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        try:
            async with self._channels.stub_for(address) as stub:
                reply = await stub.GetDocument(
                    peers_pb2.DocumentRequest(), timeout=DOCUMENT_S
                )
            if reply.accepted_json:
                self._offer(self._decode(reply.accepted_json))
        except aio.AioRpcError as error:
            await self._failed(address, error)
        except Exception:
            # A peer of a newer version may hold what cannot be read here.
            nodes.count_refusal("unreadable_document")
            LOG.exception("a peer's document cannot be read")
        finally:
            self._fetching = False
