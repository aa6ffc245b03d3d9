"""Which requests a router takes while it stops."""

from toucanrudder.forwarding import model

#: Remaining time until the end of a planned stop, as a multiple of a
#: route's latency objective, for a request to be accepted: under overload
#: of the engines, the 99th percentile is five objectives.
DRAIN_OBJECTIVES = 6.0

#: Seconds from the start of a planned stop within which requests are accepted
#: that may outlast it.  The load balancer needs this long to stop sending;
#: later requests arrive only on connections that stay open.
DRAIN_LONG_REQUESTS_S = 3.0


def finishes_before_stop(
    route: model.Route,
    wait_s: float | None,
    *,
    stopping_for_s: float,
    remaining_s: float,
) -> bool:
    """Return whether an answer will be complete before a planned stop.

    A request that is accepted late in a planned stop would be cut when the
    process ends, and might not be repeatable.  How long it takes is up to
    its upstream, so once the load balancer has stopped sending, a request is
    accepted only if its whole time limit fits.  Others are refused as not
    run, and callers send them to another router.

    Parameters
    ----------
    route : model.Route
        The request's route.
    wait_s : float or None
        How long its caller will wait.
    stopping_for_s, remaining_s : float
        Time since the start of the stop, and until its end.

    Examples
    --------
    >>> stream = model.Route("r", "h", "/", (), is_stream=True,
    ...     timeout_s=12.0, objective_s=0.4)
    >>> finishes_before_stop(stream, None, stopping_for_s=1.0, remaining_s=6.6)
    True
    >>> finishes_before_stop(stream, None, stopping_for_s=4.7, remaining_s=2.9)
    False
    >>> finishes_before_stop(stream, 2.5, stopping_for_s=4.7, remaining_s=2.9)
    True
    """
    needs_s = DRAIN_OBJECTIVES * route.objective_s
    if stopping_for_s > DRAIN_LONG_REQUESTS_S:
        longest_s = route.timeout_s
        if wait_s is not None:
            longest_s = min(longest_s, wait_s)
        needs_s = max(needs_s, longest_s)
    return needs_s <= remaining_s
