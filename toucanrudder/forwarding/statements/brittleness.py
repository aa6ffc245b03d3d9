"""Services whose upstreams fail if they have to refuse too often.  No I/O.

Such an upstream says how many requests per second it can refuse for want of
room.  The limit holds for all routers together, and the upstream's room to
queue requests may shrink at the same time.  Expected load: some ten requests
per second and upstream, over up to 200 routers.

Routers divide the slots of each upstream among themselves, by rendezvous
hashing over the live routers, and use no more than their own part unless a
recent report shows that the upstream is mostly idle.  A router without a free
slot of its own hands the request over to one that may have some.  After a
refusal all routers leave the upstream alone for a while.
"""

from collections.abc import Sequence

import attrs

from toucanrudder.forwarding import model
from toucanrudder.forwarding import upstream_states
from toucanrudder.membership import ownership
from toucanrudder.membership import routers

#: Time for which a service counts as brittle after its upstreams last said
#: so.
STATEMENT_KEPT_S = 5.0

#: Backoff of all routers after a refusal, and the limit for which it is long
#: enough.  Some requests are under way until all routers have heard of it.
REFUSED_BACKOFF_S = 1.0
TYPICAL_LIMIT_PER_S = 4.0
MAX_BACKOFF_S = 5.0

#: Time after a refusal in which a router uses only its own slots.
CAUTION_S = 5.0

#: Share of the slots that may be taken by a recent report if a router is to
#: use a slot that is not its own.
MOSTLY_IDLE_SHARE = 0.34


@attrs.frozen
class Statement:
    """What a router knows of a brittle service.

    Parameters
    ----------
    refusals_per_s : float
        Refusals per second from which one of its upstreams fails.
    at_s : float
        Monotonic time at which an upstream last said so.
    """

    refusals_per_s: float
    at_s: float


@attrs.define(eq=False)
class BrittleServices:
    """Services that are brittle now, by this router's and its peers' word.

    Examples
    --------
    >>> services = BrittleServices()
    >>> services.record("app", 5.0, now_s=1.0)
    >>> services.limit_per_s("app", 2.0), services.limit_per_s("app", 9.0)
    (5.0, None)
    """

    _statements: dict[str, Statement] = attrs.field(factory=dict)

    def record(
        self, service: str, refusals_per_s: float | None, now_s: float
    ) -> None:
        """Record what an upstream's answer says; None ends the statement."""
        if refusals_per_s is not None:
            self._statements[service] = Statement(refusals_per_s, now_s)
        else:
            self._statements.pop(service, None)

    def merge(
        self, service: str, refusals_per_s: float, said_at_s: float
    ) -> None:
        """Record a peer's word, unless this router has heard later."""
        known = self._statements.get(service)
        if known is None or known.at_s < said_at_s:
            self._statements[service] = Statement(refusals_per_s, said_at_s)

    def limit_per_s(self, service: str, now_s: float) -> float | None:
        """Return the service's limit; None if it is not brittle."""
        statement = self._statements.get(service)
        if statement is None or now_s - statement.at_s >= STATEMENT_KEPT_S:
            return None
        return statement.refusals_per_s

    def current(self, now_s: float) -> dict[str, Statement]:
        """Return the statements that still count, by service."""
        self._statements = {
            service: statement
            for service, statement in self._statements.items()
            if now_s - statement.at_s < STATEMENT_KEPT_S
        }
        return dict(self._statements)


def backoff_s(refusals_per_s: float) -> float:
    """Return how long all routers leave an upstream alone after a refusal.

    Examples
    --------
    >>> backoff_s(8.0), backoff_s(2.0), backoff_s(0.0)
    (1.0, 2.0, 5.0)
    """
    if refusals_per_s <= 0:
        return MAX_BACKOFF_S
    scale = max(1.0, TYPICAL_LIMIT_PER_S / refusals_per_s)
    return min(MAX_BACKOFF_S, REFUSED_BACKOFF_S * scale)


@attrs.define(eq=False)
class SlotOwners:
    """Which routers own the slots of an upstream.

    Parameters
    ----------
    name : str
        This router's name.

    Examples
    --------
    >>> members = [routers.Member(name, "", 1) for name in ("r1", "r2")]
    >>> upstream = model.Upstream("u", "app", "u:1", slots=3)
    >>> sorted(
    ...     SlotOwners(members[own].name).own_slots(
    ...         upstream, (members[1 - own],)
    ...     )
    ...     for own in (0, 1)
    ... )
    [1, 2]
    """

    name: str
    _peers: tuple[routers.Member, ...] = ()
    _ownership: ownership.Ownership = attrs.field(factory=ownership.Ownership)

    def ranking(
        self, upstream: model.Upstream, peers: tuple[routers.Member, ...]
    ) -> Sequence[str]:
        """Return the names of all routers in their order at an upstream."""
        if peers is not self._peers or not self._ownership.names:
            self._peers = peers
            self._ownership.update([self.name, *(peer.name for peer in peers)])
        return self._ownership.owners(upstream.incarnation)

    def own_slots(
        self, upstream: model.Upstream, peers: tuple[routers.Member, ...]
    ) -> int:
        """Return how many slots of an upstream this router owns."""
        ranking = self.ranking(upstream, peers)
        share, rest = divmod(upstream.slots, len(ranking))
        return share + (ranking.index(self.name) < rest)

    def owners(
        self, upstream: model.Upstream, peers: tuple[routers.Member, ...]
    ) -> Sequence[str]:
        """Return the names of the routers that own slots of an upstream."""
        return self.ranking(upstream, peers)[: upstream.slots]


def has_room(
    state: upstream_states.UpstreamState,
    slots: int,
    own_slots: int,
    total_requests: float,
    now_s: float,
) -> bool:
    """Return whether a brittle upstream takes another request of this router.

    Parameters
    ----------
    state : upstream_states.UpstreamState
        The upstream as seen by this router.
    slots, own_slots : int
        Requests that it runs concurrently, and this router's part of them.
    total_requests : float
        Requests of all routers there, as far as this one knows.
    now_s : float
        Monotonic time.
    """
    if state.waiting_requests(now_s) or total_requests >= slots:
        return False
    if state.requests < own_slots:
        return True
    return (
        state.has_recent_load(now_s)
        and total_requests < MOSTLY_IDLE_SHARE * slots
        and now_s - state.refused_at_s >= CAUTION_S
    )
