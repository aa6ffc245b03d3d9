"""Answers other routers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging
import time

import grpc
from grpc import aio

from toucanrudder import clock
from toucanrudder.admission import caps
from toucanrudder.document import serialisation
from toucanrudder.peers import cap_words
from toucanrudder.peers import changes
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peers_pb2
from toucanrudder.peers import peers_pb2_grpc
from toucanrudder.store import fanout
from toucanrudder.store import feed

LOG = logging.getLogger(__name__)

MAX_CALLS = 256

#: Longest wait of a question for changes, whatever the caller asks for.
MAX_WAIT_S = 2.0

STOP_S = 0.2

#: Heartbeats repeat names and addresses of the same form: one of 82
#: routers takes 1,026 bytes plain and 336 packed, for 30 us.  Links between
#: availability zones are the dearer of the two.
PACKED = grpc.Compression.Gzip

OPTIONS = (
    ("grpc.so_reuseport", 0),
    # A peer that has gone without a word would keep its connection here.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
)


#: Answers a question for units of an organisation's usage cap.
AnswerCap = Callable[[str, float, bool], caps.Decision | None]


def owns_no_cap(
    organisation: str, units: float, is_settlement: bool
) -> caps.Decision | None:
    """Answer as a router that keeps no usage caps."""
    return None


class PeersService(peers_pb2_grpc.PeersServicer):
    """The calls that peers make.

    Parameters
    ----------
    node : nodes.Node
        Takes in and answers.
    secure : bool
        Whether callers must show a router's certificate.
    news : callable
        Called with a heartbeat after it was taken in.
    encode : callable
        Returns the bytes of the document in force.
    logs : mapping of str to fanout.ChangeLog
        What this router has read from the store, by kind.
    answer_cap : callable
        Answers for the usage caps that this router owns.
    """

    def __init__(
        self,
        node: nodes.Node,
        secure: bool,
        news: Callable[[messages.Heartbeat], None],
        encode: Callable[[nodes.Document], bytes] = serialisation.encode,
        logs: Mapping[str, fanout.ChangeLog] | None = None,
        answer_cap: AnswerCap = owns_no_cap,
    ):
        self._node = node
        self._secure = secure
        self._news = news
        self._encode = encode
        self._logs = logs or {}
        self._answer_cap = answer_cap

    async def Exchange(self, request, context):
        """Take in the caller's heartbeat; answer with this router's."""
        heartbeat = await self._read(request, context)
        now_s, wall_s = time.monotonic(), time.time()
        self._node.receive(heartbeat, now_s, wall_s)
        self._news(heartbeat)
        return messages.to_wire(
            self._node.heartbeat(
                now_s,
                wall_s,
                tell_all=heartbeat.want_all,
                wanted=heartbeat.wanted,
            )
        )

    async def Tell(self, request, context):
        """Take in the caller's urgent news."""
        heartbeat = await self._read(request, context)
        self._node.receive_urgent(heartbeat, time.monotonic(), time.time())
        self._news(heartbeat)
        return peers_pb2.Taken()

    async def _read(self, request, context) -> messages.Heartbeat:
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
        return cap_words.to_wire(
            self._answer_cap(
                request.organisation, request.units, request.is_settlement
            )
        )

    async def GetChanges(self, request, context):
        """Answer with what was read from the store after a position."""
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

    async def _authenticate(self, context) -> None:
        # The handshake has proved that the authority signed the caller's
        # certificate.  That authority may sign other certificates too,
        # so the name says which are routers'.
        if not self._secure:
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
    news: Callable[[messages.Heartbeat], None] = lambda heartbeat: None,
    encode: Callable[[nodes.Document], bytes] = serialisation.encode,
    logs: Mapping[str, fanout.ChangeLog] | None = None,
    answer_cap: AnswerCap = owns_no_cap,
) -> AsyncIterator[str]:
    """Serve peers during the block; yield the address that was bound.

    Parameters
    ----------
    node : nodes.Node
        Takes in and answers.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    credentials : peer_credentials.Credentials or None
        For mutual TLS; None serves anyone.
    news : callable
        Called with each heartbeat that came.
    encode : callable
        Returns the bytes of the document in force.
    logs : mapping of str to fanout.ChangeLog
        What this router has read from the store, by kind.
    answer_cap : callable
        Answers for the usage caps that this router owns.
    """
    server = aio.server(
        options=OPTIONS,
        maximum_concurrent_rpcs=MAX_CALLS,
        compression=PACKED,
    )
    peers_pb2_grpc.add_PeersServicer_to_server(
        PeersService(
            node, credentials is not None, news, encode, logs, answer_cap
        ),
        server,
    )
    if credentials is None:
        LOG.warning("peers are not authenticated: [peers] names no files")
        bound = server.add_insecure_port(f"{host}:{port}")
    else:
        bound = server.add_secure_port(f"{host}:{port}", credentials.server())
    await server.start()
    try:
        yield f"{host}:{bound}"
    finally:
        await server.stop(STOP_S)
