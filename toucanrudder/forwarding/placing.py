"""Which upstream a request is sent to.  No I/O.

Load it answers: prompts of some 12,000 tokens of which about half are
shared, a few tens of requests a second over 5 to 400 engines, and short
plain requests beside them.  What is believed to be cached counts where it
is; what is cached nowhere has one home that all routers compute alike
(rendezvous hashing), so that its first readers meet.  Load moves a
request away only when waiting costs more than reading elsewhere, and a
part that another engine holds is copied from there instead of read.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import random

import attrs

from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import stores
from toucanrudder.forwarding import upstream_states
from toucanrudder.placement import rendezvous

#: What one more running request costs the others there: a decode step
#: gets longer by about 0.011 ms, over some 80 steps.
RUNNING_S = 0.001

#: The same for a request that waits there for memory or a slot: its share
#: of the half second until one of those that run has ended.
WAITING_S = 0.13

#: Share of an engine's slots beyond which a request would have to wait.
FULL_SHARE = 0.9

#: Cost of an upstream whose weights have been superseded for longer than
#: OLD_AFTER_S: an answer made on them loses a fifth of its worth, which
#: callers rate higher than about 300 ms of waiting.
OLD_WEIGHTS_S = 0.3
OLD_AFTER_S = 1.2

#: The same as soon as they have been superseded: a run that is under way
#: when its engine loads new ones stands still meanwhile, and what it makes
#: afterwards is worth nothing.  Less, as most runs end before.
SUPERSEDED_S = 0.1

#: Part of the time within which engines must have new weights, from which
#: an older one gets work only if there is no other: its answers are worth
#: nothing at the end of that time, and are worth less long before.
LAST_RESORT_AGE_SHARE = 0.69

#: Seconds before the end of that time from which an engine gets no work
#: at all: routers learn of new weights up to half a second late, and a
#: request begins some hundred milliseconds after it was sent.
CLOSE_S = 1.0

#: The same for an engine where requests wait: it takes about half a second
#: until one of those that run has ended, and there may be two before.
CLOSE_WAITING_S = 2.0

#: Cost of one failed request in five: what a retry costs.
FAILURE_S = 1.0

#: Part of a prompt's unread shared tokens that its home is credited with:
#: other routers send there too, and probably have them read already.
HOME_CREDIT = 0.9

#: Tokens below which copying is not worth a round trip.
LEAST_COPY_TOKENS = 64

#: Part of an engine's memory that the requests there may need, each taken
#: to be as large as the one in hand, for it to hold a copy as well.
COPY_MEMORY_SHARE = 0.15

#: Load difference below which a plain request stays in its zone, as a
#: share of the slots: crossing costs a millisecond or two each way.
ZONE_SHARE = 0.17


USUAL_SPEEDS = speeds.EngineSpeeds()


@attrs.frozen
class Candidate:
    """An upstream with what is known of it.

    Parameters
    ----------
    upstream : model.Upstream
        The upstream.
    state : upstream_states.UpstreamState
        What this router has seen of it.
    weights_age_s : float
        For how long its weights have been superseded; 0 for the newest.
    peer_prefill_tokens, peer_requests : int
        Work of other routers there, as they told.
    """

    upstream: model.Upstream
    state: upstream_states.UpstreamState
    weights_age_s: float = 0.0
    peer_prefill_tokens: int = 0
    peer_requests: int = 0

    def requests(self, now_s: float) -> float:
        """Return the requests there, of all routers."""
        state = self.state
        others = self.peer_requests
        if state.load is not None:
            others = max(state.other_requests(now_s), others)
        return state.requests + others


@attrs.frozen
class Choice:
    """The upstream that was chosen, and why.

    Parameters
    ----------
    upstream : model.Upstream
        Where the request goes.
    missing_tokens : int
        Prompt tokens that it will probably have to read.
    copied_tokens : int
        Those that it will probably get from elsewhere.
    copy_from : str
        Address of the engine or store that holds more of the prompt, or
        empty.
    save_to : str
        Address of the store that is to keep what the upstream reads, or
        empty.
    reason : str
        For the log.
    candidates : int
        Upstreams that it was chosen from.
    """

    upstream: model.Upstream
    missing_tokens: int = 0
    copied_tokens: int = 0
    copy_from: str = ""
    save_to: str = ""
    reason: str = ""
    candidates: int = 1


def time_to_cutoff_s(
    candidate: Candidate, bound_s: float, now_s: float
) -> float:
    """Return after which time an engine gets no work for its old weights.

    Failure: the router that orders new weights falls silent, and engines
    have old ones past the time that is allowed.  Symptom: requests begin
    on them all the same, as there is no other engine.  Whoever sends none
    that could still wait then keeps the bound, whatever holds the orders
    up; callers are told at once to come back.  Newest weights never close,
    however short the time is.
    """
    if candidate.weights_age_s <= 0:
        return float("inf")
    wait_s = (
        CLOSE_WAITING_S if candidate.state.waiting_requests(now_s) else CLOSE_S
    )
    return bound_s - wait_s - candidate.weights_age_s


def usable_candidates(
    candidates: Iterable[Candidate],
    now_s: float,
    bound_s: float = rollout.DEFAULT_PACE.bound_s,
) -> Sequence[Candidate]:
    """Return the candidates worth sending to.

    Those that failed or were full just now are left out, unless that
    leaves nobody: a fault of ours must not look like one of all.  Those
    whose weights are too old are left out always.

    Parameters
    ----------
    candidates : iterable of Candidate
        All of a service.
    now_s : float
        Monotonic time.
    bound_s : float
        Time after which no request may begin on superseded weights.
    """
    staying = [
        each
        for each in candidates
        if not each.upstream.is_leaving
        and time_to_cutoff_s(each, bound_s, now_s) > 0
    ]
    awake = [
        each for each in staying if each.state.backoff_until_s <= now_s
    ] or staying
    working = [
        each for each in awake if each.state.avoided_until_s <= now_s
    ] or awake
    fresh = [
        each
        for each in working
        if each.weights_age_s < LAST_RESORT_AGE_SHARE * bound_s
    ] or working
    return [each for each in fresh if each.state.full_until_s <= now_s]


def choose_backup(
    choice: Choice,
    prompt: model.Prompt,
    engine: model.Engine,
    candidates: Sequence[Candidate],
    now_s: float,
    speed: speeds.EngineSpeeds = USUAL_SPEEDS,
) -> model.Upstream | None:
    """Return the engine that is to hold a copy of the run's memory.

    The least busy one with the same weights, in another zone if there is
    one: what takes the first engine away may take its zone.  None where
    copies would crowd out cached parts: on a loaded fleet that costs more
    answers than crashes do.
    """
    room = COPY_MEMORY_SHARE * engine.cache_tokens
    chosen = choice.upstream
    others = [
        each
        for each in candidates
        if each.upstream.incarnation != chosen.incarnation
        and each.upstream.weights == chosen.weights
        and each.state.backoff_until_s <= now_s
        and each.state.avoided_until_s <= now_s
        and (each.requests(now_s) + 1) * prompt.prompt_tokens < room
    ]
    if not others:
        return None
    best = min(
        others,
        key=lambda each: (
            _engine_cost(each, speed, now_s),
            each.upstream.zone == chosen.zone,
        ),
    )
    return best.upstream


@attrs.define(eq=False)
class _Held:
    """What an engine holds of one prompt, and could get.

    Parameters
    ----------
    candidate : Candidate
        The engine.
    cached_tokens : int
        What it holds.
    rank : int
        Its place among the homes of the prompt's shared parts.
    copy_tokens : int
        What it could get from `copy_from`.
    copy_from : str
        Address of an engine or a store.
    copy_cost : float
        Of one such token, in tokens that are read.
    """

    candidate: Candidate
    cached_tokens: int
    rank: int
    copy_tokens: int = 0
    copy_from: str = ""
    copy_cost: float = 0.0

    def missing_tokens(self, prompt: model.Prompt) -> int:
        """Return what the engine would have to read."""
        got = self.cached_tokens + self.copy_tokens
        return max(0, prompt.prompt_tokens - got)


def choose_for_prompt(
    prompt: model.Prompt,
    wall: str,
    candidates: Sequence[Candidate],
    index: cache.CacheIndex,
    *,
    store: model.CacheStore | None = None,
    speed: speeds.EngineSpeeds = USUAL_SPEEDS,
    engines_report_cache: bool = False,
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
    index : cache.CacheIndex
        What engines and stores are believed to hold.
    store : model.CacheStore or None
        Where the prompt's shared parts may be kept.
    speed : speeds.EngineSpeeds
        What the engines do in a second.
    engines_report_cache : bool
        Whether engines tell this router what they drop.
    now_s : float
        Monotonic time.
    """
    held = _held(prompt, wall, candidates, index)
    copying = held if engines_report_cache else _storeless(held, prompt, store)
    _copy_from_engines(copying, held, speed, now_s)
    _copy_from_store(held, prompt, wall, store, index, speed)
    shared_tokens = sum(part.tokens for part in prompt.shared_parts)

    def cost(each: _Held) -> tuple[float, int]:
        tokens = each.missing_tokens(prompt) + (
            each.copy_cost * each.copy_tokens
        )
        if each.rank == 0:
            got = each.cached_tokens + each.copy_tokens
            tokens -= HOME_CREDIT * max(0, shared_tokens - got)
        return tokens + _engine_cost(each.candidate, speed, now_s), each.rank

    best = min(held, key=cost)
    home = next(each.candidate for each in held if each.rank == 0)
    return Choice(
        best.candidate.upstream,
        best.missing_tokens(prompt),
        best.copy_tokens,
        best.copy_from or _guess(best, home, shared_tokens, store),
        _save_to(best, shared_tokens, store, now_s),
        f"cached {best.cached_tokens}, copied {best.copy_tokens}, "
        f"rank {best.rank}",
        len(candidates),
    )


