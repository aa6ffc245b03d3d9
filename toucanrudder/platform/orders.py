"""The router's own calls to engines: reports, load orders, cache events."""

import functools

from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.http1 import calls
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.platform import objects
from toucanrudder.platform import records
from toucanrudder.store import strange
from toucanrudder.store import typed

#: Added to the wait time of a call for cache events to get its timeout:
#: a busy engine sends events late.
EVENTS_MARGIN_S = 1.0

#: A new connection crosses at most one zone boundary; on a lossy link its
#: first packet is retransmitted after a second.
CONNECT_TIMEOUT_S = 1.2

_MODES = {rollout.Mode.WAIT: "block", rollout.Mode.KEEP: "retain"}


class EngineCalls(loading.OrderDialect, cache_feed.CacheDialect):
    """Client of the engines' own interface.

    Parameters
    ----------
    connections : pool.ConnectionPool
        Shared with requests of callers.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, connections: pool.ConnectionPool, clock):
        self._pool = connections
        self._clock = clock

    async def ask_report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.ReportReply:
        """Return the engine's report, or why there is none."""
        answer = await self._call(b"GET", "/report", upstream, timeout_s)
        body = _read(records.Report, answer, upstream)
        if body is None:
            is_replaced = (
                answer.status == 421
                and message.first_value(answer.headers, b"instance-id")
                != upstream.name.encode()
            )
            return rollout.ReportReply.failed(answer.failure, is_replaced)
        report = rollout.EngineReport(
            started_at_ms=body.born,
            weights=objects.weights_by_model(body.models),
            is_busy=body.busy,
            # "seq" counts accepted orders here, but heartbeats in an
            # upstream's registry entry.
            orders=body.seq,
            running=body.active,
            reading=sum(not events for _, _, events, _ in body.runs),
            waiting=body.queued,
            events={run_id: count for run_id, _, count, _ in body.runs},
            memory_share=body.kv_used / (body.kv_total or 1),
        )
        return rollout.ReportReply.of(report)

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
        """Order new weights; return whether the engine accepted the order."""
        body = {
            "op": "version",
            "model": task.model,
            "version": task.version,
            "mode": _MODES[mode],
            "holder": holder,
            "fence": fencing,
            "expected": report.orders,
        }
        answer = await self._call(
            b"POST", "/order", task.upstream, timeout_s, body=body
        )
        if answer.status == 412:
            raise errors.RudderError(
                errors.Code.ORDER_FENCED,
                "the engine has seen a higher fencing number",
                step=loading.STEP,
                peer=task.upstream.incarnation,
            )
        return answer.status in (200, 202)

    async def cache_events(
        self, source: cache_feed.CacheSource, since: int, *, wait_s: float
    ) -> cache_feed.CacheUpdate | None:
        """Return events after `since`; None if the call failed."""
        path = f"/kv-events?since={since}"
        wait = (b"Wait-Ms", str(round(wait_s * 1000)).encode())
        answer = await self._call(
            b"GET", path, source, wait_s + EVENTS_MARGIN_S, wait
        )
        body = _read(records.CacheNews, answer, source)
        if body is None:
            return None
        return cache_feed.CacheUpdate(
            started_at_ms=body.born,
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
    ) -> calls.Answer:
        return await calls.try_call(
            self._pool,
            peer.address,
            method,
            path,
            body=body,
            headers=(*extra, *_expected_instance(peer)),
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            clock=self._clock,
            foreign_header=b"request-id",
        )


def _read(
    record_type: type[typed.Made],
    answer: calls.Answer,
    source: cache_feed.CacheSource,
) -> typed.Made | None:
    if answer.status != 200:
        return None
    return strange.decode_or_none(
        typed.read, record_type, answer.body, source.address
    )


@functools.singledispatch
def _expected_instance(peer: cache_feed.CacheSource) -> message.Headers:
    """Return the header that makes any other process refuse the call."""
    return ()


@_expected_instance.register
def _(peer: model.Upstream) -> message.Headers:
    return ((b"Expect-Instance", peer.name.encode()),)
