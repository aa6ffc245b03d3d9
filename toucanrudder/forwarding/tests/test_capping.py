"""Usage caps of organisations over many routers, on virtual time."""

import asyncio
import random
import time

import attrs
import pytest

from toucanrudder import errors
from toucanrudder.admission import caps
from toucanrudder.forwarding import capping
from toucanrudder.forwarding import model
from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing

BOUNDS = sites.CAP_BOUNDS

#: Time until the routers know each other.
STARTED_S = 4.0

#: Time for which organisations send.
SENDING_S = 24.0

#: Least share of the cap that is granted to an organisation that asks for
#: more.
MIN_SERVED_SHARE = 0.97

#: Tokens of a prompt and its answer, and their share of the requests: most
#: are small, some fill the window.
SIZES = ((2_400, 0.7), (12_000, 0.25), (54_600, 0.05))


@attrs.define(eq=False)
class Caller:
    """Sends one organisation's requests to routers drawn at random."""

    site: sites.Site
    organisation: model.Organisation
    rate_factor: float
    granted: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)

    @property
    def gap_s(self):
        mean = sum(tokens * share for tokens, share in SIZES)
        return mean / (self.rate_factor * self.organisation.rate_per_s)

    async def run(self):
        rng = random.Random(self.site.seed)
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / self.gap_s))
            sizes, shares = zip(*SIZES, strict=True)
            tokens = rng.choices(sizes, shares)[0]
            nodes = list(self.site.nodes.values())
            if nodes:
                self.site.spawn(self.send(rng.choice(nodes), tokens))

    async def send(self, node, tokens):
        prompt = model.Prompt("m", prompt_tokens=tokens)
        admitted = node.daemon.gate.admitted(
            self.organisation, prompt, lambda: 1
        )
        began_s = self.site.now_s()
        try:
            async with admitted:
                now_s = self.site.now_s()
                self.granted.append((now_s, tokens, now_s - began_s))
        except errors.RudderError as error:
            self.refused.append((self.site.now_s(), tokens, error))

    def max_in_window(self):
        """Return the largest number of tokens granted in any window."""
        most = 0.0
        for began_s, _, _ in self.granted:
            until_s = began_s + BOUNDS.window_s
            inside = [t for s, t, _ in self.granted if began_s <= s < until_s]
            most = max(most, sum(inside))
        return most

    def served_share(self, since_s):
        """Return the tokens granted since then, as a share of the cap."""
        granted = sum(t for s, t, _ in self.granted if s >= since_s)
        passed_s = self.site.now_s() - since_s
        return granted / (self.organisation.rate_per_s * passed_s)


async def no_fault(site):
    """No fault."""


async def a_third_is_cut_off(site):
    await asyncio.sleep(3.0)
    await site.split_routers(site.names[::3], for_s=4.0)


async def all_start_again_at_once(site):
    await asyncio.sleep(4.0)
    await site.restart_routers(site.names, down_s=1.0)


async def half_are_killed(site):
    await asyncio.sleep(4.0)
    await site.restart_routers(site.names[::2], down_s=2.0)


async def all_start_again_in_turn(site):
    for router in site.names:
        await asyncio.sleep(16.0 / site.routers)
        await site.restart_routers([router], down_s=0.1)


FAULTS = [
    a_third_is_cut_off,
    all_start_again_at_once,
    half_are_killed,
    all_start_again_in_turn,
]


def run_scenario(seed, routers, organisation, rate_factor, fault):
    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1)
        with sites.unpacked():
            site.start()
            await asyncio.sleep(STARTED_S)
            caller = Caller(site, organisation, rate_factor)
            site.spawn(caller.run())
            began_s = site.now_s()
            site.spawn(fault(site))
            await asyncio.sleep(SENDING_S)
        # The burst is used up in the first second.
        return caller, caller.served_share(began_s + 1.0)

    return timing.run(main)


