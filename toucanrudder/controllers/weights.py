"""Orders engines to load weights, under one lease over all routers."""

import asyncio
from collections.abc import Callable
import http
import logging
import random

import aiohttp

from toucanrudder import clock as clocks
from toucanrudder import errors
from toucanrudder.controllers import loads as load_controllers
from toucanrudder.document import model
from toucanrudder.leases import decision
from toucanrudder.leases import holder as holders
from toucanrudder.leases import weights
from toucanrudder.observability import metrics
from toucanrudder.upstreams import loads

LEASE = "weights"
LOG = logging.getLogger(__name__)

LOOK_S = 0.5

#: Must stay below the lease's margin: an order that is still on its way
#: when the lease ends has to arrive before another may hold it.
ORDER_TIMEOUT_S = decision.MARGIN_S / 2

#: Reports lag behind the engine by this much at most.
REPORT_LAG_S = 2.0

#: Reports older than this are not relied on.
MAX_REPORT_AGE_S = 12.0


def _count(event: str) -> None:
    metrics.counter("toucanrudder_weight_orders", "Orders for weights").add(
        1, {"event": event}
    )


class WeightController:
    """Brings engines to the weights that the document names.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For orders.
    holder : holders.LeaseHolder
        The lease over all routers.
    document : callable
        Returns the document in force, or None.
    table : loads.LoadTable
        The engines' reports.
    load_interval_s : float
        Seconds between two reports of one engine, as set.
    rng : random.Random
        For jitter.
    clock : callable
        Monotonic time, of the reports.
    lease_clock : callable
        Time of the lease, which runs on while the host is suspended.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        holder: holders.LeaseHolder,
        document: Callable[[], model.Document | None],
        table: loads.LoadTable,
        load_interval_s: float,
        rng: random.Random,
        clock: Callable[[], float],
        lease_clock: Callable[[], float] = clocks.now_s,
    ):
        self._session = session
        self._holder = holder
        self._document = document
        self._table = table
        self._load_interval_s = load_interval_s
        self._rng = rng
        self._clock = clock
        self._lease_clock = lease_clock
        self._ordered_s: dict[str, float] = {}

    async def run(self) -> None:
        """Give orders while the lease is held, until cancelled."""
        try:
            while True:
                await asyncio.sleep(LOOK_S * self._rng.uniform(0.75, 1.0))
                await self.step()
        finally:
            # A planned stop must not leave the fleet without a holder
            # for a whole term.  No order is under way here.
            await self._holder.release()

    async def step(self) -> None:
        """Give the orders that are due."""
        now_s, lease_now_s = self._clock(), self._lease_clock()
        document = self._document()
        lease = self._holder.current_lease(lease_now_s)
        if lease is None or document is None:
            self._ordered_s.clear()
            return
        # The last holder's orders must show in the engines' reports
        # before the first new one, or too many would load at once.
        settle_s = REPORT_LAG_S + load_controllers.interval_s(
            self._load_interval_s, len(document.upstreams)
        )
        if lease_now_s < lease.acquired_s + settle_s:
            return
        due = weights.plan(
            document, self._reports(document, now_s), self._ordered_s, now_s
        )
        for order in due:
            await self._give(order)

    def _reports(
        self, document: model.Document, now_s: float
    ) -> dict[str, loads.LoadReport]:
        reports = {}
        for upstream in document.upstreams:
            known = self._table.get(upstream.name)
            if known and now_s - known.received_s <= MAX_REPORT_AGE_S:
                reports[upstream.name] = known.report
        return reports

    async def _give(self, order: weights.Order) -> None:
        name = order.upstream.name
        try:
            status = await self._send(order)
        except errors.RudderError:
            LOG.warning("lease lost before an order", extra={"peer": name})
        except (aiohttp.ClientError, OSError) as error:
            # Whether it arrived is unknown; the report will show, and
            # the order can be repeated.
            _count("no_answer")
            LOG.warning("order: %r", error, extra={"peer": name})
        else:
            _count(f"answered_{status}")
            if status != http.HTTPStatus.OK:
                del self._ordered_s[name]
            if status == http.HTTPStatus.CONFLICT:
                LOG.warning("order fenced off", extra={"peer": name})

    async def _send(self, order: weights.Order) -> int:
        # The process may have been paused since it planned, while
        # another took the lease over.  Engines that check would refuse
        # the old number; for the others this check, the margin and the
        # order's timeout keep two holders' orders apart.
        lease = self._holder.require_lease(self._lease_clock())
        self._ordered_s[order.upstream.name] = self._clock()
        async with self._session.post(
            f"http://{order.upstream.address}/orders",
            json={
                "order_id": order.order_id,
                "fencing": lease.fencing,
                "kind": "load_weights",
                "model": order.model,
                "weights_version": order.weights_version,
                "role": "",
            },
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
        ) as response:
            return response.status
