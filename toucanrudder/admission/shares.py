"""Division of the places at a service among equal routers.  No I/O."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

#: Time for which a router that is not heard of any more keeps its places.
KEPT_S = 30.0


def own_places(
    places: Iterable[tuple[str, int]], routers: Iterable[str], name: str
) -> dict[str, int]:
    """Return how many places at each upstream are a router's own.

    All routers that know the same upstreams and routers divide alike: no
    place has two owners, and no router has two places more than another.

    Parameters
    ----------
    places : iterable of tuple
        Upstreams with the requests that each runs at once.
    routers : iterable of str
        All live routers, this one included.
    name : str
        This router.

    Examples
    --------
    >>> own_places([("u", 2), ("v", 2)], ["r1", "r2", "r3"], "r1")
    {'u': 1, 'v': 1}
    >>> own_places([("u", 2), ("v", 2)], ["r1", "r2", "r3"], "r3")
    {'u': 0, 'v': 1}
    """
    ordered = sorted(routers)
    own, count, first = {}, len(ordered), ordered.index(name)
    for upstream, slots in sorted(places):
        whole, rest = divmod(max(0, slots), count)
        own[upstream] = whole + (first < rest)
        # The next upstream's first place goes to the router whose turn it is.
        first = (first - rest) % count
    return own


def owners(routers: Iterable[str], places: int) -> set[str]:
    """Return the routers that own a place, given the number of all places.

    Examples
    --------
    >>> owners(["r3", "r1", "r2"], 2) == {"r1", "r2"}
    True
    """
    return set(sorted(routers)[:places])


@attrs.define(eq=False)
class OwnPlaces:
    """A router's own places, computed anew when something has changed.

    A router that is not heard of may be out of reach only, and use its
    places; so it keeps them for a while.

    Parameters
    ----------
    name : str
        This router.
    """

    name: str
    _inputs: tuple = ()
    _lapses_s: float = 0.0
    _seen_s: dict[str, float] = attrs.field(factory=dict)
    _own: dict[str, int] = attrs.field(factory=dict)

    def at(
        self, upstreams: Sequence, peers: Sequence, now_s: float
    ) -> dict[str, int]:
        """Return the own places by incarnation.

        Parameters
        ----------
        upstreams : sequence of model.Upstream
            Those of one service.
        peers : sequence of routers.Member
            The other live routers.
        now_s : float
            Monotonic time.
        """
        if (
            self._inputs
            and self._inputs[0] is upstreams
            and self._inputs[1] is peers
            and now_s < self._lapses_s
        ):
            return self._own
        if self._inputs:
            for peer in self._inputs[1]:
                self._seen_s[peer.name] = now_s
        live = {self.name, *(peer.name for peer in peers)}
        self._seen_s = {
            name: seen_s
            for name, seen_s in self._seen_s.items()
            if name not in live and now_s - seen_s < KEPT_S
        }
        self._lapses_s = KEPT_S + min(self._seen_s.values(), default=now_s)
        self._inputs = upstreams, peers
        self._own = own_places(
            (
                (each.incarnation, each.slots)
                for each in upstreams
                if not each.is_leaving
            ),
            live | set(self._seen_s),
            self.name,
        )
        return self._own
