"""Engines preferred for a prompt, by the request rates of its prefixes.

Prompts share nested prefixes: a preamble, within it a project, within that
a question.  Placing by the preamble keeps each preamble on one engine and
overloads that engine; placing by the question balances the load and
computes every preamble on every engine.  Here each prefix, outermost first,
gets as many engines as its share of the traffic needs, chosen among the
engines of the enclosing prefix.  A rare preamble thus has one engine, and a
hot one several, with its projects divided among them; only a project too
hot for one engine is computed more than once.  The number of engines
follows the rates in both directions.
"""

import math

from toucanrudder.placement import rendezvous
from toucanrudder.placement import types

# Factor on the engines that a share of the traffic needs; above 1 because
# shares are estimates and requests differ in size.
HEADROOM = 1.25


def preferred_engines(
    fleet: types.FleetView, query: types.Query
) -> tuple[str, ...]:
    """Return the engines that should cache the prompt's prefix.

    Parameters
    ----------
    fleet : types.FleetView
        Engines, with the request rates of the prompt's prefix keys.
    query : types.Query
        The request, with its prefix keys.

    Returns
    -------
    tuple of str
        Names, most preferred first; empty only if there is no engine.
        All engines if the prompt has no keys.
    """
    names = [upstream.name for upstream in fleet.upstreams]
    if not query.prefix_keys:
        return tuple(names)
    engine_count = len(names)
    for key in query.prefix_keys:
        needed = _engines_needed(fleet, key, engine_count)
        names = rendezvous.ranked(key, names)[:needed]
        if len(names) <= 1:
            break
    return tuple(names)


def _engines_needed(
    fleet: types.FleetView, key: bytes, engine_count: int
) -> int:
    if fleet.total_rate_per_s <= 0:
        return 1
    share = fleet.prefix_rates.get(key, 0.0) / fleet.total_rate_per_s
    return max(1, math.ceil(min(1.0, share) * engine_count * HEADROOM))
