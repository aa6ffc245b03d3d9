"""Keeps organisations within their usage caps.

Load it answers: see `toucanrudder.admission.caps`.  For each organisation
two live routers keep a balance; the others ask them before they send.
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
from toucanrudder.observability import decisions
from toucanrudder.placement import rendezvous

STEP = "cap"

#: Longest wait for an owner's answer: round trips between zones, and an
#: owner that is busy for a moment.
OWNER_TIMEOUT_S = 0.25

#: For how long an owner that gave no answer is not asked.
SHUN_S = 0.5

#: For how long an owner's refusal is taken for its answer to the next
#: request as well; then it is asked again.
REFUSED_S = 0.1

#: Longest wait for owners while none can be asked, as after the start of
#: a whole fleet, and the pause between two looks.
OWNERLESS_S = 1.0
OWNERLESS_LOOK_S = 0.1

#: Least number of routers assumed while the others are not known yet.
ASSUMED_ROUTERS = 8

#: Pause between two looks at who owns what.
LOOK_S = 0.2

#: Time between two looks from which this router has stood still.
FROZEN_S = 1.0


@attrs.frozen
class Member:
    """A live router that may own balances.

    Parameters
    ----------
    name : str
        Its name.
    address : str
        Where it is asked; empty for this router.
    """

    name: str
    address: str = ""


#: Asks the owner at an address whether units of an organisation may be
#: used, or tells it of some beside; None if it gave no answer.
Ask = Callable[[str, str, float, bool], Awaitable[caps.Decision | None]]


@attrs.define(eq=False)
class Owners:
    """Which live routers keep which organisation's balances.

    Parameters
    ----------
    members : callable
        Returns all live routers, this one included.
    """

    members: Callable[[], Sequence[Member]]
    _ranked_of: Sequence[Member] = ()
    _owners: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)

    def refresh(self) -> bool:
        """Look at the live routers; say whether they have changed."""
        members = self.members()
        if members == self._ranked_of:
            return False
        self._ranked_of = members
        self._owners.clear()
        return True

    @property
    def count(self) -> int:
        """Number of live routers."""
        return len(self._ranked_of)

    def of(self, organisation: str) -> tuple[Member, ...]:
        """Return the owners of an organisation's balances."""
        found = self._owners.get(organisation)
        if found is None:
            by_name = {each.name: each for each in self._ranked_of}
            key = f"cap/{organisation}".encode()[:64]
            ranked = rendezvous.ranked(key, by_name)[: caps.OWNER_COUNT]
            found = tuple(by_name[name] for name in ranked)
            self._owners[organisation] = found
        return found

    def are_here(self, organisation: str) -> bool:
        """Say whether this router is one of an organisation's owners."""
        return any(not each.address for each in self.of(organisation))


@attrs.frozen
class _Refusal:
    """An owner's refusal, as long as it is taken for its next answer.

    Parameters
    ----------
    until_s : float
        How long.
    free_s : float
        When it expects to have room.
    """

    until_s: float
    free_s: float


