"""Calls to engines that are not requests of callers."""

import functools
import logging

from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.http1 import calls
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.platform import objects
from toucanrudder.platform import records
from toucanrudder.store import strange
from toucanrudder.store import typed

LOG = logging.getLogger(__name__)

#: Beyond the time that a question about the cache was asked to wait:
#: events are told late when an engine is busy.
EVENTS_MARGIN_S = 1.0

#: A new connection crosses one zone border at most; on a lossy link its
#: first packet is sent again after a second.
CONNECT_S = 1.2

_MODES = {rollout.Mode.WAIT: "block", rollout.Mode.KEEP: "retain"}


class EngineCalls(loading.OrderDialect, cache_feed.CacheDialect):
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
    ) -> rollout.EngineReport | None:
        """Return the engine's report; None if it gave none."""
        found = await self._call(b"GET", "/report", upstream, timeout_s)
        body = _read(records.Report, found, upstream)
        if body is None:
            return None
        return rollout.EngineReport(
            born_ms=body.born,
            weights=objects.weights_of(body.models),
            is_busy=body.busy,
            # "seq" counts accepted orders here; in an upstream's entry it
            # counts its signs of life.
            orders=body.seq,
            running=body.active,
            reading=sum(not events for _, _, events, _ in body.runs),
            waiting=body.queued,
            events={request_id: made for request_id, _, made, _ in body.runs},
            memory_share=body.kv_used / (body.kv_total or 1),
        )

    async def load(
        self,
        task: rollout.LoadTask,
        report: rollout.EngineReport,
        *,
        mode: rollout.Mode,
        holder: str,
        fencing: int,
        timeout_s: float,
    ) -> bool:
        """Order new weights; say whether the engine took the order."""
        body = {
            "op": "version",
            "model": task.model,
            "version": task.version,
            "mode": _MODES[mode],
            "holder": holder,
            "fence": fencing,
            "expected": report.orders,
        }
        found = await self._call(
            b"POST", "/order", task.upstream, timeout_s, body=body
        )
        status = found.status if found else None
        if status == 412:
            raise errors.RudderError(
                errors.Code.ORDER_FENCED,
                "another holder has given orders",
                step=loading.STEP,
                peer=task.upstream.incarnation,
            )
        return status in (200, 202)

    async def cache_events(
        self, source: cache_feed.CacheSource, since: int, *, wait_s: float
    ) -> cache_feed.CacheUpdate | None:
        """Return events after `since`; None if there was no answer."""
        path = f"/kv-events?since={since}"
        wait = (b"Wait-Ms", str(round(wait_s * 1000)).encode())
        found = await self._call(
            b"GET", path, source, wait_s + EVENTS_MARGIN_S, wait
        )
        body = _read(records.CacheNews, found, source)
        if body is None:
            return None
        return cache_feed.CacheUpdate(
            born_ms=body.born,
            epoch=body.boot_epoch,
            next=body.next,
            events=tuple(
                cache.Event(salt, part, tokens, sign == "+")
                for _, sign, salt, part, tokens, _ in body.events
            ),
        )

    async def _call(
        self,
        method: bytes,
        path: str,
        peer: cache_feed.CacheSource,
        timeout_s: float,
        *extra: tuple[bytes, bytes],
        body: dict | None = None,
    ) -> calls.Answer | None:
        try:
            return await calls.call(
                self._pool,
                peer.address,
                method,
                path,
                body=body,
                headers=(*extra, *_expected(peer)),
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_S,
                clock=self._clock,
                foreign=b"request-id",
            )
        except (client.ExchangeError, TimeoutError, calls.Unreadable) as error:
            LOG.info("no answer to %s: %r", path, error)
            return None


def _read(
    made: type[typed.Made],
    answer: calls.Answer | None,
    source: cache_feed.CacheSource,
) -> typed.Made | None:
    if answer is None or answer.status != 200:
        return None
    return strange.decode_or_none(
        typed.read, made, answer.body, source.address
    )


@functools.singledispatch
def _expected(peer: cache_feed.CacheSource) -> message.Headers:
    """Return the field that keeps a call from another process there."""
    return ()


@_expected.register
def _(peer: model.Upstream) -> message.Headers:
    return ((b"Expect-Instance", peer.name.encode()),)