def _may_use(store: model.CacheStore | None, candidate: Candidate) -> bool:
    """Whether an engine may use the store.

    Not on weights that have been superseded: an engine that loads new
    ones under a running request writes parts that belong to neither, and
    a store keeps a part as it was first made.
    """
    return store is not None and candidate.weights_age_s <= 0


def _save_to(
    best: _Held,
    shared_tokens: int,
    store: model.CacheStore | None,
    now_s: float,
) -> str:
    """Return where the engine is to keep the shared parts it will read.

    Nowhere if requests wait there: read seconds from now, the prompt may
    meet a change of weights that nobody knows of yet.
    """
    has_all = best.cached_tokens >= shared_tokens
    is_kept = store is not None and best.copy_from == store.address
    if has_all or is_kept or not _may_use(store, best.candidate):
        return ""
    if best.candidate.state.waiting_requests(now_s):
        return ""
    return store.address


def _guess(
    best: _Held,
    home: Candidate,
    shared_tokens: int,
    store: model.CacheStore | None,
) -> str:
    """Return the address of what may hold the parts, though nobody tells.

    Events come late or not at all, and other routers' first readers are
    not seen here; a question in vain takes a millisecond.  So the store is
    asked also where the engine is believed to hold all shared parts: it
    may have dropped them since.
    """
    has_all = best.cached_tokens >= shared_tokens
    if shared_tokens and _may_use(store, best.candidate):
        return store.address
    if (
        home is best.candidate
        or home.upstream.weights != best.candidate.upstream.weights
        or home.state.failures_in_row
        or has_all
    ):
        return ""
    return home.upstream.address


