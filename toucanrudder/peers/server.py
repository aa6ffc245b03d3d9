"""Serves the calls of other routers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import logging
import time
from typing import Protocol

import grpc
from grpc import aio

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.admission import caps
from toucanrudder.document import serialisation
from toucanrudder.peers import cap_messages
from toucanrudder.peers import changes
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import handovers
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import origins
from toucanrudder.peers import peers_pb2
from toucanrudder.peers import peers_pb2_grpc
from toucanrudder.store import fanout
from toucanrudder.store import feed

LOG = logging.getLogger(__name__)

MAX_CONCURRENT_CALLS = 256

#: Longest wait of a query for changes, whatever the caller asks for.
MAX_WAIT_S = 2.0

STOP_GRACE_S = 0.2

#: Heartbeats repeat similar names and addresses: in a fleet of 82 routers,
#: one takes 1,026 bytes uncompressed and 336 compressed, at a cost of 30 us.
#: Traffic between availability zones is the more expensive of the two.
COMPRESSION = grpc.Compression.Gzip

OPTIONS = (
    ("grpc.so_reuseport", 0),
    # Without keep-alive, connections of vanished peers would stay open.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
)


#: Decides on a request for units of an organisation's usage cap.
AnswerCap = Callable[[str, float, bool], caps.Decision | None]


def no_caps_owned(
    organisation: str, units: float, is_settlement: bool
) -> caps.Decision | None:
    """Answer as a router that owns no usage caps."""
    return None


class OriginKeeper(Protocol):
    """Keeps what began streams, for the routers at which they go on."""

    def keep(self, records: Iterable[origins.OriginRecord]) -> None:
        """Keep records of a peer."""

    def answer(self, key: bytes) -> origins.OriginRecord | None:
        """Return the record of a stream, if it is known here."""


class NoOrigins:
    """Keeps no records, as a router that resumes no streams."""

    def keep(self, records: Iterable[origins.OriginRecord]) -> None:
        """Drop the records."""

    def answer(self, key: bytes) -> origins.OriginRecord | None:
        """Return None."""
        return None


class PeersService(peers_pb2_grpc.PeersServicer):
    """Implementation of the calls that peers make.

    Parameters
    ----------
    node : nodes.Node
        Handles heartbeats and builds the answers.
    requires_certificate : bool
        Whether callers must present a router's certificate.
    on_heartbeat : callable
        Called with each heartbeat after the node has handled it.
    encode : callable
        Encodes the document in force.
    logs : mapping of str to fanout.ChangeLog
        Changes that this router has read from the store, by kind.
    answer_cap : callable
        Decides on the usage caps that this router owns.
    take_over : callable
        Takes over a request that a peer offers.
    origin_keeper : OriginKeeper
        Keeps what began streams.
    """

    def __init__(
        self,
        node: nodes.Node,
        requires_certificate: bool,
        on_heartbeat: Callable[[messages.Heartbeat], None],
        encode: Callable[[nodes.Document], bytes] = serialisation.encode,
        logs: Mapping[str, fanout.ChangeLog] | None = None,
        answer_cap: AnswerCap = no_caps_owned,
        take_over: handovers.TakeOver = handovers.decline,
        origin_keeper: OriginKeeper | None = None,
    ):
        self._node = node
        self._requires_certificate = requires_certificate
        self._on_heartbeat = on_heartbeat
        self._encode = encode
        self._logs = logs or {}
        self._answer_cap = answer_cap
        self._take_over = take_over
        self._origins = origin_keeper or NoOrigins()

    async def Exchange(self, request, context):
        """Handle the caller's heartbeat; answer with this router's."""
        heartbeat = await self._read_heartbeat(request, context)
        now_s, wall_s = stalls.running_s(), time.time()
        self._node.receive(heartbeat, now_s, wall_s)
        self._on_heartbeat(heartbeat)
        return messages.to_wire(
            self._node.heartbeat(
                now_s,
                wall_s,
                receiver=heartbeat.sender,
                all_entries=heartbeat.want_all,
                wanted=heartbeat.wanted,
            )
        )

    async def Tell(self, request, context):
        """Handle the caller's urgent news."""
        heartbeat = await self._read_heartbeat(request, context)
        self._node.receive_urgent(heartbeat, stalls.running_s(), time.time())
        self._on_heartbeat(heartbeat)
        return peers_pb2.Taken()

    async def _read_heartbeat(self, request, context) -> messages.Heartbeat:
        await self._authenticate(context)
        try:
            return messages.from_wire(request)
        except messages.BadHeartbeat as error:
            nodes.count_refusal("bad_heartbeat")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    async def GetDocument(self, request, context):
        """Answer with the document in force."""
        await self._authenticate(context)
        accepted = self._node.current()
        if accepted is None:
            return peers_pb2.DocumentReply()
        return peers_pb2.DocumentReply(accepted_json=self._encode(accepted))

    async def UseCap(self, request, context):
        """Answer whether units of an organisation's cap may be used."""
        await self._authenticate(context)
        return cap_messages.to_wire(
            self._answer_cap(
                request.organisation, request.units, request.is_settlement
            )
        )

    async def GetChanges(self, request, context):
        """Answer with the changes read from the store after a position."""
        await self._authenticate(context)
        log = self._logs.get(request.kind)
        if log is None:
            return changes.to_wire(fanout.ReaderReply(None, float("inf")))
        position = feed.Position(request.era, request.revision)
        await log.wait(position, min(request.wait_s, MAX_WAIT_S))
        return changes.to_wire(
            fanout.ReaderReply(
                log.changes_since(position), log.age_s(clock.now_s())
            )
        )

    async def KeepOrigins(self, request, context):
        """Keep what began some streams."""
        await self._authenticate(context)
        try:
            records = origins.records_from_wire(request)
        except ValueError as error:
            nodes.count_refusal("bad_origin")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self._origins.keep(records)
        return peers_pb2.Taken()

    async def FindOrigin(self, request, context):
        """Answer what began a stream, if it is known here."""
        await self._authenticate(context)
        record = self._origins.answer(request.key)
        if record is None:
            return peers_pb2.OriginReply()
        return peers_pb2.OriginReply(record=origins.to_wire(record))

    async def HandOver(self, request_iterator, context):
        """Take over a request that the caller of this method received."""
        await self._authenticate(context)
        context.set_compression(grpc.Compression.NoCompression)
        try:
            await self._take_over(handovers.IncomingExchange(context))
        except handovers.BadExchange as error:
            nodes.count_refusal("bad_exchange")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    async def _authenticate(self, context) -> None:
        # The handshake has verified that the authority signed the caller's
        # certificate.  As the authority may sign certificates of other
        # services too, the name identifies those of routers.
        if not self._requires_certificate:
            return
        names = context.auth_context().get("x509_subject_alternative_name")
        if peer_credentials.PEER_NAME.encode() not in (names or ()):
            nodes.count_refusal("not_a_router")
            await context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"the certificate lacks the name {peer_credentials.PEER_NAME}",
            )


