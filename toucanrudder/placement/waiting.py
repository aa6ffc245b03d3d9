"""Expected time until an engine starts on a request."""

from toucanrudder.placement import types

# A report older than this says nothing; own and peers' counts remain.
MAX_REPORT_AGE_S = 5.0
# Seconds for which a request holds its slot, when nothing better is known.
SLOT_HOLD_S = 1.0


def expected_s(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the seconds that a new request would wait there.

    Parameters
    ----------
    upstream : types.UpstreamView
        The engine.
    now_s : float
        Present monotonic time.

    Returns
    -------
    float
        Time to compute the prompts ahead of it, and to get a slot.
    """
    tokens = queued_tokens(upstream, now_s)
    return tokens / _speed(upstream) + _slot_wait_s(upstream, now_s)


def queued_tokens(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the prompt tokens to be computed before a new request.

    Reports lag.  An engine reported idle attracts all routers until the
    next report, each unaware of the others, and drowns.  So a report is
    worked off at the engine's speed as it ages, and what this router and
    its peers sent counts at once.  The larger of the two is taken:
    their sum would count work twice that the report already shows.
    """
    age_s = max(0.0, now_s - upstream.reported_at_s)
    reported = 0.0
    if age_s <= MAX_REPORT_AGE_S:
        reported = upstream.queued_prefill_tokens * upstream.computed_share
        reported -= age_s * _speed(upstream)
    sent = upstream.own_prefill_tokens + upstream.peer_prefill_tokens
    # Engines run urgent work first.  Counting what a request overtakes as
    # wait would drive urgent requests away from their cached prefixes
    # whenever background work is queued there.
    return max(0.0, reported, sent) * upstream.ahead_share


def requests(upstream: types.UpstreamView, now_s: float) -> float:
    """Return the requests there, by the report or by routers' counts."""
    age_s = max(0.0, now_s - upstream.reported_at_s)
    reported = 0
    if age_s <= MAX_REPORT_AGE_S:
        reported = upstream.running + upstream.waiting
    sent = upstream.own_in_flight + upstream.peer_in_flight
    return max(reported, sent)


def _slot_wait_s(upstream: types.UpstreamView, now_s: float) -> float:
    slots = max(1, upstream.slots)
    beyond = requests(upstream, now_s) - slots + 1
    return max(0.0, beyond) * SLOT_HOLD_S / slots


def _speed(upstream: types.UpstreamView) -> float:
    return max(1.0, upstream.prefill_tokens_per_s)