def _ranks(prompt, wall, candidates) -> dict[str, int]:
    names = [each.upstream.incarnation for each in candidates]
    if prompt.shared_parts:
        names = rendezvous.ranked(stores.rendezvous_key(prompt, wall), names)
    return {name: rank for rank, name in enumerate(names)}


def _salts(prompt: model.Prompt, wall: str, candidates) -> dict[int, str]:
    """Return the salts by version; None for weights that are not named."""
    versions = {each.upstream.weights.get(prompt.model) for each in candidates}
    return {version: cache.make_salt(wall, version) for version in versions}


def _held(prompt, wall, candidates, index) -> list[_Held]:
    ranks = _ranks(prompt, wall, candidates)
    salts = _salts(prompt, wall, candidates)
    found = []
    for each in candidates:
        name = each.upstream.incarnation
        salt = salts[each.upstream.weights.get(prompt.model)]
        tokens = index.cached_tokens(name, salt, prompt.parts)
        found.append(_Held(each, tokens, ranks[name]))
    return found


def _sources(
    held: list[_Held], now_s: float
) -> dict[frozenset[tuple[str, int]], list[_Held]]:
    """Return the two engines that hold most, by weights.

    Two, as an engine does not copy from itself.  Looked for once a prompt:
    for each engine among all, it took most of a router's time before a
    hundred engines.
    """
    sources: dict[frozenset[tuple[str, int]], list[_Held]] = {}
    for each in held:
        state = each.candidate.state
        if (
            each.cached_tokens
            and not state.failures_in_row
            and state.avoided_until_s <= now_s
        ):
            weights = each.candidate.upstream.weights_key
            sources.setdefault(weights, []).append(each)
    return {
        weights: heapq.nlargest(2, found, key=lambda one: one.cached_tokens)
        for weights, found in sources.items()
    }


