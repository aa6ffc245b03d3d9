"""What one router's answers from an upstream tell all routers.  No I/O.

Expected load: in a fleet of many routers, each asks a given upstream only
every few seconds.  Left to its own answers, every router would meet each
upstream that was replaced, that loads weights or that has loaded them, and
all these attempts are charged to the retry budget that the fleet shares.
"""

import attrs

from toucanrudder import backoff
from toucanrudder.forwarding import model

#: Number of routers up to which each learns by its own attempts: it asks each
#: upstream so often that news of peers would come later.
MAX_SELF_TAUGHT_ROUTERS = 16

#: Time for which a process is not used whose address another one serves:
#: longer than a registry lists a process that it does not hear of.
REPLACED_S = 10.0

#: First and longest time for which an engine that refuses is not used.  The
#: longest is well below the time that an engine needs to load weights.
MIN_REFUSAL_S = 0.05
MAX_REFUSAL_S = 0.4

#: Refusals in a row, of this router's requests, after which peers are told.
TOLD_REFUSALS = 2

#: Time for which peers are told the weights that an engine has stated: as
#: long as a change of its entry may take to reach all routers.
WEIGHTS_TOLD_S = 3.0

#: Most engines whose weights are told at once.
MAX_TOLD_ENGINES = 1024


def is_told(routers: int) -> bool:
    """Return whether so many routers tell each other what they have met.

    Examples
    --------
    >>> is_told(8), is_told(59)
    (False, True)
    """
    return routers > MAX_SELF_TAUGHT_ROUTERS


def replaced_for_s(upstream: model.Upstream) -> float:
    """Return how long an upstream is not used after another one answered.

    Parameters
    ----------
    upstream : model.Upstream
        The process that was asked.  Without a start time, another start
        under its name would be taken for it, so it is asked again soon.

    Examples
    --------
    >>> replaced_for_s(model.Upstream("u@7", "s", "u:1", started_at_ms=7))
    10.0
    >>> replaced_for_s(model.Upstream("u", "s", "u:1"))
    0.0
    """
    return REPLACED_S if upstream.started_at_ms else 0.0


def refusal_s(refusals_in_row: int) -> float:
    """Return how long an engine is not used after refusals in a row.

    Examples
    --------
    >>> [refusal_s(count) for count in (1, 2, 3, 9)]
    [0.05, 0.1, 0.2, 0.4]
    """
    return backoff.exponential_s(refusals_in_row, MIN_REFUSAL_S, MAX_REFUSAL_S)


@attrs.frozen
class StatedWeights:
    """Weights that an engine has stated to this router itself."""

    incarnation: str
    model: str
    version: int
    at_s: float


class WeightsNews:
    """Weights that engines have stated recently, to be told to peers.

    What peers tell is not told on: an entry would else outlive its time as
    long as any two routers repeat it.

    Examples
    --------
    >>> news = WeightsNews()
    >>> news.record("e1", "m", 2, now_s=0.0)
    >>> [each.version for each in news.current(now_s=1.0)]
    [2]
    >>> news.current(now_s=9.0)
    ()
    """

    def __init__(self):
        self._stated: dict[tuple[str, str], StatedWeights] = {}

    def record(
        self, incarnation: str, name: str, version: int, now_s: float
    ) -> None:
        """Record a version that an engine has stated."""
        key = (incarnation, name)
        self._stated.pop(key, None)
        self._stated[key] = StatedWeights(incarnation, name, version, now_s)
        if len(self._stated) > MAX_TOLD_ENGINES:
            del self._stated[next(iter(self._stated))]

    def current(self, now_s: float) -> tuple[StatedWeights, ...]:
        """Return what is to be told now."""
        self._stated = {
            key: stated
            for key, stated in self._stated.items()
            if now_s - stated.at_s < WEIGHTS_TOLD_S
        }
        return tuple(self._stated.values())