class CapGate:
    """Admits requests within their organisation's cap.

    Parameters
    ----------
    bounds : caps.Bounds
        How exactly caps are kept.
    members : callable
        Returns all live routers, this one included.
    is_settled : callable
        Whether all live routers are probably known.
    ask : callable
        Asks an owner (see `Ask`).
    organisation_of : callable
        Returns what is configured of an organisation, by its name.
    rng : random.Random
        Spreads returns.
    """

    def __init__(
        self,
        bounds: caps.Bounds,
        *,
        members: Callable[[], Sequence[Member]],
        is_settled: Callable[[], bool],
        ask: Ask,
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
        self._size = caps.FleetSize(bounds.window_s)
        self._refusals: dict[tuple[str, str], _Refusal] = {}
        self._shunned_until_s: dict[str, float] = {}
        self._looked_s: float | None = None
        self._tasks: set[asyncio.Task] = set()

    # What callers' requests pass.

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
            Whose request it is.
        prompt : model.Prompt or None
            What it asks.
        runs : callable
            Returns, in the end, on how many upstreams it may have run.
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
        decision = await self._decided(organisation.name, cap, cost, wait_s)
        if decision.outcome is not caps.Outcome.GRANTED:
            raise self._refused(organisation.name, cost, decision)
        try:
            yield
        finally:
            beside = (runs() - 1) * cost
            if beside:
                self._settle(organisation.name, beside)

    def _refused(
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

    async def _decided(
        self, organisation: str, cap: caps.Cap, cost: float, wait_s: float
    ) -> caps.Decision:
        """Decide; wait a little for owners while none can be asked."""
        until_s = clock.now_s() + min(wait_s, OWNERLESS_S)
        while True:
            decision = await self._by_owners(organisation, cap, cost)
            if decision is not None:
                return decision
            decision = self._by_share(organisation, cap, cost)
            is_refused = decision.outcome is caps.Outcome.REFUSED
            if not is_refused or clock.now_s() >= until_s:
                return decision
            await asyncio.sleep(OWNERLESS_LOOK_S)

    async def _by_owners(
        self, organisation: str, cap: caps.Cap, cost: float
    ) -> caps.Decision | None:
        """Ask one owner after the other until one grants."""
        self._look(clock.now_s())
        owners = list(self._owners.of(organisation))
        self._rng.shuffle(owners)
        refused = []
        for owner in owners:
            decision = await self._by_owner(owner, organisation, cap, cost)
            if decision is None:
                continue
            if decision.outcome is not caps.Outcome.REFUSED:
                return decision
            refused.append(decision)
        return min(refused, key=lambda each: each.wait_s, default=None)

    async def _by_owner(
        self, owner: Member, organisation: str, cap: caps.Cap, cost: float
    ) -> caps.Decision | None:
        """Return an owner's answer; None if it gives none."""
        now_s = clock.now_s()
        if not owner.address:
            if not self._is_settled():
                return None
            return self._by_ledger(organisation, cap, cost, now_s)
        if now_s < self._shunned_until_s.get(owner.name, now_s):
            return None
        key = organisation, owner.name
        known = self._refusals.get(key)
        if known is not None and now_s < known.until_s:
            # Callers who are refused meanwhile come back spread behind.
            wait_s = (known.free_s - now_s) * self._rng.uniform(1.0, 2.0)
            wait_s = min(wait_s, self._bounds.window_s)
            return caps.Decision(caps.Outcome.REFUSED, round(wait_s, 3))
        decision = await self._ask(owner.address, organisation, cost, False)
        now_s = clock.now_s()
        if decision is None:
            self._shunned_until_s[owner.name] = now_s + SHUN_S
            return None
        if decision.outcome is caps.Outcome.REFUSED:
            until_s = now_s + min(REFUSED_S, decision.wait_s)
            free_s = now_s + decision.wait_s
            self._refusals[key] = _Refusal(until_s, free_s)
        return decision

    def _by_ledger(
        self, organisation: str, cap: caps.Cap, cost: float, now_s: float
    ) -> caps.Decision:
        share = self._size.share(self._owners.count, now_s)
        share /= len(self._owners.of(organisation))
        return self._ledger.try_spend(
            organisation, cap, cost, now_s, share=share
        )

    def _by_share(
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
        """Count units beside; its answer is not waited for."""
        self._look(clock.now_s())
        owner = self._rng.choice(self._owners.of(organisation))
        if not owner.address:
            self._ledger.charge(organisation, units)
            return
        told = self._ask(owner.address, organisation, units, True)
        task = asyncio.ensure_future(told)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What other routers ask.

    def answer(
        self, organisation: str, units: float, is_settlement: bool
    ) -> caps.Decision | None:
        """Answer another router; None if this one is not the owner."""
        now_s = clock.now_s()
        self._look(now_s)
        found = self._organisation_of(organisation)
        cap = found.cap if found is not None else None
        if cap is None or not caps.is_finite(units):
            return None
        if not self._owners.are_here(organisation) or not self._is_settled():
            return None
        if is_settlement:
            self._ledger.charge(organisation, units)
            return caps.GRANTED
        if units < 0:
            return None
        return self._by_ledger(organisation, cap, units, now_s)

    # What is kept meanwhile.

    async def run(self) -> None:
        """Look at the live routers until cancelled."""
        while True:
            self._look(clock.now_s())
            await asyncio.sleep(LOOK_S)

    def _look(self, now_s: float) -> None:
        """Note who lives, and whether this router has stood still."""
        before_s, self._looked_s = self._looked_s, now_s
        if before_s is not None and now_s - before_s > FROZEN_S:
            self._ledger.restart_empty(now_s)
        if not self._owners.refresh():
            return
        self._size.share(self._owners.count, now_s)
        self._ledger.set_owner_since(now_s)
        for name in self._ledger.organisations():
            if not self._owners.are_here(name):
                self._ledger.drop(name)
        self._refusals.clear()
        self._shunned_until_s.clear()
