"""Which upstream a request is sent to.  No I/O.

Load it answers: prompts of some 12,000 tokens of which about half are
shared, a few tens of requests a second over 5 to 400 engines, and short
plain requests beside them.  All routers compute the same home for a shared
prefix (rendezvous hashing), so that no index has to be told around; load
moves a request away from its home only when waiting there costs more than
reading the shared part again elsewhere.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random

import attrs

from toucanrudder.forwarding import loads
from toucanrudder.forwarding import model
from toucanrudder.placement import rendezvous

#: Prompt tokens that an engine could have read in the time that one more
#: running request costs the others: a decode step gets longer by about
#: 0.011 ms a request, over some 80 steps, at about 60 tokens a ms.
TOKENS_PER_RUNNING = 60

#: The same for a request that waits there for memory or a slot: it takes
#: about half a second until one of those that run has ended.
TOKENS_PER_WAITING = 8_000

#: Share of an engine's slots beyond which a request would have to wait.
FULL_SHARE = 0.9

#: Cost in tokens of an upstream with weights older than the newest: an
#: answer made on them loses a fifth of its worth, which callers rate
#: higher than about 300 ms of waiting.
OLD_WEIGHTS_TOKENS = 18_000

#: Cost of one failed request in five, in tokens: what a retry costs.
FAILURE_TOKENS = 60_000

#: Load difference below which a plain request stays in its zone, as a
#: share of the slots: crossing costs a millisecond or two each way.
ZONE_SHARE = 0.17


@attrs.frozen
class Candidate:
    """An upstream with what is known of it."""

    upstream: model.Upstream
    state: loads.UpstreamState
    has_newest_weights: bool = True


@attrs.frozen
class Choice:
    """The upstream that was chosen, and why.

    Parameters
    ----------
    upstream : model.Upstream
        Where the request goes.
    missing_tokens : int
        Prompt tokens that it will probably have to read.
    reason : str
        For the log.
    """

    upstream: model.Upstream
    missing_tokens: int = 0
    reason: str = ""


def usable(
    candidates: Iterable[Candidate], now_s: float
) -> Sequence[Candidate]:
    """Return the candidates worth sending to.

    Those that failed or were full just now are left out, unless that
    leaves nobody: a fault of ours must not look like one of all.
    """
    staying = [each for each in candidates if not each.upstream.is_leaving]
    awake = [
        each for each in staying if each.state.paused_until_s <= now_s
    ] or staying
    working = [
        each for each in awake if each.state.avoided_until_s <= now_s
    ] or awake
    return [each for each in working if each.state.full_until_s <= now_s]


def for_prompt(
    prompt: model.Prompt,
    wall: str,
    candidates: Sequence[Candidate],
    *,
    routers: int,
    now_s: float,
) -> Choice:
    """Choose an engine for a prompt.

    Parameters
    ----------
    prompt : model.Prompt
        What is asked.
    wall : str
        Who shares its cache; the empty string for all.
    candidates : sequence of Candidate
        At least one.
    routers : int
        Live routers; each has about as much under way as this one.
    now_s : float
        Monotonic time.
    """
    shared = prompt.shared
    key = f"{wall}/{shared[-1].identity}" if shared else ""
    names = [each.upstream.incarnation for each in candidates]
    ranks = rendezvous.ranked(key.encode()[:64], names) if key else names
    home = ranks[0]
    shared_tokens = sum(part.tokens for part in shared)
    own_tokens = max(0, prompt.prompt_tokens - shared_tokens)

    def missing(each: Candidate) -> int:
        if key and each.upstream.incarnation == home:
            return own_tokens
        return own_tokens + shared_tokens

    def cost(each: Candidate) -> tuple[float, int]:
        tokens = missing(each) + _engine_cost(each, routers, now_s)
        return tokens, ranks.index(each.upstream.incarnation)

    best = min(candidates, key=cost)
    reason = "home" if best.upstream.incarnation == home else "load"
    return Choice(best.upstream, missing(best), reason)


def _engine_cost(each: Candidate, routers: int, now_s: float) -> float:
    state = each.state
    slots = max(1, each.upstream.slots)
    others = state.others(now_s)
    running = state.requests + others
    beyond = max(0.0, running - FULL_SHARE * slots)
    others_prefill = min(others, routers - 1) * state.prefill_tokens / 2
    cost = (
        state.prefill_tokens
        + others_prefill
        + TOKENS_PER_RUNNING * running
        + TOKENS_PER_WAITING * beyond
        + 5 * FAILURE_TOKENS * state.failure_share**2
    )
    if not each.has_newest_weights:
        cost += OLD_WEIGHTS_TOKENS
    return cost


def for_plain(
    zone: str,
    candidates: Sequence[Candidate],
    *,
    now_s: float,
    rng: random.Random,
) -> Choice:
    """Choose an upstream for a request without a prompt.

    Parameters
    ----------
    zone : str
        This router's availability zone.
    candidates : sequence of Candidate
        At least one.
    now_s : float
        Monotonic time.
    rng : random.Random
        Breaks ties: else all routers would pick the same one at once.
    """

    def cost(each: Candidate) -> tuple[float, float]:
        state = each.state
        busy = state.requests + state.others(now_s)
        share = busy / max(1, each.upstream.slots)
        if each.upstream.zone != zone:
            share += ZONE_SHARE
        return share + 5 * state.failure_share, rng.random()

    best = min(candidates, key=cost)
    return Choice(best.upstream, 0, "load")