@contextlib.asynccontextmanager
async def serve(
    node: nodes.Node,
    host: str,
    port: int,
    credentials: peer_credentials.Credentials | None,
    on_heartbeat: Callable[[messages.Heartbeat], None] = lambda heartbeat: (
        None
    ),
    encode: Callable[[nodes.Document], bytes] = serialisation.encode,
    logs: Mapping[str, fanout.ChangeLog] | None = None,
    answer_cap: AnswerCap = no_caps_owned,
    take_over: handovers.TakeOver = handovers.decline,
    origin_keeper: OriginKeeper | None = None,
) -> AsyncIterator[str]:
    """Serve peers during the block; yield the address that was bound.

    Parameters
    ----------
    node : nodes.Node
        Handles heartbeats and builds the answers.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    credentials : peer_credentials.Credentials or None
        Credentials for mutual TLS; None serves any client.
    on_heartbeat : callable
        Called with each heartbeat after the node has handled it.
    encode : callable
        Encodes the document in force.
    logs : mapping of str to fanout.ChangeLog
        Changes that this router has read from the store, by kind.
    answer_cap : callable
        Decides on the usage caps that this router owns.
    take_over : callable
        Takes over a request that a peer offers.
    origin_keeper : OriginKeeper
        Keeps what began streams.
    """
    server = aio.server(
        options=OPTIONS,
        maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        compression=COMPRESSION,
    )
    peers_pb2_grpc.add_PeersServicer_to_server(
        PeersService(
            node,
            credentials is not None,
            on_heartbeat,
            encode,
            logs,
            answer_cap,
            take_over,
            origin_keeper,
        ),
        server,
    )
    if credentials is None:
        LOG.warning(
            "peers are not authenticated: no TLS files are set in [peers]"
        )
        bound = server.add_insecure_port(f"{host}:{port}")
    else:
        bound = server.add_secure_port(f"{host}:{port}", credentials.server())
    await server.start()
    try:
        yield f"{host}:{bound}"
    finally:
        await server.stop(STOP_GRACE_S)