def most_granted_by_owners(cap):
    """Return the most tokens that a cap's owners grant in one window.

    Each of them may be overdrawn by one request at the end of the window.
    """
    overdraft = min(BOUNDS.max_overdraft, max(tokens for tokens, _ in SIZES))
    granted_share = 1.0 + caps.GRANTED_OVERRUN * BOUNDS.overrun
    return (
        granted_share * BOUNDS.window_allowance(cap)
        + caps.OWNER_COUNT * overdraft
    )


@pytest.mark.parametrize("seed", range(16))
@pytest.mark.parametrize(
    "organisation", [sites.SMALL, sites.LARGE], ids=["small", "large"]
)
def test_owners_grant_what_their_balances_allow(organisation, seed):
    caller, _ = run_scenario(seed, 8, organisation, 2.0, no_fault)
    most = most_granted_by_owners(organisation.cap)
    assert caller.max_in_window() <= most


@pytest.mark.parametrize("routers", [8, 65, 195])
@pytest.mark.parametrize(
    "organisation", [sites.SMALL, sites.LARGE], ids=["small", "large"]
)
def test_excess_demand_gets_the_cap_and_no_more(organisation, routers):
    # Equal shares of the cap are smaller than one request here.
    caller, served_share = run_scenario(
        5, routers, organisation, 2.0, no_fault
    )
    cap = organisation.cap
    assert served_share >= MIN_SERVED_SHARE
    # Without a fault, only owners grant.
    assert caller.max_in_window() <= most_granted_by_owners(cap)
    assert all(error.retry_after_s > 0 for _, _, error in caller.refused)
    # Large requests are granted at least half as often as all.
    large = max(tokens for tokens, _ in SIZES)
    passed = sum(tokens == large for _, tokens, _ in caller.granted)
    rejected = sum(tokens == large for _, tokens, _ in caller.refused)
    share = len(caller.granted) / (len(caller.granted) + len(caller.refused))
    assert passed >= share / 2 * (passed + rejected)


@pytest.mark.parametrize("routers", [8, 65, 195])
def test_demand_below_the_cap_is_not_refused(routers):
    caller, _ = run_scenario(6, routers, sites.LARGE, 0.55, no_fault)
    assert not caller.refused


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(
    "organisation", [sites.SMALL, sites.LARGE], ids=["small", "large"]
)
@pytest.mark.parametrize("rate_factor", [4.7, 20.0])
def test_a_cap_holds_during_failures_of_routers(
    organisation, fault, seed, rate_factor
):
    # Routers that lost their balances or cannot ask an owner decide alone.
    caller, _ = run_scenario(seed, 65, organisation, rate_factor, fault)
    assert caller.max_in_window() <= BOUNDS.window_limit(organisation.cap)


async def test_a_spent_cap_is_refused_at_once_while_its_owners_are_silent():
    """Requests beyond a cap must not wait for owners that they overload."""
    refusal = caps.Decision(caps.Outcome.REFUSED, 2.0)
    answers = [refusal, refusal]

    async def ask(address, organisation, units, is_settlement):
        return answers.pop() if answers else None

    members = [capping.Member(f"r{n}", f"10.0.0.{n}:1") for n in range(3)]
    gate = capping.CapGate(
        caps.Bounds(window_s=8.0, slack=3_000.0, overrun=0.0),
        members=lambda: members,
        is_settled=lambda: True,
        ask=ask,
        organisation_of=lambda name: sites.SMALL,
        rng=random.Random(1),
    )
    prompt = model.Prompt("m", prompt_tokens=12_000)
    waits_s = []
    for pause_s in (0.0, capping.MAX_REFUSAL_REUSE_S):
        await asyncio.sleep(pause_s)
        began_s = time.monotonic()
        with pytest.raises(errors.RudderError) as refused:
            async with gate.admitted(
                sites.SMALL, prompt, lambda: 1, wait_s=5.0
            ):
                pass
        waits_s.append(time.monotonic() - began_s)
        assert refused.value.code is errors.Code.LIMIT_EXCEEDED
    assert max(waits_s) < capping.OWNERLESS_POLL_INTERVAL_S
    assert refused.value.retry_after_s == pytest.approx(1.9, abs=0.1)
