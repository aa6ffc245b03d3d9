"""Choice of the upstream that a request is sent to.  No I/O.

Expected load: prompts of about 12,000 tokens, about half of them shared,
at a few tens of requests per second over 5 to 400 engines, plus short
requests without a prompt.  Each candidate's cost is the tokens that it
would have to prefill plus its queue.  A prompt whose shared parts are
cached nowhere has one home engine that all routers compute alike
(rendezvous hashing), so that its first requests share one prefill.  A
request leaves the engine that caches its parts only if waiting there costs
more than prefilling elsewhere; parts that another engine holds are copied
from it.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import random

import attrs

from toucanrudder.costs import request_costs
from toucanrudder.costs import ties
from toucanrudder.costs import work
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import engine_costs
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import stores
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding.statements import brittleness
from toucanrudder.membership import routers
from toucanrudder.placement import rendezvous

#: Times without progress of an upstream, relative to the time after which
#: answers are judged: from the first on it is not preferred, and up to the
#: second its last complete answer shows that it answers.
QUIET_SHARE = 0.5
ANSWERED_SHARE = 2.0

#: Fraction of the bound on the age of weights from which an engine gets
#: work only if there is no other: its answers are worth nothing at the end
#: of that time, and lose worth long before.
LAST_RESORT_AGE_SHARE = 0.69

#: Seconds before the bound from which an engine gets no work at all:
#: routers learn of new weights up to half a second late, and a request
#: begins some hundred milliseconds after it was sent.
CUTOFF_MARGIN_S = 1.0

#: The same for an engine where requests wait: it takes about half a second
#: until a running request ends, and two may be ahead in the queue.
QUEUED_CUTOFF_MARGIN_S = 2.0

#: Fraction of a prompt's uncached shared tokens that is credited to its
#: home: other routers send there too and have probably had them prefilled.
HOME_CREDIT = 0.9

#: Fewest tokens for which a copy is worth a round trip.
MIN_COPY_TOKENS = 64

#: Fraction of an engine's memory that its requests may need, each assumed
#: to be as large as the current one, if it is to hold a backup as well.
BACKUP_MEMORY_SHARE = 0.15

DEFAULT_SPEEDS = speeds.EngineSpeeds()


@attrs.frozen
class Candidate:
    """An upstream and what this router knows about it.

    Parameters
    ----------
    upstream : model.Upstream
        The upstream.
    state : upstream_states.UpstreamState
        Its load and health as seen by this router.
    weights_age_s : float
        Seconds since its weights were superseded; 0 for the newest.
    peer_prefill_tokens, peer_requests : int
        Work that other routers have sent there, as reported by them.
    cost : request_costs.ServerCost or None
        What is expected of it; None if its service is not uneven.
    """

    upstream: model.Upstream
    state: upstream_states.UpstreamState
    weights_age_s: float = 0.0
    peer_prefill_tokens: int = 0
    peer_requests: int = 0
    cost: request_costs.ServerCost | None = None

    def requests(self, now_s: float) -> float:
        """Return the number of requests there, of all routers."""
        state = self.state
        others = self.peer_requests
        if state.load is not None:
            others = max(state.other_requests(now_s), others)
        return state.requests + others


@attrs.frozen
class Outlook:
    """What was expected of a chosen upstream and of the best other one.

    Parameters
    ----------
    expected_s : float
        Time to the first event, or to the answer if the request is plain.
    time_factor, slowness, work_left_s : float
        What it was reckoned from.
    second : str
        Incarnation of the best other one; empty if there was none.
    second_s : float
        Time expected there.
    """

    expected_s: float
    time_factor: float
    slowness: float
    work_left_s: float
    second: str = ""
    second_s: float = 0.0


@attrs.frozen
class Choice:
    """The chosen upstream and the reason for it.

    Parameters
    ----------
    upstream : model.Upstream
        Where the request goes.
    missing_tokens : int
        Estimated prompt tokens that it has to prefill.
    copied_tokens : int
        Estimated prompt tokens that it copies from elsewhere.
    copy_from : str
        Address of the engine or store that holds more of the prompt, or
        empty.
    save_to : str
        Address of the store that is to keep what the upstream prefills, or
        empty.
    reason : str
        For the log.
    candidates : int
        Number of upstreams that it was chosen from.
    outlook : Outlook or None
        What was expected; None if its service is not uneven.
    """

    upstream: model.Upstream
    missing_tokens: int = 0
    copied_tokens: int = 0
    copy_from: str = ""
    save_to: str = ""
    reason: str = ""
    candidates: int = 1
    outlook: Outlook | None = None


def outlook(
    candidates: Sequence[Candidate],
    times_s: Sequence[float],
    place: int,
    other: int,
) -> Outlook:
    """Return what was expected of two of the candidates, by their places."""
    cost = candidates[place].cost
    has_other = other != place
    return Outlook(
        times_s[place],
        cost.view.time_factor,
        cost.view.slowness,
        cost.work_left_s,
        candidates[other].upstream.incarnation if has_other else "",
        times_s[other] if has_other else 0.0,
    )


def time_to_cutoff_s(
    candidate: Candidate, bound_s: float, now_s: float
) -> float:
    """Return the seconds until an engine's weights are too old for new work.

    Guards against a controller that stops ordering new weights: engines
    then keep superseded weights past the bound, and requests would begin on
    them for lack of another engine.  The cutoff keeps the bound whatever
    delays the orders; callers are told at once to come back later.  The
    newest weights have no cutoff, however short the bound is.
    """
    if candidate.weights_age_s <= 0:
        return float("inf")
    margin_s = (
        QUEUED_CUTOFF_MARGIN_S
        if candidate.state.waiting_requests(now_s)
        else CUTOFF_MARGIN_S
    )
    return bound_s - margin_s - candidate.weights_age_s


def usable_candidates(
    candidates: Iterable[Candidate],
    now_s: float,
    bound_s: float = rollout.DEFAULT_PACE.bound_s,
) -> Sequence[Candidate]:
    """Return the candidates worth sending to.

    Candidates in backoff or loading weights are left out unless none would
    remain: a fault of this router must not look like a failure of all
    upstreams.  Candidates that leave, that are full or whose weights are
    too old are always left out.

    Parameters
    ----------
    candidates : iterable of Candidate
        All of a service.
    now_s : float
        Monotonic time.
    bound_s : float
        Age of superseded weights in seconds at which no request may begin
        on them.
    """
    staying = [
        candidate
        for candidate in candidates
        if not candidate.upstream.is_leaving
        and time_to_cutoff_s(candidate, bound_s, now_s) > 0
    ]
    healthy = [
        candidate
        for candidate in staying
        if candidate.state.backoff_until_s <= now_s
    ] or staying
    working = [
        candidate
        for candidate in healthy
        if candidate.state.avoided_until_s <= now_s
    ] or healthy
    fresh = [
        candidate
        for candidate in working
        if candidate.weights_age_s < LAST_RESORT_AGE_SHARE * bound_s
    ] or working
    return [
        candidate
        for candidate in fresh
        if candidate.state.full_until_s <= now_s
    ]


def answering_candidates(
    candidates: Sequence[Candidate], now_s: float, silence_s: float
) -> Sequence[Candidate]:
    """Return the candidates to make an attempt at beside a silent one.

    Others may have met the same fault, and their answers are not judged yet.
    So upstreams that have completed an answer meanwhile go first, then those
    of which no answer is late.

    Parameters
    ----------
    candidates : sequence of Candidate
        The usable ones of a service.
    now_s : float
        Monotonic time.
    silence_s : float
        Time without progress, in seconds, after which answers are judged.
    """
    expected = [
        candidate
        for candidate in candidates
        if candidate.state.quiet_s(now_s) < QUIET_SHARE * silence_s
    ]
    answering = [
        candidate
        for candidate in expected
        if now_s - candidate.state.answered_at_s < ANSWERED_SHARE * silence_s
    ]
    return answering or expected or candidates


def with_room(
    candidates: Iterable[Candidate],
    owners: brittleness.SlotOwners,
    peers: tuple[routers.Member, ...],
    now_s: float,
) -> list[Candidate]:
    """Return the candidates of a brittle service that need not refuse."""
    return [
        candidate
        for candidate in candidates
        if brittleness.has_room(
            candidate.state,
            candidate.upstream.slots,
            owners.own_slots(candidate.upstream, peers),
            candidate.requests(now_s),
            now_s,
        )
    ]


def lasting_candidates(
    candidates: Sequence[Candidate],
    is_new: Callable[[model.Upstream], bool],
) -> Sequence[Candidate]:
    """Return the candidates to begin a stream at that may be resumed.

    Only upstreams of the same software can continue it.  So software that
    other routers may not know of yet, or that only one upstream has, begins
    no streams unless nothing else is left.

    Parameters
    ----------
    candidates : sequence of Candidate
        The usable ones of a service.
    is_new : callable
        Returns whether some routers may not know of an upstream's software.
    """
    counts = collections.Counter(
        candidate.upstream.software_version for candidate in candidates
    )
    if len(counts) < 2:
        return candidates
    known = [
        candidate for candidate in candidates if not is_new(candidate.upstream)
    ] or candidates
    return [
        candidate
        for candidate in known
        if counts[candidate.upstream.software_version] > 1
    ] or known


def choose_backup(
    choice: Choice,
    prompt: model.Prompt,
    engine: model.Engine,
    candidates: Sequence[Candidate],
    now_s: float,
    speed: speeds.EngineSpeeds = DEFAULT_SPEEDS,
) -> model.Upstream | None:
    """Return the engine that is to hold a copy of the request's KV cache.

    This is the least busy one with the same weights and software, in another
    zone if possible, as a failure may take down a whole zone.  None if
    copies would evict cached parts: on a loaded fleet that costs more
    answers than crashes do.
    """
    max_tokens = BACKUP_MEMORY_SHARE * engine.cache_tokens
    chosen = choice.upstream
    others = [
        candidate
        for candidate in candidates
        if candidate.upstream.incarnation != chosen.incarnation
        and not candidate.upstream.is_leaving
        and candidate.upstream.weights == chosen.weights
        and candidate.upstream.software_version == chosen.software_version
        and candidate.state.backoff_until_s <= now_s
        and candidate.state.avoided_until_s <= now_s
        and (candidate.requests(now_s) + 1) * prompt.prompt_tokens < max_tokens
    ]
    if not others:
        return None
    best = min(
        others,
        key=lambda candidate: (
            engine_costs.cost_tokens(candidate, speed, now_s),
            candidate.upstream.zone == chosen.zone,
        ),
    )
    return best.upstream


@attrs.define(eq=False)
class _Option:
    """What one engine holds of a prompt and could copy.

    Parameters
    ----------
    candidate : Candidate
        The engine.
    cached_tokens : int
        Prompt tokens in its cache.
    rank : int
        Its rendezvous rank for the prompt's shared parts; 0 is the home.
    copy_tokens : int
        Prompt tokens that it could copy from `copy_from`.
    copy_from : str
        Address of an engine or a store.
    copy_cost : float
        Cost of one copied token, in prefilled tokens.
    """

    candidate: Candidate
    cached_tokens: int
    rank: int
    copy_tokens: int = 0
    copy_from: str = ""
    copy_cost: float = 0.0

    def missing_tokens(self, prompt: model.Prompt) -> int:
        """Return the tokens that the engine would have to prefill."""
        available = self.cached_tokens + self.copy_tokens
        return max(0, prompt.prompt_tokens - available)


def choose_for_prompt(
    prompt: model.Prompt,
    cache_scope: str,
    candidates: Sequence[Candidate],
    index: cache.CacheIndex,
    *,
    store: model.CacheStore | None = None,
    speed: speeds.EngineSpeeds = DEFAULT_SPEEDS,
    engines_report_cache: bool = False,
    now_s: float,
    times: work.UsualTimes | None = None,
    rng: random.Random | None = None,
    router_count: int = 1,
) -> Choice:
    """Choose an engine for a prompt.

    Parameters
    ----------
    prompt : model.Prompt
        The request's prompt.
    cache_scope : str
        Who shares the cached parts; the empty string for everybody.
    candidates : sequence of Candidate
        At least one.
    index : cache.CacheIndex
        What engines and stores are believed to hold.
    store : model.CacheStore or None
        Where the prompt's shared parts may be kept.
    speed : speeds.EngineSpeeds
        Prefill and copy speeds of the engines.
    engines_report_cache : bool
        Whether engines report evictions to this router.
    now_s : float
        Monotonic time.
    times : work.UsualTimes or None
        Usual times of the service's prompts; None where all engines are
        taken as equally fast.
    rng : random.Random or None
        Chooses among nearly equal engines, if there are usual times.
    router_count : int
        Number of routers that choose.
    """
    options = _options(prompt, cache_scope, candidates, index)
    copying = (
        options
        if engines_report_cache
        else _without_store(options, prompt, store)
    )
    _copy_from_engines(copying, options, speed, now_s)
    _copy_from_store(options, prompt, cache_scope, store, index, speed)
    shared_tokens = sum(part.tokens for part in prompt.shared_parts)

    def tokens(option: _Option) -> float:
        tokens = option.missing_tokens(prompt) + (
            option.copy_cost * option.copy_tokens
        )
        if option.rank == 0:
            available = option.cached_tokens + option.copy_tokens
            tokens -= HOME_CREDIT * max(0, shared_tokens - available)
        return tokens

    def cost(option: _Option) -> tuple[float, int]:
        engine = engine_costs.cost_tokens(option.candidate, speed, now_s)
        return tokens(option) + engine, option.rank

    expected = None
    if times is None:
        best = min(options, key=cost)
    else:
        to_read = [tokens(option) for option in options]
        times_s = [
            engine_costs.first_event_s(option.candidate, count, times, now_s)
            for option, count in zip(options, to_read, strict=True)
        ]
        place, other = ties.choose(times_s, rng, router_count, to_read)
        best = options[place]
        expected = outlook(candidates, times_s, place, other)
    home = next(option.candidate for option in options if option.rank == 0)
    return Choice(
        best.candidate.upstream,
        best.missing_tokens(prompt),
        best.copy_tokens,
        best.copy_from or _likely_source(best, home, shared_tokens, store),
        _save_to(best, shared_tokens, store, now_s),
        f"cached {best.cached_tokens}, copied {best.copy_tokens}, "
        f"rank {best.rank}",
        len(candidates),
        expected,
    )


def _may_use(store: model.CacheStore | None, candidate: Candidate) -> bool:
    """Whether an engine may use the store.

    Not if its weights have been superseded: an engine that loads new ones
    during a request writes parts that belong to neither version, and a
    store keeps the first content that it gets for a part.
    """
    return store is not None and candidate.weights_age_s <= 0


def _save_to(
    best: _Option,
    shared_tokens: int,
    store: model.CacheStore | None,
    now_s: float,
) -> str:
    """Return where the engine is to save the shared parts it prefills.

    Empty if requests wait there: a prompt that is prefilled seconds from
    now may overlap with a change of weights that is not known yet.
    """
    has_all = best.cached_tokens >= shared_tokens
    is_kept = store is not None and best.copy_from == store.address
    if has_all or is_kept or not _may_use(store, best.candidate):
        return ""
    if best.candidate.state.waiting_requests(now_s):
        return ""
    return store.address


def _likely_source(
    best: _Option,
    home: Candidate,
    shared_tokens: int,
    store: model.CacheStore | None,
) -> str:
    """Return the address of a source that may hold the parts unreported.

    Cache events arrive late or not at all, and this router does not see
    the prompts that others send; a lookup in vain takes a millisecond.  The
    store is named even if the engine is believed to hold all shared parts,
    as it may have evicted them since.
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


