"""Orders engines to load weights; one lease holder acts for all routers."""

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

STEP_INTERVAL_S = 0.5

#: Must stay below the lease's margin: an order in flight when the lease
#: ends has to arrive before another router may acquire the lease.
ORDER_TIMEOUT_S = decision.MARGIN_S / 2

#: Largest lag of a report behind the engine's state.
REPORT_LAG_S = 2.0

#: Reports older than this are ignored.
MAX_REPORT_AGE_S = 12.0


def _count(event: str) -> None:
    metrics.counter("toucanrudder_weight_orders", "Orders for weights").add(
        1, {"event": event}
    )


class WeightController:
    """Makes engines load the weights versions of the document.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for orders.
    holder : holders.LeaseHolder
        Lease for which all routers compete.
    document : callable
        Returns the document in force, or None.
    table : loads.LoadTable
        Load reports of the engines.
    load_interval_s : float
        Configured seconds between two reports of one engine.
    rng : random.Random
        Source of jitter.
    clock : callable
        Monotonic time, for the age of reports.
    lease_clock : callable
        Clock of the lease, which advances while the host is suspended.
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
        self._last_ordered_s: dict[str, float] = {}

    async def run(self) -> None:
        """Give orders while the lease is held, until cancelled."""
        try:
            while True:
                await asyncio.sleep(
                    STEP_INTERVAL_S * self._rng.uniform(0.75, 1.0)
                )
                await self.step()
        finally:
            # A planned stop must not leave the fleet without a holder
            # for a whole lease term.  No order is in flight here.
            await self._holder.release()

    async def step(self) -> None:
        """Give the orders that are due."""
        now_s, lease_now_s = self._clock(), self._lease_clock()
        document = self._document()
        lease = self._holder.current_lease(lease_now_s)
        if lease is None or document is None:
            self._last_ordered_s.clear()
            return
        # The previous holder's orders must be visible in the engines'
        # reports before the first new order, or too many engines would
        # load at once.
        settle_s = REPORT_LAG_S + load_controllers.poll_interval_s(
            self._load_interval_s, len(document.upstreams)
        )
        if lease_now_s < lease.acquired_s + settle_s:
            return
        due_orders = weights.plan(
            document,
            self._reports(document, now_s),
            self._last_ordered_s,
            now_s,
        )
        for order in due_orders:
            await self._give_order(order)

    def _reports(
        self, document: model.Document, now_s: float
    ) -> dict[str, loads.LoadReport]:
        reports = {}
        for upstream in document.upstreams:
            known = self._table.get(upstream.name)
            if known and now_s - known.received_s <= MAX_REPORT_AGE_S:
                reports[upstream.name] = known.report
        return reports

    async def _give_order(self, order: weights.Order) -> None:
        name = order.upstream.name
        try:
            status = await self._post_order(order)
        except errors.RudderError:
            LOG.warning(
                "order not sent: the lease was lost", extra={"peer": name}
            )
        except (aiohttp.ClientError, OSError) as error:
            # Whether the order arrived is unknown; the next report shows
            # it, and the order can be repeated.
            _count("no_answer")
            LOG.warning(
                "no answer to an order: %r", error, extra={"peer": name}
            )
        else:
            _count(f"answered_{status}")
            if status != http.HTTPStatus.OK:
                del self._last_ordered_s[name]
            if status == http.HTTPStatus.CONFLICT:
                LOG.warning(
                    "engine refused the order (conflict)", extra={"peer": name}
                )

    async def _post_order(self, order: weights.Order) -> int:
        # The process may have been paused since it planned, while another
        # router acquired the lease.  Engines that check fencing numbers
        # refuse the old one; for the others this check, the margin and the
        # order's timeout keep the orders of two holders apart.
        lease = self._holder.require_lease(self._lease_clock())
        self._last_ordered_s[order.upstream.name] = self._clock()
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
