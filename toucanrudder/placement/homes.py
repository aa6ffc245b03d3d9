"""Which engines a prompt belongs to, by the heat of its prefixes.

Prompts nest: a preamble holds projects, a project holds questions.  To
place by the preamble keeps each preamble on one engine and overloads it;
to place by the question balances well and computes everything everywhere.
Here each prefix, outermost first, gets as many engines as its share of
the traffic needs, chosen among the engines of the prefix around it.  So a
rare preamble has one engine, a hot one several with its projects divided
among them, and only a project too hot for one engine is computed twice.
The number follows the heat up and down.
"""

import math

from toucanrudder.placement import rendezvous
from toucanrudder.placement import types

# Engines per unit of share, above 1 because shares are estimates and
# requests differ in size.
HEADROOM = 1.25


def homes(fleet: types.FleetView, query: types.Query) -> tuple[str, ...]:
    """Return the engines that should hold the prompt's prefix.

    Parameters
    ----------
    fleet : types.FleetView
        With the heat of the prompt's keys.
    query : types.Query
        With the prompt's keys.

    Returns
    -------
    tuple of str
        Names, best first; never empty while there is an engine.  Without
        keys all engines are equal and all are returned.
    """
    names = [upstream.name for upstream in fleet.upstreams]
    if not query.prefix_keys:
        return tuple(names)
    engines = len(names)
    for key in query.prefix_keys:
        wanted = _engines_needed(fleet, key, engines)
        names = rendezvous.ranked(key, names)[:wanted]
        if len(names) <= 1:
            break
    return tuple(names)


def _engines_needed(fleet: types.FleetView, key: bytes, engines: int) -> int:
    if fleet.total_rate_per_s <= 0:
        return 1
    share = fleet.heat.get(key, 0.0) / fleet.total_rate_per_s
    return max(1, math.ceil(min(1.0, share) * engines * HEADROOM))
