"""Answers other routers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import logging
import time

import grpc
from grpc import aio

from toucanrudder.document import serialisation
from toucanrudder.observability import metrics
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peers_pb2
from toucanrudder.peers import peers_pb2_grpc

LOG = logging.getLogger(__name__)

MAX_CALLS = 256
STOP_S = 0.2

OPTIONS = (
    ("grpc.so_reuseport", 0),
    # A peer that has gone without a word would keep its connection here.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
)


def refused(reason: str) -> None:
    """Count a refused or failed call between routers."""
    metrics.counter(
        "toucanrudder_peer_refusals", "Refused or failed calls of peers"
    ).add(1, {"reason": reason})


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
    """

    def __init__(
        self,
        node: nodes.Node,
        secure: bool,
        news: Callable[[messages.Heartbeat], None],
        encode: Callable[[nodes.Document], bytes] = serialisation.encode,
    ):
        self._node = node
        self._secure = secure
        self._news = news
        self._encode = encode

    async def Exchange(self, request, context):
        """Take in the caller's heartbeat; answer with this router's."""
        await self._authenticate(context)
        try:
            heartbeat = messages.from_wire(request)
        except messages.BadHeartbeat as error:
            refused("bad_heartbeat")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        now_s, wall_s = time.monotonic(), time.time()
        self._node.heard(heartbeat, now_s, wall_s)
        self._news(heartbeat)
        return messages.to_wire(
            self._node.heartbeat(now_s, wall_s, tell_all=heartbeat.want_all)
        )

    async def GetDocument(self, request, context):
        """Answer with the document in force."""
        await self._authenticate(context)
        accepted = self._node.current()
        if accepted is None:
            return peers_pb2.DocumentReply()
        return peers_pb2.DocumentReply(accepted_json=self._encode(accepted))

    async def _authenticate(self, context) -> None:
        # The handshake has proved that the authority signed the caller's
        # certificate.  That authority may sign other certificates too,
        # so the name says which are routers'.
        if not self._secure:
            return
        names = context.auth_context().get("x509_subject_alternative_name")
        if peer_credentials.PEER_NAME.encode() not in (names or ()):
            refused("not_a_router")
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
    """
    server = aio.server(options=OPTIONS, maximum_concurrent_rpcs=MAX_CALLS)
    peers_pb2_grpc.add_PeersServicer_to_server(
        PeersService(node, credentials is not None, news, encode), server
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
