"""Calls to engines that are not requests of callers."""

import asyncio
import functools

import orjson

from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import model
from toucanrudder.forwarding import orders
from toucanrudder.forwarding import rollout
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.platform import objects

#: Beyond the time that a question about the cache was asked to wait:
#: events are told late when an engine is busy.
EVENTS_MARGIN_S = 1.0

#: A new connection crosses one zone border at most; on a lossy link its
#: first packet is sent again after a second.
CONNECT_S = 1.2

_MODES = {rollout.Mode.WAIT: "block", rollout.Mode.KEEP: "retain"}


class EngineCalls(orders.OrderDialect, cache_feed.CacheDialect):
    """Calls to engines on their own address.

    Parameters
    ----------
    connections : pool.ConnectionPool
        Shared with requests.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, connections: pool.ConnectionPool, clock):
        self._pool = connections
        self._clock = clock

    async def report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.Report | None:
        """Return the engine's report; None if it gave none."""
        found = await self._call(b"GET", b"/report", upstream, b"", timeout_s)
        if found is None or found[0] != 200:
            return None
        body = found[1]
        return rollout.Report(
            weights=objects.weights_of(body),
            is_busy=bool(body.get("busy")),
            # "seq" counts accepted orders here; in an upstream's entry it
            # counts its signs of life.
            orders=body.get("seq", 0),
            running=body.get("active", 0),
            # A run is identity, tokens in memory, events made, priority.
            reading=sum(not run[2] for run in body.get("runs") or ()),
            waiting=body.get("queued", 0),
            events={run[0]: run[2] for run in body.get("runs") or ()},
            memory_share=body.get("kv_used", 0) / (body.get("kv_total") or 1),
        )

    async def load(
        self,
        task: rollout.Task,
        report: rollout.Report,
        *,
        mode: rollout.Mode,
        holder: str,
        fencing: int,
        timeout_s: float,
    ) -> bool:
        """Order new weights; say whether the engine took the order."""
        body = orjson.dumps(
            {
                "op": "version",
                "model": task.model,
                "version": task.version,
                "mode": _MODES[mode],
                "holder": holder,
                "fence": fencing,
                "expected": report.orders,
            }
        )
        found = await self._call(
            b"POST", b"/order", task.upstream, body, timeout_s
        )
        status = found[0] if found else None
        if status == 412:
            raise errors.RudderError(
                errors.Code.ORDER_FENCED,
                "another holder has given orders",
                step=orders.STEP,
                peer=task.upstream.incarnation,
            )
        return status in (200, 202)

    async def cache_events(
        self, source: cache_feed.Source, since: int, *, wait_s: float
    ) -> cache_feed.Told | None:
        """Return events after `since`; None if there was no answer."""
        path = f"/kv-events?since={since}".encode()
        wait = (b"Wait-Ms", str(round(wait_s * 1000)).encode())
        found = await self._call(
            b"GET", path, source, b"", wait_s + EVENTS_MARGIN_S, wait
        )
        if found is None or found[0] != 200:
            return None
        body = found[1]
        return cache_feed.Told(
            epoch=body["boot_epoch"],
            next=body["next"],
            events=tuple(
                cache.Event(salt, part, tokens, sign == "+")
                for _, sign, salt, part, tokens, *_ in body["events"]
            ),
        )

    async def _call(
        self,
        method: bytes,
        path: bytes,
        peer: cache_feed.Source,
        body: bytes,
        timeout_s: float,
        *extra: tuple[bytes, bytes],
    ) -> tuple[int, dict] | None:
        headers = [*extra, *_expected(peer)]
        headers.append((b"Host", peer.address.encode()))
        if body:
            headers += [
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._pool.connection(
                    peer.address,
                    connect_timeout_s=min(CONNECT_S, timeout_s),
                    clock=self._clock,
                ) as connection,
            ):
                connection.send(
                    message.RequestHead(method, path, tuple(headers)), body
                )
                head = await connection.next_event()
                connection.keep_for_s = pool.keep_for_s(head.headers)
                content = b""
                while not isinstance(
                    event := await connection.next_event(), client.End
                ):
                    content += event.content
        except (client.ExchangeError, TimeoutError):
            return None
        try:
            parsed = orjson.loads(content) if content else {}
        except ValueError:
            return None
        return head.status, parsed if isinstance(parsed, dict) else {}


@functools.singledispatch
def _expected(peer: cache_feed.Source) -> message.Headers:
    """Return the field that keeps a call from another process there."""
    return ()


@_expected.register
def _(peer: model.Upstream) -> message.Headers:
    return ((b"Expect-Instance", peer.incarnation.encode()),)