def _ranks(prompt, cache_scope, candidates) -> dict[str, int]:
    names = [candidate.upstream.incarnation for candidate in candidates]
    if prompt.shared_parts:
        names = rendezvous.ranked(
            stores.rendezvous_key(prompt, cache_scope), names
        )
    return {name: rank for rank, name in enumerate(names)}


def _salts(
    prompt: model.Prompt, cache_scope: str, candidates
) -> dict[int, str]:
    """Return cache salts by weights version; None if it is not known."""
    versions = {
        candidate.upstream.weights.get(prompt.model)
        for candidate in candidates
    }
    return {
        version: cache.make_salt(cache_scope, version) for version in versions
    }


def _options(prompt, cache_scope, candidates, index) -> list[_Option]:
    ranks = _ranks(prompt, cache_scope, candidates)
    salts = _salts(prompt, cache_scope, candidates)
    options = []
    for candidate in candidates:
        name = candidate.upstream.incarnation
        salt = salts[candidate.upstream.weights.get(prompt.model)]
        tokens = index.cached_tokens(name, salt, prompt.parts)
        options.append(_Option(candidate, tokens, ranks[name]))
    return options


def _sources(
    options: list[_Option], now_s: float
) -> dict[frozenset[tuple[str, int]], list[_Option]]:
    """Return the two engines that hold most of the prompt, by weights.

    Two, as an engine does not copy from itself.  Computed once per prompt:
    a search among all engines for each of them took most of a router's time
    at fewer than a hundred engines.
    """
    sources: dict[frozenset[tuple[str, int]], list[_Option]] = {}
    for option in options:
        state = option.candidate.state
        if (
            option.cached_tokens
            and not state.failures_in_row
            and state.avoided_until_s <= now_s
        ):
            weights = option.candidate.upstream.weights_key
            sources.setdefault(weights, []).append(option)
    return {
        weights: heapq.nlargest(
            2, holders, key=lambda holder: holder.cached_tokens
        )
        for weights, holders in sources.items()
    }


