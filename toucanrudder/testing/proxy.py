"""A TCP proxy that injects faults, run in the test's own loop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import enum
import re

import attrs

from toucanrudder.testing import resets
from toucanrudder.testing import servers

CHUNK_BYTES = 65536
MATCH_BYTES = 256
EVENT_START = re.compile(rb"(?:^|\n)id: (\d+)\n")
EVENT_END = b"\n\n"


class Action(enum.Enum):
    """What happens to a connection when a rule strikes."""

    CUT = "cut"
    FREEZE = "freeze"
    DELAY = "delay"


@attrs.define(eq=False)
class Rule:
    """A fault of the next connections whose request matches.

    Parameters
    ----------
    action : Action
        What happens.
    match : bytes
        Text in the request that is struck.
    after_event : int
        Number of the last server-sent event that gets through; 0 strikes
        before any byte of the answer.
    partial : bool
        Whether half of the next event gets through as well.
    delay_s : float
        For `Action.DELAY`: how long the answer is held.
    times : int
        Connections that it still strikes.
    """

    action: Action
    match: bytes = b""
    after_event: int = 0
    partial: bool = False
    delay_s: float = 0.0
    times: int = 1
    struck: int = 0


@attrs.define(eq=False)
class Connection:
    """One connection through the proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    rule: Rule | None = None
    frozen: bool = False
    tail: bytes = b""
    sent: bytes = b""

    def abort(self) -> None:
        """Break both sides with a reset."""
        for writer in (self.client, self.server):
            writer.transport.abort()


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to `target`, with faults.

    Parameters
    ----------
    target : str
        ``IP:port`` that connections go to; may be changed.
    """

    target: str
    address: str = ""
    rules: list[Rule] = attrs.field(factory=list)
    connections: set[Connection] = attrs.field(factory=set)
    refusing: bool = False
    resetting: bool = False
    accepted: int = 0

    def add(self, rule: Rule) -> Rule:
        """Put a rule in force and return it."""
        self.rules.append(rule)
        return rule

    def freeze(self) -> int:
        """Silence all present connections for good; new ones work."""
        for connection in self.connections:
            connection.frozen = True
        return len(self.connections)

    def cut(self) -> None:
        """Break all present connections."""
        for connection in list(self.connections):
            connection.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a new connection until an end closes it."""
        self.accepted += 1
        try:
            if self.resetting:
                resets.reset_on_close(writer.get_extra_info("socket"))
            elif not self.refusing:
                await self._forward(reader, writer)
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        server_reader, server = await asyncio.open_connection(host, int(port))
        connection = Connection(writer, server)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._upwards(reader, connection))
                group.create_task(self._downwards(server_reader, connection))
        except* (OSError, _ConnectionCut):
            pass
        finally:
            self.connections.discard(connection)
            connection.abort()

    async def _upwards(
        self, reader: asyncio.StreamReader, connection: Connection
    ) -> None:
        while part := await reader.read(CHUNK_BYTES):
            await _while_frozen(connection)
            self._match(part, connection)
            connection.server.write(part)
            await connection.server.drain()
        await _while_frozen(connection)
        connection.server.write_eof()

    def _match(self, part: bytes, connection: Connection) -> None:
        if connection.rule is not None:
            return
        for rule in self.rules:
            # Only what is new: an earlier request on the same connection
            # is not the one that is meant.
            text = connection.sent[-len(rule.match) :] + part
            if rule.times > 0 and text.find(rule.match) >= 0:
                rule.times -= 1
                connection.rule, connection.tail = rule, b""
                break
        connection.sent = part[-MATCH_BYTES:]

    async def _downwards(
        self, reader: asyncio.StreamReader, connection: Connection
    ) -> None:
        while part := await reader.read(CHUNK_BYTES):
            await _while_frozen(connection)
            if connection.rule is not None:
                part = await self._strike(part, connection)
            connection.client.write(part)
            await connection.client.drain()
        await _while_frozen(connection)
        connection.client.write_eof()

    async def _strike(self, part: bytes, connection: Connection) -> bytes:
        rule = connection.rule
        position = _position(connection.tail, part, rule)
        connection.tail = (connection.tail + part)[-64:]
        if position is None:
            return part
        connection.rule = None
        rule.struck += 1
        connection.client.write(part[:position])
        await connection.client.drain()
        if rule.action is Action.DELAY:
            await asyncio.sleep(rule.delay_s)
        elif rule.action is Action.CUT:
            # Time for what was written to leave the socket's buffer.
            await asyncio.sleep(0.01)
            raise _ConnectionCut
        else:
            connection.frozen = True
            await _while_frozen(connection)
        return part[position:]


class _ConnectionCut(Exception):
    """A rule has cut the connection."""


def _position(tail: bytes, part: bytes, rule: Rule) -> int | None:
    """Return where in `part` the rule strikes; None if it does not."""
    if rule.after_event == 0 and not rule.partial:
        return 0
    text = tail + part
    for found in EVENT_START.finditer(text):
        if int(found[1]) != rule.after_event + rule.partial:
            continue
        if rule.partial:
            return max(0, found.end() - len(tail))
        end = text.find(EVENT_END, found.end())
        if end >= 0:
            return max(0, end + len(EVENT_END) - len(tail))
    return None


async def _while_frozen(connection: Connection) -> None:
    if connection.frozen:
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def proxied(target: str) -> AsyncIterator[Proxy]:
    """Run a proxy in front of `target` during the block.

    Parameters
    ----------
    target : str
        ``IP:port`` that connections go to.

    Yields
    ------
    Proxy
        Its `address` is what clients use.
    """
    proxy = Proxy(target)
    async with servers.running(proxy.serve) as proxy.address:
        yield proxy
