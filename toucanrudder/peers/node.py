"""This router among its peers: what it tells, and what it does with news."""

from collections.abc import Callable
from collections.abc import Sequence
import logging
import random
from typing import Protocol

import attrs

from toucanrudder.document import acceptance
from toucanrudder.membership import routers
from toucanrudder.observability import metrics
from toucanrudder.peers import loads as peer_loads
from toucanrudder.peers import messages
from toucanrudder.prefix import request_rates
from toucanrudder.quarantine import entry

LOG = logging.getLogger(__name__)

#: Routers passed on whole in one heartbeat, and those of them that are no
#: news: who has missed one hears of it from these.
MAX_TOLD_MEMBERS = 32
OTHERS_TOLD = 4

#: Unknown routers that one heartbeat asks for; the answer tells them whole.
MAX_WANTED = 32

#: Routers of which one heartbeat tells how far they have come.
MAX_DIGEST = 256

#: Hot prefixes told in one heartbeat.
MAX_TOLD_HOT = 32

#: Age up to which quarantine entries go into each heartbeat, by the wall
#: clock.  Older ones were told before, or are asked for with `want_all`.
LATEST_S = 30.0

#: Heartbeats between two in which all quarantine entries are asked for.
ASK_ALL_EVERY = 120


@attrs.define
class HeartbeatHooks:
    """Where a heartbeat's content comes from and where news goes.

    Parameters
    ----------
    loads : callable
        Returns this router's own work at upstreams.
    quarantine : callable
        Given the wall clock, returns all entries.
    leaving : callable
        Says whether this router is stopping.
    hot_prefixes : callable
        Given a count and the monotonic time, returns the hottest.
    total_rate_per_s : callable
        Given the monotonic time, returns this router's own rate.
    merge : callable
        Takes quarantine entries and the wall clock.
    hot : callable
        Takes a peer's name, prefixes, total rate and monotonic time.
    leaving_upstreams, avoided : callable
        Given the monotonic time, return what is told of upstreams.
    registry : callable
        Given the monotonic time, returns when the registry served calls.
    weights : callable
        Returns the newest weights that have been named.
    upstream_news : callable
        Takes a heartbeat and the monotonic time.
    """

    loads: Callable[[], tuple[messages.UpstreamLoad, ...]] = tuple
    leaving: Callable[[], bool] = lambda: False
    quarantine: Callable[[float], tuple[entry.Entry, ...]] = lambda _: ()
    hot_prefixes: Callable[
        [int, float], tuple[request_rates.HotPrefix, ...]
    ] = lambda count, now_s: ()
    total_rate_per_s: Callable[[float], float] = lambda now_s: 0.0
    on_quarantine: Callable[[tuple[entry.Entry, ...], float], object] = (
        lambda entries, wall_s: None
    )
    on_hot_prefixes: Callable[
        [str, tuple[request_rates.HotPrefix, ...], float, float], None
    ] = lambda peer, prefixes, total, now_s: None
    leaving_upstreams: Callable[[float], tuple[str, ...]] = lambda now_s: ()
    avoided: Callable[[float], tuple[messages.Avoided, ...]] = lambda now_s: ()
    registry: Callable[[float], messages.Served | None] = lambda now_s: None
    weights: Callable[[], tuple[messages.Weights, ...]] = tuple
    on_upstream_news: Callable[[messages.Heartbeat, float], None] = (
        lambda heartbeat, now_s: None
    )


class Document(Protocol):
    """A configuration of any form that has a generation."""

    @property
    def generation(self) -> int:
        """Rises with each accepted change."""