def _without_store(
    options: list[_Option],
    prompt: model.Prompt,
    store: model.CacheStore | None,
) -> list[_Option]:
    """Return the options with no store to fetch shared parts from.

    Used where engines do not report evictions.  An engine that prefilled
    the parts seconds ago may have evicted them since; as only one source
    can be named, the prompt would then be prefilled again although the
    store has it.
    """
    if not prompt.shared_parts:
        return options
    return [
        option for option in options if not _may_use(store, option.candidate)
    ]


def _copy_from_engines(
    copying: list[_Option],
    options: list[_Option],
    speed: speeds.EngineSpeeds,
    now_s: float,
) -> None:
    """Set the source of each option that copies to the best other engine."""
    if not copying:
        return
    sources = _sources(options, now_s)
    if not sources:
        return
    costs = {
        is_same: speed.copy_cost(same_zone=is_same)
        for is_same in (True, False)
    }
    for option in copying:
        holders = sources.get(option.candidate.upstream.weights_key)
        if holders is None or holders == [option]:
            continue
        source = holders[0] if holders[0] is not option else holders[1]
        copied = source.cached_tokens - option.cached_tokens
        if copied < MIN_COPY_TOKENS:
            continue
        upstream = source.candidate.upstream
        option.copy_tokens = copied
        option.copy_from = upstream.address
        option.copy_cost = costs[
            upstream.zone == option.candidate.upstream.zone
        ]


def _copy_from_store(
    options: list[_Option],
    prompt: model.Prompt,
    cache_scope: str,
    store: model.CacheStore | None,
    index: cache.CacheIndex,
    speed: speeds.EngineSpeeds,
) -> None:
    """Set the source of options to the store where it holds more."""
    if store is None:
        return
    stored_tokens = {
        version: index.cached_tokens(store.address, salt, prompt.parts)
        for version, salt in _salts(
            prompt, cache_scope, (option.candidate for option in options)
        ).items()
    }
    if not any(stored_tokens.values()):
        return
    costs = {
        is_same: speed.store_cost(same_zone=is_same)
        for is_same in (True, False)
    }
    for option in options:
        if not _may_use(store, option.candidate):
            continue
        upstream = option.candidate.upstream
        fetched = (
            stored_tokens[upstream.weights.get(prompt.model)]
            - option.cached_tokens
        )
        if fetched < max(MIN_COPY_TOKENS, option.copy_tokens + 1):
            continue
        option.copy_tokens = fetched
        option.copy_from = store.address
        option.copy_cost = costs[store.zone == upstream.zone]
