"""Calls to other routers: heartbeats, documents, changes, caps."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import functools
import logging
import random
import time

import attrs
import grpc
from grpc import aio

from toucanrudder import stalls
from toucanrudder.admission import caps
from toucanrudder.document import serialisation
from toucanrudder.membership import routers
from toucanrudder.peers import cap_messages
from toucanrudder.peers import changes
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import documents
from toucanrudder.peers import handovers
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import origins
from toucanrudder.peers import peers_pb2
from toucanrudder.peers import peers_pb2_grpc
from toucanrudder.peers import server
from toucanrudder.placement import rendezvous
from toucanrudder.store import fanout
from toucanrudder.store import feed

LOG = logging.getLogger(__name__)

#: Exchanges that a router begins in one interval.  Bounds the cost for any
#: number of routers; heartbeats not received directly are gossiped.
MAX_EXCHANGES = 4

#: The same for more than `LARGE_FLEET_SIZE` peers, each of which gossips
#: more members.  An exchange costs both sides 0.8 ms; with four in an
#: interval, 82 otherwise idle routers would use two cores.
MAX_EXCHANGES_LARGE_FLEET = 2
LARGE_FLEET_SIZE = 16

#: The same when there is urgent news.
MAX_EXCHANGES_URGENT = 8

#: Fraction of the interval for which a peer is skipped after an exchange:
#: an exchange informs both sides, so only one of them has to begin it.
RECENT_FRACTION = 0.7

#: Receivers of a broadcast; in larger fleets the exchanges pass it on.
MAX_BROADCAST_PEERS = 32

#: Time for which urgent news is batched before it is broadcast.
BROADCAST_BATCHING_S = 0.02

#: Peers with which a router of a large fleet begins exchanges.  They are
#: always the same, by rendezvous hashing of this router's name, as a new
#: channel costs both sides more than an exchange.  With so few, gossip
#: spreads as fast as with all.
PARTNERS = 16

#: Channels kept open, in addition to those in use.
MAX_CHANNELS = 64

#: Deadline for fetching a document of up to a megabyte from a slow peer.
DOCUMENT_TIMEOUT_S = 5.0

#: Shortest time between two rounds, also for urgent news.
MIN_ROUND_INTERVAL_S = 0.05


@attrs.define(eq=False)
class _PooledChannel:
    """A channel and the number of calls in flight on it."""

    channel: aio.Channel
    calls: int = 0
    is_discarded: bool = False


class ChannelPool:
    """Channels to peers, by address; a failed one is not used again.

    A channel is discarded when a call on it has failed, or when it is the
    oldest of too many, and closed by the last call in flight on it; each
    call has a deadline.  If it were closed at once, gRPC would cancel the
    other calls on it.  A cancelled query for changes looks like the stop
    of the router itself: the task that watches the registry would end, and
    its table would never be updated again.

    Parameters
    ----------
    credentials : peer_credentials.Credentials or None
        Credentials for mutual TLS.
    """

    def __init__(self, credentials: peer_credentials.Credentials | None):
        self._credentials = credentials
        self._channels: dict[str, _PooledChannel] = {}

    def _open(self, address: str) -> aio.Channel:
        if self._credentials is None:
            return aio.insecure_channel(
                address, compression=server.COMPRESSION
            )
        options = [
            ("grpc.ssl_target_name_override", peer_credentials.PEER_NAME)
        ]
        return aio.secure_channel(
            address, self._credentials.client(), options, server.COMPRESSION
        )

    @contextlib.asynccontextmanager
    async def stub_for(
        self, address: str
    ) -> AsyncIterator[peers_pb2_grpc.PeersStub]:
        """Yield a stub for one call to the peer at the address."""
        pooled = self._channels.pop(address, None)
        if pooled is None:
            pooled = _PooledChannel(self._open(address))
        # The most recently used channel comes last.
        self._channels[address] = pooled
        pooled.calls += 1
        try:
            await self._discard_oldest()
            yield peers_pb2_grpc.PeersStub(pooled.channel)
        finally:
            pooled.calls -= 1
            await self._close_unused(pooled)

    async def _discard_oldest(self) -> None:
        unused = [
            a for a, pooled in self._channels.items() if not pooled.calls
        ]
        for address in unused[: max(0, len(self._channels) - MAX_CHANNELS)]:
            await self.discard(address)

    async def discard(self, address: str) -> None:
        """Discard the channel, so that the next call opens a new one."""
        pooled = self._channels.pop(address, None)
        if pooled is not None:
            pooled.is_discarded = True
            await self._close_unused(pooled)

    async def _close_unused(self, pooled: _PooledChannel) -> None:
        if pooled.is_discarded and not pooled.calls:
            await pooled.channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self.discard(address)


class PeerClient:
    """Exchanges heartbeats with peers and fetches newer documents.

    Parameters
    ----------
    node : nodes.Node
        Builds heartbeats and receives those of peers.
    offer : callable
        Given a peer's document.
    seeds : iterable of str
        ``IP:port`` of the first peers to contact.
    credentials : peer_credentials.Credentials or None
        Credentials for mutual TLS.
    interval_s : float
        Seconds between two rounds.
    silent_s : float
        Seconds without a heartbeat after which a peer counts as dead.
    rng : random.Random
        Source of jitter and of the choice of peers.
    decode : callable
        Decodes the bytes of a peer's document.
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
        # A call to a silent peer must end well before `silent_s`, or a
        # single lost answer would make the peer count as dead.
        self._deadline_s = silent_s / 2
        self._rng = rng
        self._channels = ChannelPool(credentials)
        self._busy: set[str] = set()
        self._documents = documents.DocumentFetcher(
            node.generation, self._fetch, self._spawn, rng
        )
        self._own_addresses: set[str] = set()
        self._urgent = asyncio.Event()
        self._first_news = asyncio.Event()
        self._first_news_by_s: float | None = None
        self._last_exchange_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._pending_broadcast: asyncio.Task | None = None
        self._last_broadcast: asyncio.Task | None = None
        self._partners_of: tuple[routers.Member, ...] = ()
        self._ranked_partners: list[str] = []

    def exchange_soon(self) -> None:
        """Start the next round without waiting for the interval."""
        self._urgent.set()

    async def wait_for_first_news(self, within_s: float) -> None:
        """Wait until a peer has told what it knows, if there are peers.

        Parameters
        ----------
        within_s : float
            Longest wait in seconds since the first call, for peers that do
            not answer.
        """
        if self._first_news.is_set():
            return
        now_s = stalls.running_s()
        if not self._seeds and not self._node.table.peers(now_s):
            return
        if self._first_news_by_s is None:
            self._first_news_by_s = now_s + within_s
        if now_s >= self._first_news_by_s:
            return
        self.exchange_soon()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._first_news_by_s - now_s):
                await self._first_news.wait()

    async def broadcast_urgent(self, within_s: float) -> None:
        """Send urgent news to reachable peers and wait for their answers.

        Calls within `BROADCAST_BATCHING_S` share a broadcast, which holds
        urgent news only.  With a broadcast for each of many engines that
        are about to load weights, the router that orders them would be
        busy with nothing else while its callers wait.

        Parameters
        ----------
        within_s : float
            Longest wait in seconds, so that silent peers delay no one
            further.
        """
        await asyncio.wait([self.start_broadcast()], timeout=within_s)

    def start_broadcast(self) -> asyncio.Task:
        """Start to send urgent news, or return the round that will do so."""
        # A broadcast that was cancelled with all other tasks sends nothing.
        if self._pending_broadcast is None or self._pending_broadcast.done():
            self._pending_broadcast = self._spawn(self._broadcast_round())
            self._last_broadcast = self._pending_broadcast
        return self._pending_broadcast

    def start_telling_crashes(self) -> None:
        """Start to tell peers of crashes, if some noted here are new."""
        if self._node.has_quarantine_news(time.time()):
            self.start_broadcast()

    async def tell_crashes(self, within_s: float) -> None:
        """Wait until peers have been told of the crashes noted here.

        Parameters
        ----------
        within_s : float
            As for `broadcast_urgent`.
        """
        self.start_telling_crashes()
        if self._last_broadcast is not None:
            await asyncio.wait([self._last_broadcast], timeout=within_s)

    async def _broadcast_round(self) -> None:
        await asyncio.sleep(BROADCAST_BATCHING_S)
        # Later calls may have news that this broadcast does not contain.
        self._pending_broadcast = None
        now_s = stalls.running_s()
        heartbeat = messages.to_wire(
            self._node.urgent_heartbeat(now_s, time.time())
        )
        candidates = self._node.table.peers(now_s)
        chosen = self._rng.sample(
            candidates, min(len(candidates), MAX_BROADCAST_PEERS)
        )
        await asyncio.gather(
            *(
                self._send_urgent(member.address, heartbeat)
                for member in chosen
            )
        )

    async def _send_urgent(
        self, address: str, heartbeat: peers_pb2.Heartbeat
    ) -> None:
        try:
            async with self._channels.stub_for(address) as stub:
                await stub.Tell(heartbeat, timeout=self._deadline_s)
        except aio.AioRpcError as error:
            await self._handle_failure(address, error)

    async def fetch_changes(
        self,
        address: str,
        kind: str,
        position: feed.Position,
        *,
        wait_s: float,
        deadline_s: float,
    ) -> fanout.ReaderReply | None:
        """Ask a peer for the changes that it read from the store.

        Returns
        -------
        fanout.ReaderReply or None
            None if no valid answer came in time.
        """
        request = peers_pb2.ChangesRequest(
            kind=kind,
            revision=position.revision,
            era=position.era,
            wait_s=wait_s,
        )
        return await self._call(
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
        return await self._call(
            address,
            lambda stub: stub.UseCap(request, timeout=deadline_s),
            cap_messages.from_wire,
        )

    async def keep_origins(
        self,
        address: str,
        records: Sequence[origins.OriginRecord],
        *,
        deadline_s: float,
    ) -> bool:
        """Let a peer keep what began some streams; return whether it does."""
        wire = origins.records_to_wire(records)
        reply = await self._call(
            address,
            lambda stub: stub.KeepOrigins(wire, timeout=deadline_s),
            lambda taken: True,
        )
        return reply is not None

    async def find_origin(
        self, address: str, key: bytes, *, deadline_s: float
    ) -> tuple[bool, origins.OriginRecord | None]:
        """Ask a peer what began a stream.

        Returns
        -------
        tuple of bool and origins.OriginRecord or None
            Whether the peer answered, and the record if it has one.
        """
        query = peers_pb2.OriginQuery(key=key)
        found = await self._call(
            address,
            lambda stub: stub.FindOrigin(query, timeout=deadline_s),
            lambda reply: (True, origins.found_from_wire(reply)),
        )
        return found or (False, None)

    @contextlib.asynccontextmanager
    async def hand_over(
        self, address: str, deadline_s: float
    ) -> AsyncIterator[handovers.OutgoingExchange]:
        """Begin to hand a request over; cancel it at the end of the block.

        Raises
        ------
        BadExchange, grpc.aio.AioRpcError, TimeoutError
            As in the block, which must handle them.
        """
        try:
            async with self._channels.stub_for(address) as stub:
                call = stub.HandOver(
                    timeout=deadline_s,
                    compression=grpc.Compression.NoCompression,
                )
                try:
                    yield handovers.OutgoingExchange(call)
                finally:
                    call.cancel()
        except (
            aio.AioRpcError,
            handovers.BadExchange,
            TimeoutError,
        ) as error:
            await self._handle_failure(address, error)
            raise

    async def _call(
        self,
        address: str,
        send: Callable[[peers_pb2_grpc.PeersStub], Awaitable],
        decode_reply: Callable,
    ):
        """Return a peer's decoded answer; None without a valid one."""
        try:
            async with self._channels.stub_for(address) as stub:
                reply = await send(stub)
            return decode_reply(reply)
        except (aio.AioRpcError, ValueError) as error:
            await self._handle_failure(address, error)
            return None

    def handle_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Note a received heartbeat; fetch the sender's document if newer."""
        self._last_exchange_s[heartbeat.sender.address] = stalls.running_s()
        self._documents.record(heartbeat.sender.address, heartbeat.generation)

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            is_urgent = False
            while True:
                for address in self._exchange_targets(
                    stalls.running_s(), is_urgent
                ):
                    self._spawn(self._exchange(address))
                is_urgent = await self._wait_for_round()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._channels.close()

    async def _wait_for_round(self) -> bool:
        """Wait for the next round; return whether urgent news started it."""
        await asyncio.sleep(MIN_ROUND_INTERVAL_S)
        # Jitter keeps routers that started together from exchanging in
        # lockstep.
        wait_s = (
            self._interval_s * self._rng.uniform(0.8, 1.0)
            - MIN_ROUND_INTERVAL_S
        )
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                await self._urgent.wait()
            return True
        except TimeoutError:
            return False
        finally:
            self._urgent.clear()

    def _exchange_targets(self, now_s: float, is_urgent: bool) -> list[str]:
        peers = self._node.table.peers(now_s)
        is_large_fleet = len(peers) > LARGE_FLEET_SIZE
        max_exchanges = (
            MAX_EXCHANGES_LARGE_FLEET if is_large_fleet else MAX_EXCHANGES
        )
        if is_urgent:
            max_exchanges = MAX_EXCHANGES_URGENT
        unknown_seeds = self._unknown_seeds(peers)
        candidates = self._partners(peers)
        if not is_urgent:
            candidates = self._without_recent_exchange(candidates, now_s)
        # One exchange is reserved for a seed that is not a known peer, so
        # that two partitions of the fleet find each other again.
        reserved = 1 if unknown_seeds else 0
        count = min(len(candidates), max_exchanges - reserved)
        chosen = self._rng.sample(candidates, count)
        count = min(len(unknown_seeds), max_exchanges - len(chosen))
        chosen += self._rng.sample(unknown_seeds, count)
        return [address for address in chosen if address not in self._busy]

    def has_unknown_seeds(self) -> bool:
        """Whether a seed is the address of no live router."""
        return bool(
            self._unknown_seeds(self._node.table.peers(stalls.running_s()))
        )

    def _unknown_seeds(self, peers: tuple[routers.Member, ...]) -> list[str]:
        """Return the seeds that are not known peers."""
        known = {peer.address for peer in peers} | self._own_addresses
        known.add(self._node.address)
        return [seed for seed in self._seeds if seed not in known]

    def _partners(self, peers: tuple[routers.Member, ...]) -> list[str]:
        """Return the addresses of the peers to begin exchanges with."""
        if len(peers) <= LARGE_FLEET_SIZE:
            return [peer.address for peer in peers]
        if peers is not self._partners_of:
            # A router that joins or leaves replaces at most one partner.
            addresses = {peer.name: peer.address for peer in peers}
            key = self._node.name.encode()[:64]
            names = rendezvous.ranked(key, addresses)[:PARTNERS]
            self._ranked_partners = [addresses[name] for name in names]
            self._partners_of = peers
        return self._ranked_partners

    def _without_recent_exchange(
        self, candidates: list[str], now_s: float
    ) -> list[str]:
        """Return those without a recent exchange; drop outdated times."""
        self._last_exchange_s = {
            address: last_s
            for address, last_s in self._last_exchange_s.items()
            if now_s - last_s < RECENT_FRACTION * self._interval_s
        }
        return [a for a in candidates if a not in self._last_exchange_s]

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(self, address: str) -> None:
        self._busy.add(address)
        try:
            now_s = stalls.running_s()
            heartbeat = self._node.heartbeat(
                now_s,
                time.time(),
                receiver=self._node.table.peer_at(address, now_s),
            )
            async with self._channels.stub_for(address) as stub:
                answer = await stub.Exchange(
                    messages.to_wire(heartbeat), timeout=self._deadline_s
                )
            answer = messages.from_wire(answer)
        except (aio.AioRpcError, messages.BadHeartbeat) as error:
            await self._handle_failure(address, error)
            return
        finally:
            self._busy.discard(address)
        if self._node.is_self(answer.sender):
            self._own_addresses.add(address)
            return
        self._last_exchange_s[address] = stalls.running_s()
        self._node.receive(answer, stalls.running_s(), time.time())
        self._first_news.set()
        self._documents.record(address, answer.generation)

    async def _handle_failure(self, address: str, error: Exception) -> None:
        reason = "unreadable_answer"
        if isinstance(error, aio.AioRpcError):
            reason = error.code().name.lower()
        nodes.count_refusal(reason)
        LOG.debug(
            "call to peer failed", extra={"peer": address, "code": reason}
        )
        # The connection may be silent for good while new ones work.  gRPC
        # would keep using it; after this the next call opens a new one.
        await self._channels.discard(address)

    async def _fetch(self, address: str) -> bool:
        """Take a peer's document; return whether the peer answered."""
        try:
            async with self._channels.stub_for(address) as stub:
                reply = await stub.GetDocument(
                    peers_pb2.DocumentRequest(), timeout=DOCUMENT_TIMEOUT_S
                )
            if reply.accepted_json:
                self._offer(self._decode(reply.accepted_json))
        except aio.AioRpcError as error:
            await self._handle_failure(address, error)
            return False
        except Exception:
            # A peer of a newer version may have a document that this
            # version cannot read.
            nodes.count_refusal("unreadable_document")
            LOG.exception("document of a peer cannot be read")
        return True