class Node:
    """Builds this router's heartbeats and takes in others'.

    Parameters
    ----------
    name : str
        This router's name.
    incarnation : int
        Start of this process, milliseconds since the epoch.
    table : routers.RouterTable
        Written here only.
    loads : peer_loads.PeerLoads
        Written here only.
    current : callable
        Returns the document in force, or None.
    sources : Sources
        The rest.
    rng : random.Random
        Chooses which members are passed on.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        table: routers.RouterTable,
        loads: peer_loads.PeerLoads,
        current: Callable[[], Document | None],
        hooks: HeartbeatHooks,
        rng: random.Random,
    ):
        self.name = name
        self.address = ""
        self.table = table
        self.current = current
        self._incarnation = incarnation
        self._loads = loads
        self._hooks = hooks
        self._rng = rng
        self._beat = 0
        self._heartbeats = 0
        self._generations: dict[str, int] = {}
        table.set_own_identity(name, incarnation)

    def generations(self, now_s: float) -> dict[str, int]:
        """Return the generation last told by each reachable router."""
        known = {member.name for member in self.table.reachable(now_s)}
        self._generations = {
            name: generation
            for name, generation in self._generations.items()
            if name in known
        }
        return dict(self._generations)

    def generation(self) -> int:
        """Return the generation in force here."""
        return acceptance.generation_of(self.current())

    def is_self(self, member: routers.Member) -> bool:
        """Say whether the member is this process."""
        return (member.name, member.incarnation) == (
            self.name,
            self._incarnation,
        )

    def heartbeat(
        self,
        now_s: float,
        wall_s: float,
        *,
        tell_all: bool = False,
        wanted: Sequence[int] = (),
    ) -> messages.Heartbeat:
        """Return the next heartbeat.

        Parameters
        ----------
        now_s, wall_s : float
            Monotonic time and wall clock.
        tell_all : bool
            Whether all quarantine entries are told, as a peer has asked.
        wanted : sequence of int
            Keys of routers that a peer asks for.
        """
        members = self.table.members_to_gossip(
            MAX_TOLD_MEMBERS, OTHERS_TOLD, now_s, self._rng
        ) + self.table.members_by_key(wanted[:MAX_WANTED], now_s)
        self._heartbeats += 1
        return attrs.evolve(
            self.urgent_heartbeat(now_s, wall_s, tell_all=tell_all),
            loads=self._hooks.loads(),
            hot_prefixes=self._hooks.hot_prefixes(MAX_TOLD_HOT, now_s),
            total_rate_per_s=self._hooks.total_rate_per_s(now_s),
            members=members,
            want_all=self._heartbeats % ASK_ALL_EVERY == 1,
            digest=self.table.digest(MAX_DIGEST, now_s, self._rng),
            wanted=self.table.missing_keys(MAX_WANTED, now_s),
        )

    def urgent_heartbeat(
        self, now_s: float, wall_s: float, *, tell_all: bool = False
    ) -> messages.Heartbeat:
        """Return the part of the next heartbeat that cannot wait.

        Parameters
        ----------
        now_s, wall_s, tell_all
            As of `heartbeat`.
        """
        self._beat += 1
        entries = self._hooks.quarantine(wall_s)
        if not tell_all:
            latest_s = wall_s - LATEST_S
            entries = tuple(e for e in entries if e.at_s >= latest_s)
        return messages.Heartbeat(
            sender=routers.Member(
                self.name,
                self.address,
                self._incarnation,
                self._beat,
                self._hooks.leaving(),
            ),
            generation=self.generation(),
            quarantine=entries,
            leaving_upstreams=self._hooks.leaving_upstreams(now_s),
            avoided=self._hooks.avoided(now_s),
            registry=self._hooks.registry(now_s),
            weights=self._hooks.weights(),
        )

    def receive(
        self, heartbeat: messages.Heartbeat, now_s: float, wall_s: float
    ) -> None:
        """Take in a peer's heartbeat."""
        sender = heartbeat.sender
        if sender.name == self.name:
            return
        self.receive_urgent(heartbeat, now_s, wall_s)
        self._receive_gossip(heartbeat, now_s)
        self._loads.replace(sender.name, heartbeat.loads, now_s)
        self._hooks.on_hot_prefixes(
            sender.name,
            heartbeat.hot_prefixes,
            heartbeat.total_rate_per_s,
            now_s,
        )

    def receive_urgent(
        self, heartbeat: messages.Heartbeat, now_s: float, wall_s: float
    ) -> None:
        """Take in the part of a peer's heartbeat that could not wait."""
        sender = heartbeat.sender
        if sender.name == self.name:
            return
        self.table.record_heartbeat(
            sender.name,
            sender.address,
            sender.incarnation,
            now_s,
            beat=sender.beat,
            leaving=sender.leaving,
        )
        self._generations[sender.name] = heartbeat.generation
        self._hooks.on_quarantine(heartbeat.quarantine, wall_s)
        self._hooks.on_upstream_news(heartbeat, now_s)

    def _receive_gossip(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        is_good = self.table.record_digest(heartbeat.digest, now_s)
        for member in heartbeat.members:
            if member.name != self.name:
                is_good &= self.table.record_gossip(member, now_s)
        if not is_good:
            count_refusal("impossible_member")
            LOG.warning(
                "a peer tells of routers that cannot be",
                extra={"peer": heartbeat.sender.name},
            )


def count_refusal(reason: str) -> None:
    """Count what was refused of a peer, or a call that failed."""
    metrics.counter(
        "toucanrudder_peer_refusals", "Refused or failed calls of peers"
    ).add(1, {"reason": reason})
