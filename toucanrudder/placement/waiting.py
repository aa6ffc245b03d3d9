"""Estimates of the work queued at an engine."""

from toucanrudder.placement import types

# Older reports are ignored; the routers' own counts remain.
MAX_REPORT_AGE_S = 5.0
# Assumed seconds for which a request occupies its slot.
SLOT_HOLD_S = 1.0


def expected_wait_s(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the expected wait of a new request for its prefill.

    Parameters
    ----------
    upstream : types.UpstreamView
        The engine.
    now_s : float
        Current monotonic time.

    Returns
    -------
    float
        Seconds to compute the prompts ahead of it and to get a slot.
    """
    tokens = queued_tokens(upstream, now_s)
    return tokens / _speed(upstream) + _slot_wait_s(upstream, now_s)


def queued_tokens(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the prompt tokens to be computed before a new request.

    Load reports lag.  An engine reported idle would get the requests of
    all routers until its next report, and be overloaded.  So the reported
    work decreases at the engine's speed as the report ages, and work sent
    by this router and its peers counts at once.  The result is the larger
    of the two: their sum would count twice what the report already covers.
    """
    age_s = max(0.0, now_s - upstream.reported_at_s)
    reported = 0.0
    if age_s <= MAX_REPORT_AGE_S:
        reported = upstream.queued_prefill_tokens * upstream.computed_share
        reported -= age_s * _speed(upstream)
    sent = upstream.own_prefill_tokens + upstream.peer_prefill_tokens
    # Engines run urgent work first.  Counting work that a request overtakes
    # as wait would place urgent requests away from their cached prefixes
    # whenever background work is queued there.
    return max(0.0, reported, sent) * upstream.ahead_share


def request_count(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the larger of the reported and the routers' own counts."""
    age_s = max(0.0, now_s - upstream.reported_at_s)
    reported = 0
    if age_s <= MAX_REPORT_AGE_S:
        reported = upstream.running + upstream.waiting
    sent = upstream.own_in_flight + upstream.peer_in_flight
    return max(reported, sent)


def _slot_wait_s(upstream: types.UpstreamView, now_s: float) -> float:
    slots = max(1, upstream.slots)
    excess = request_count(upstream, now_s) - slots + 1
    return max(0.0, excess) * SLOT_HOLD_S / slots


def _speed(upstream: types.UpstreamView) -> float:
    return max(1.0, upstream.prefill_tokens_per_s)
