"""Enforcement of organisations' usage caps.

For the expected load see `toucanrudder.admission.caps`.  Two live routers,
the owners, keep each organisation's balance; the others ask one of them
before they send a request.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.admission import caps
from toucanrudder.forwarding import model
from toucanrudder.membership import fleet_size
from toucanrudder.membership import ownership
from toucanrudder.observability import decisions

STEP = "cap"

#: Longest wait for an owner's answer: allows for round trips between zones
#: and an owner that is busy for a moment.
OWNER_TIMEOUT_S = 0.25

#: Time for which an owner that gave no answer is not asked.
OWNER_BACKOFF_S = 0.5

#: Longest time for which an owner's refusal answers further requests as
#: well, before the owner is asked again.
MAX_REFUSAL_REUSE_S = 0.1

#: Longest wait while no owner can be asked, as after the start of a whole
#: fleet, and the interval between two attempts.
MAX_OWNERLESS_WAIT_S = 1.0
OWNERLESS_POLL_INTERVAL_S = 0.1

#: Fewest routers assumed while the live routers are not refusal yet.
ASSUMED_ROUTERS = 8

#: Interval between two updates of the owners.
REFRESH_INTERVAL_S = 0.2

#: Time between two updates from which this router counts as having been
#: frozen.
FREEZE_THRESHOLD_S = 1.0


@attrs.frozen
class Member:
    """A live router that may own balances.

    Parameters
    ----------
    name : str
        Its name.
    address : str
        Its address for peers; empty for this router.
    """

    name: str
    address: str = ""


#: Asks the owner at an address for units of an organisation's cap.  The
#: arguments are address, organisation, units and whether the units are a
#: settlement of an earlier grant; the result is None without an answer.
AskOwner = Callable[[str, str, float, bool], Awaitable[caps.Decision | None]]


@attrs.define(eq=False)
class Owners:
    """Live routers that keep the balances of each organisation.

    Parameters
    ----------
    members : callable
        Returns all live routers, this one included.
    """

    members: Callable[[], Sequence[Member]]
    _ranked_members: Sequence[Member] = ()
    _by_name: dict[str, Member] = attrs.field(factory=dict)
    _ownership: ownership.Ownership = attrs.field(
        factory=lambda: ownership.Ownership(caps.OWNER_COUNT)
    )

    def refresh(self) -> bool:
        """Update the live routers; return whether they have changed."""
        members = self.members()
        if members == self._ranked_members:
            return False
        self._ranked_members = members
        self._by_name = {member.name: member for member in members}
        self._ownership.update(self._by_name)
        return True

    @property
    def count(self) -> int:
        """Number of live routers."""
        return len(self._ranked_members)

    def of(self, organisation: str) -> tuple[Member, ...]:
        """Return the owners of an organisation's balances."""
        return tuple(
            self._by_name[name]
            for name in self._ownership.owners(f"cap/{organisation}")
        )

    def include_self(self, organisation: str) -> bool:
        """Return whether this router is one of an organisation's owners."""
        return any(not owner.address for owner in self.of(organisation))


@attrs.frozen
class _Refusal:
    """An owner's refusal that answers further requests for a while.

    Parameters
    ----------
    until_s : float
        Monotonic time until which it does.
    free_s : float
        Monotonic time at which the owner expects to grant again.
    """

    until_s: float
    free_s: float