def _storeless(
    held: list[_Held], prompt: model.Prompt, store: model.CacheStore | None
) -> list[_Held]:
    """Return the engines that have no store to fetch shared parts from.

    Failure: engines do not tell what they drop, and one is named as the
    source of parts that it was seen to read seconds ago.  Symptom: it has
    dropped them since, and the prompt is read again, though the store has
    it: only one source can be named.
    """
    if not prompt.shared_parts:
        return held
    return [each for each in held if not _may_use(store, each.candidate)]


def _copy_from_engines(
    copying: list[_Held],
    held: list[_Held],
    speed: speeds.EngineSpeeds,
    now_s: float,
) -> None:
    """Note for each engine that copies the one that holds most for it."""
    if not copying:
        return
    sources = _sources(held, now_s)
    if not sources:
        return
    costs = {
        is_same: speed.copy_cost(same_zone=is_same)
        for is_same in (True, False)
    }
    for each in copying:
        most = sources.get(each.candidate.upstream.weights_key)
        if most is None or most == [each]:
            continue
        source = most[0] if most[0] is not each else most[1]
        copied = source.cached_tokens - each.cached_tokens
        if copied < LEAST_COPY_TOKENS:
            continue
        upstream = source.candidate.upstream
        each.copy_tokens = copied
        each.copy_from = upstream.address
        each.copy_cost = costs[upstream.zone == each.candidate.upstream.zone]


def _copy_from_store(
    held: list[_Held],
    prompt: model.Prompt,
    wall: str,
    store: model.CacheStore | None,
    index: cache.CacheIndex,
    speed: speeds.EngineSpeeds,
) -> None:
    """Note the store instead for the engines for which it holds more."""
    if store is None:
        return
    kept = {
        version: index.cached_tokens(store.address, salt, prompt.parts)
        for version, salt in _salts(
            prompt, wall, (each.candidate for each in held)
        ).items()
    }
    if not any(kept.values()):
        return
    costs = {
        is_same: speed.store_cost(same_zone=is_same)
        for is_same in (True, False)
    }
    for each in held:
        if not _may_use(store, each.candidate):
            continue
        upstream = each.candidate.upstream
        fetched = kept[upstream.weights.get(prompt.model)] - each.cached_tokens
        if fetched < max(LEAST_COPY_TOKENS, each.copy_tokens + 1):
            continue
        each.copy_tokens = fetched
        each.copy_from = store.address
        each.copy_cost = costs[store.zone == upstream.zone]


def _engine_cost(
    each: Candidate, speed: speeds.EngineSpeeds, now_s: float
) -> float:
    state = each.state
    running = each.requests(now_s)
    cost_s = RUNNING_S * running
    beyond = running - FULL_SHARE * max(1, each.upstream.slots)
    if beyond > 0:
        cost_s += WAITING_S * beyond
    if state.failure_share:
        cost_s += 5 * FAILURE_S * state.failure_share**2
    if each.weights_age_s > OLD_AFTER_S:
        cost_s += OLD_WEIGHTS_S
    elif each.weights_age_s > 0:
        cost_s += SUPERSEDED_S
    unread = state.prefill_tokens + each.peer_prefill_tokens
    return unread + cost_s * speed.read_tokens_per_s


def choose_for_plain(
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
        share = each.requests(now_s) / max(1, each.upstream.slots)
        if each.upstream.zone != zone:
            share += ZONE_SHARE
        return share + 5 * each.state.failure_share, rng.random()

    best = min(candidates, key=cost)
    return Choice(best.upstream, reason="load", candidates=len(candidates))