class CapGate:
    """Admits requests within their organisation's cap.

    Parameters
    ----------
    bounds : caps.Bounds
        Bounds on the use beyond a cap.
    members : callable
        Returns all live routers, this one included.
    is_settled : callable
        Returns whether all live routers are probably known.
    ask : callable
        Asks an owner (see `AskOwner`).
    organisation_of : callable
        Returns an organisation's configuration by its name.
    rng : random.Random
        Chooses owners and spreads retries of refused callers.
    """

    def __init__(
        self,
        bounds: caps.Bounds,
        *,
        members: Callable[[], Sequence[Member]],
        is_settled: Callable[[], bool],
        ask: AskOwner,
        organisation_of: Callable[[str], model.Organisation | None],
        rng: random.Random,
    ):
        self._bounds = bounds
        self._owners = Owners(members)
        self._is_settled = is_settled
        self._ask = ask
        self._organisation_of = organisation_of
        self._rng = rng
        self._ledger = caps.Ledger(bounds)
        self._shares = caps.ReserveLimiter(bounds, rng)
        self._fleet_size = fleet_size.FleetSize(bounds.window_s)
        self._refusals: dict[tuple[str, str], _Refusal] = {}
        # When a balance is expected to suffice again, by an owner's word.
        self._spent_until_s: dict[str, float] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._refreshed_s: float | None = None
        self._tasks: set[asyncio.Task] = set()

    # Callers' requests.

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        organisation: model.Organisation | None,
        prompt: model.Prompt | None,
        runs: Callable[[], int],
        *,
        wait_s: float = 0.0,
    ) -> AsyncIterator[None]:
        """Count a request against its organisation's cap.

        Parameters
        ----------
        organisation : model.Organisation or None
            Sender of the request.
        prompt : model.Prompt or None
            Its prompt.
        runs : callable
            Called at the end; returns the number of upstreams on which the
            request may have run.
        wait_s : float
            Longest wait while no owner of the cap can be asked.

        Raises
        ------
        RudderError
            ``limit_exceeded``.
        """
        cap = organisation.cap if organisation is not None else None
        if cap is None:
            yield
            return
        cost = cap.cost(prompt.total_tokens if prompt else None)
        decision = await self._decide(organisation.name, cap, cost, wait_s)
        if decision.outcome is not caps.Outcome.GRANTED:
            raise self._refusal_error(organisation.name, cost, decision)
        try:
            yield
        finally:
            adjustment = (runs() - 1) * cost
            if adjustment:
                self._settle(organisation.name, adjustment)

    def _refusal_error(
        self, organisation: str, cost: float, decision: caps.Decision
    ) -> errors.RudderError:
        is_too_large = decision.outcome is caps.Outcome.TOO_LARGE
        decisions.record(
            decisions.Capped(
                organisation=organisation,
                cost=cost,
                outcome=decision.outcome.value,
                wait_s=decision.wait_s,
                routers=self._owners.count,
            )
        )
        return errors.RudderError(
            errors.Code.LIMIT_EXCEEDED,
            "the request costs more than the organisation's cap can admit"
            if is_too_large
            else "the organisation has used up its cap for now",
            step=STEP,
            retry_after_s=None if is_too_large else decision.wait_s,
        )

    async def _decide(
        self, organisation: str, cap: caps.Cap, cost: float, wait_s: float
    ) -> caps.Decision:
        """Decide; retry for a while if no owner can be asked.

        The retry is left out while a balance is known to be spent.
        """
        until_s = clock.now_s() + min(wait_s, MAX_OWNERLESS_WAIT_S)
        while True:
            decision = await self._ask_owners(organisation, cap, cost)
            if decision is not None:
                return decision
            decision = self._take_from_share(organisation, cap, cost)
            if decision.outcome is not caps.Outcome.REFUSED:
                return decision
            now_s = clock.now_s()
            spent_s = self._spent_until_s.get(organisation, now_s) - now_s
            if spent_s > 0:
                # Owners that are overloaded by its requests do not answer.
                wait_s = round(max(spent_s, decision.wait_s), 3)
                return attrs.evolve(decision, wait_s=wait_s)
            if now_s >= until_s:
                return decision
            await asyncio.sleep(OWNERLESS_POLL_INTERVAL_S)

    async def _ask_owners(
        self, organisation: str, cap: caps.Cap, cost: float
    ) -> caps.Decision | None:
        """Ask the owners in random order until one does not refuse."""
        self._refresh(clock.now_s())
        owners = list(self._owners.of(organisation))
        self._rng.shuffle(owners)
        refusals = []
        for owner in owners:
            decision = await self._ask_owner(owner, organisation, cap, cost)
            if decision is None:
                continue
            if decision.outcome is not caps.Outcome.REFUSED:
                return decision
            refusals.append(decision)
        if not refusals:
            return None
        refusal = min(refusals, key=lambda refusal: refusal.wait_s)
        self._spent_until_s[organisation] = clock.now_s() + refusal.wait_s
        return refusal

    async def _ask_owner(
        self, owner: Member, organisation: str, cap: caps.Cap, cost: float
    ) -> caps.Decision | None:
        """Return an owner's decision; None if it cannot be asked."""
        now_s = clock.now_s()
        if not owner.address:
            if not self._is_settled():
                return None
            return self._take_from_ledger(organisation, cap, cost, now_s)
        if now_s < self._backoff_until_s.get(owner.name, now_s):
            return None
        key = organisation, owner.name
        refusal = self._refusals.get(key)
        if refusal is not None and now_s < refusal.until_s:
            # Spreads the retries of callers that are refused meanwhile.
            wait_s = (refusal.free_s - now_s) * self._rng.uniform(1.0, 2.0)
            wait_s = min(wait_s, self._bounds.window_s)
            return caps.Decision(caps.Outcome.REFUSED, round(wait_s, 3))
        decision = await self._ask(owner.address, organisation, cost, False)
        now_s = clock.now_s()
        if decision is None:
            self._backoff_until_s[owner.name] = now_s + OWNER_BACKOFF_S
            return None
        if decision.outcome is caps.Outcome.REFUSED:
            until_s = now_s + min(MAX_REFUSAL_REUSE_S, decision.wait_s)
            free_s = now_s + decision.wait_s
            self._refusals[key] = _Refusal(until_s, free_s)
        return decision

    def _take_from_ledger(
        self, organisation: str, cap: caps.Cap, cost: float, now_s: float
    ) -> caps.Decision:
        share = self._fleet_size.share(self._owners.count, now_s)
        share /= len(self._owners.of(organisation))
        return self._ledger.try_spend(
            organisation, cap, cost, now_s, share=share
        )

    def _take_from_share(
        self, organisation: str, cap: caps.Cap, cost: float
    ) -> caps.Decision:
        routers = self._owners.count
        reserve = self._bounds.reserve(cap)
        if not self._is_settled():
            routers = max(routers, ASSUMED_ROUTERS)
            reserve = self._bounds.start_reserve(cap)
        now_s = clock.now_s()
        return self._shares.try_spend(
            organisation, cap, cost, now_s, max_units=reserve / routers
        )

    def _settle(self, organisation: str, units: float) -> None:
        """Add units to a past grant, without waiting for an answer."""
        self._refresh(clock.now_s())
        owner = self._rng.choice(self._owners.of(organisation))
        if not owner.address:
            self._ledger.charge(organisation, units)
            return
        settlement = self._ask(owner.address, organisation, units, True)
        task = asyncio.ensure_future(settlement)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Requests of other routers.

    def answer(
        self, organisation: str, units: float, is_settlement: bool
    ) -> caps.Decision | None:
        """Answer another router; None if this one is not an owner."""
        now_s = clock.now_s()
        self._refresh(now_s)
        configured = self._organisation_of(organisation)
        cap = configured.cap if configured is not None else None
        if cap is None or not caps.is_finite(units):
            return None
        if (
            not self._owners.include_self(organisation)
            or not self._is_settled()
        ):
            return None
        if is_settlement:
            self._ledger.charge(organisation, units)
            return caps.GRANTED
        if units < 0:
            return None
        return self._take_from_ledger(organisation, cap, units, now_s)

    # Periodic updates.

    async def run(self) -> None:
        """Update the live routers until cancelled."""
        while True:
            self._refresh(clock.now_s())
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def _refresh(self, now_s: float) -> None:
        """Update the live routers; empty the balances after a freeze."""
        before_s, self._refreshed_s = self._refreshed_s, now_s
        if before_s is not None and now_s - before_s > FREEZE_THRESHOLD_S:
            self._ledger.restart_empty(now_s)
        if not self._owners.refresh():
            return
        self._fleet_size.share(self._owners.count, now_s)
        self._ledger.set_owner_since(now_s)
        for name in self._ledger.organisations():
            if not self._owners.include_self(name):
                self._ledger.drop(name)
        self._refusals.clear()
        self._spent_until_s.clear()
        self._backoff_until_s.clear()
