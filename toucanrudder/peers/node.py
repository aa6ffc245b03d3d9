"""Builds this router's heartbeats and handles those of its peers."""

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
from toucanrudder.peers import positions as peer_positions
from toucanrudder.prefix import request_rates
from toucanrudder.quarantine import entry
from toucanrudder.quarantine import log as entry_logs

LOG = logging.getLogger(__name__)

#: Members sent in full in one heartbeat, and how many of them are a sample
#: of all, for peers that missed an announcement.
MAX_GOSSIPED_MEMBERS = 32
SAMPLED_MEMBERS = 4

#: Unknown routers requested by one heartbeat; the answer has them in full.
MAX_WANTED = 32

#: Routers whose beats are in one heartbeat's digest.
MAX_DIGEST = 256

#: Hot prefixes in one heartbeat.
MAX_HOT_PREFIXES = 32

#: Age up to which quarantine entries go into a heartbeat to a peer that has
#: not said which ones it has, by the wall clock.  Older ones are requested
#: with `want_all`.
RECENT_ENTRY_S = 30.0

#: One in this many heartbeats requests all quarantine entries.
WANT_ALL_EVERY = 120


@attrs.define
class HeartbeatHooks:
    """Sources of a heartbeat's content, and callbacks for received ones.

    Parameters
    ----------
    loads : callable
        Returns this router's own load at upstreams.
    quarantine : callable
        Given the wall clock and a time of it, returns the quarantine entries
        since then, and older ones that peers must not lack.
    quarantine_log : callable
        Given the wall clock, returns the log of the quarantine entries, or
        None if there is none.
    leaving : callable
        Returns whether this router is stopping.
    hot_prefixes : callable
        Given a count and the monotonic time, returns as many of the
        hottest prefixes.
    total_rate_per_s : callable
        Given the monotonic time, returns this router's own request rate.
    on_quarantine : callable
        Given a peer's quarantine entries, the wall clock and the digest key
        of the peer's process.
    on_hot_prefixes : callable
        Given a peer's name, hot prefixes and total rate, and the monotonic
        time.
    leaving_upstreams, avoided, unreached, brittle, full, limited : callable
        Given the monotonic time, return these fields of the heartbeat.
    engine_weights : callable
        Given the monotonic time, returns the weights that engines stated.
    registry : callable
        Given the monotonic time, returns when the registry served calls.
    weights : callable
        Given the monotonic time, returns the newest weights versions named
        in the store.
    software : callable
        Given the monotonic time, returns the software versions seen.
    fleet : callable
        Given the monotonic time, returns the largest recent number of live
        routers.
    on_upstream_news : callable
        Given a peer's heartbeat and the monotonic time.
    on_loads : callable
        Given a complete heartbeat, not one with urgent news only, and the
        monotonic time.
    """

    loads: Callable[[], tuple[messages.UpstreamLoad, ...]] = tuple
    leaving: Callable[[], bool] = lambda: False
    quarantine: Callable[[float, float], tuple[entry.Entry, ...]] = (
        lambda wall_s, since_s: ()
    )
    quarantine_log: Callable[[float], entry_logs.EntryLog | None] = (
        lambda wall_s: None
    )
    hot_prefixes: Callable[
        [int, float], tuple[request_rates.HotPrefix, ...]
    ] = lambda count, now_s: ()
    total_rate_per_s: Callable[[float], float] = lambda now_s: 0.0
    on_quarantine: Callable[[tuple[entry.Entry, ...], float, int], object] = (
        lambda entries, wall_s, source: None
    )
    on_hot_prefixes: Callable[
        [str, tuple[request_rates.HotPrefix, ...], float, float], None
    ] = lambda peer, prefixes, total, now_s: None
    leaving_upstreams: Callable[[float], tuple[str, ...]] = lambda now_s: ()
    avoided: Callable[[float], tuple[messages.Avoided, ...]] = lambda now_s: ()
    unreached: Callable[[float], tuple[str, ...]] = lambda now_s: ()
    brittle: Callable[[float], tuple[messages.Brittle, ...]] = lambda now_s: ()
    full: Callable[[float], tuple[messages.Avoided, ...]] = lambda now_s: ()
    limited: Callable[[float], tuple[messages.Limited, ...]] = lambda now_s: ()
    engine_weights: Callable[[float], tuple[messages.EngineWeights, ...]] = (
        lambda now_s: ()
    )
    registry: Callable[[float], messages.Served | None] = lambda now_s: None
    weights: Callable[[float], tuple[messages.Weights, ...]] = lambda now_s: ()
    software: Callable[[float], messages.SoftwareNews] = lambda now_s: (
        messages.SoftwareNews()
    )
    fleet: Callable[[float], messages.FleetSize | None] = lambda now_s: None
    on_upstream_news: Callable[[messages.Heartbeat, float], None] = (
        lambda heartbeat, now_s: None
    )
    on_loads: Callable[[messages.Heartbeat, float], None] = (
        lambda heartbeat, now_s: None
    )


class Document(Protocol):
    """A configuration document of any type that has a generation."""

    @property
    def generation(self) -> int:
        """Rises with each accepted change."""


class Node:
    """Builds this router's heartbeats and handles those of peers.

    Parameters
    ----------
    name : str
        This router's name.
    incarnation : int
        Start of this process, milliseconds since the epoch.
    table : routers.RouterTable
        Known routers; updated only here.
    loads : peer_loads.PeerLoads
        Load of other routers; updated only here.
    current : callable
        Returns the document in force, or None.
    hooks : HeartbeatHooks
        Sources and callbacks for the other fields.
    rng : random.Random
        Chooses the members to gossip.
    zone : str
        This router's availability zone, or empty.
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
        zone: str = "",
    ):
        self.name = name
        self.zone = zone
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
        self._positions = peer_positions.QuarantinePositions(
            routers.digest_key(name, incarnation)
        )
        self._told_position = 0
        table.set_own_identity(name, incarnation)

    def generations(self, now_s: float) -> dict[str, int]:
        """Return the generation last reported by each reachable router."""
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
        """Return whether the member is this process."""
        return (member.name, member.incarnation) == (
            self.name,
            self._incarnation,
        )

    def heartbeat(
        self,
        now_s: float,
        wall_s: float,
        *,
        receiver: routers.Member | None = None,
        all_entries: bool = False,
        wanted: Sequence[int] = (),
    ) -> messages.Heartbeat:
        """Return the next heartbeat.

        Parameters
        ----------
        now_s, wall_s : float
            Monotonic time and wall clock.
        receiver : routers.Member or None
            The peer that it is for, if known.
        all_entries : bool
            Whether a peer of which it is not known which quarantine entries
            it has has requested all.
        wanted : sequence of int
            Digest keys of routers that the peer requested.
        """
        members = self.table.members_to_gossip(
            MAX_GOSSIPED_MEMBERS, SAMPLED_MEMBERS, now_s, self._rng
        ) + self.table.members_by_key(wanted[:MAX_WANTED], now_s)
        self._heartbeats += 1
        return attrs.evolve(
            self._next_heartbeat(now_s),
            **self._quarantine_for(receiver, wall_s, all_entries),
            loads=self._hooks.loads(),
            hot_prefixes=self._hooks.hot_prefixes(MAX_HOT_PREFIXES, now_s),
            total_rate_per_s=self._hooks.total_rate_per_s(now_s),
            members=members,
            want_all=self._heartbeats % WANT_ALL_EVERY == 1,
            digest=self.table.digest(MAX_DIGEST, now_s, self._rng),
            wanted=self.table.missing_keys(MAX_WANTED, now_s),
        )

    def _quarantine_for(
        self, receiver: routers.Member | None, wall_s: float, all_entries: bool
    ) -> dict[str, object]:
        """Return the fields of a heartbeat about quarantine entries."""
        self._positions.forget_unless(self.table.knows)
        log = self._hooks.quarantine_log(wall_s)
        acknowledged = positions = None
        if log is not None and receiver is not None:
            key = peer_positions.key_of(receiver)
            acknowledged = self._positions.acknowledged(receiver)
            positions = messages.QuarantinePositions(
                key, self._positions.seen(receiver)
            )
        if acknowledged is not None:
            extract = log.after(acknowledged, key, messages.MAX_QUARANTINE)
            return {
                "quarantine": extract.entries,
                "quarantine_positions": attrs.evolve(
                    positions, position=extract.position
                ),
            }
        since_s = float("-inf") if all_entries else wall_s - RECENT_ENTRY_S
        return {
            "quarantine": self._hooks.quarantine(wall_s, since_s),
            "quarantine_positions": positions,
        }

    def has_quarantine_news(self, wall_s: float) -> bool:
        """Whether `urgent_heartbeat` would tell of quarantine entries."""
        log = self._hooks.quarantine_log(wall_s)
        return log is not None and log.own_position > self._told_position

    def urgent_heartbeat(
        self, now_s: float, wall_s: float
    ) -> messages.Heartbeat:
        """Return the next heartbeat with its urgent fields only.

        Of quarantine entries it has those that this router has observed
        since the last one; exchanges bring peers what they miss of them.

        Parameters
        ----------
        now_s, wall_s : float
            Monotonic time and wall clock.
        """
        log = self._hooks.quarantine_log(wall_s)
        if log is None:
            entries = self._hooks.quarantine(wall_s, wall_s - RECENT_ENTRY_S)
        else:
            news = log.own_after(self._told_position, messages.MAX_QUARANTINE)
            entries, self._told_position = news.entries, news.position
        return attrs.evolve(self._next_heartbeat(now_s), quarantine=entries)

    def _next_heartbeat(self, now_s: float) -> messages.Heartbeat:
        self._beat += 1
        return messages.Heartbeat(
            sender=routers.Member(
                self.name,
                self.address,
                self._incarnation,
                self._beat,
                self._hooks.leaving(),
                self.zone,
            ),
            generation=self.generation(),
            leaving_upstreams=self._hooks.leaving_upstreams(now_s),
            avoided=self._hooks.avoided(now_s),
            unreached=self._hooks.unreached(now_s),
            brittle=self._hooks.brittle(now_s),
            full=self._hooks.full(now_s),
            registry=self._hooks.registry(now_s),
            weights=self._hooks.weights(now_s),
            software=self._hooks.software(now_s),
            fleet=self._hooks.fleet(now_s),
            limited=self._hooks.limited(now_s),
            engine_weights=self._hooks.engine_weights(now_s),
        )

    def receive(
        self, heartbeat: messages.Heartbeat, now_s: float, wall_s: float
    ) -> None:
        """Handle a peer's heartbeat."""
        sender = heartbeat.sender
        if sender.name == self.name:
            return
        self.receive_urgent(heartbeat, now_s, wall_s)
        self._receive_gossip(heartbeat, now_s)
        log = self._hooks.quarantine_log(wall_s)
        if log is not None:
            self._positions.receive(heartbeat, log.position)
        self._loads.replace(sender.name, heartbeat.loads, now_s)
        self._hooks.on_loads(heartbeat, now_s)
        self._hooks.on_hot_prefixes(
            sender.name,
            heartbeat.hot_prefixes,
            heartbeat.total_rate_per_s,
            now_s,
        )

    def receive_urgent(
        self, heartbeat: messages.Heartbeat, now_s: float, wall_s: float
    ) -> None:
        """Handle the urgent fields of a peer's heartbeat."""
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
            zone=sender.zone,
        )
        self._generations[sender.name] = heartbeat.generation
        self._hooks.on_quarantine(
            heartbeat.quarantine, wall_s, peer_positions.key_of(sender)
        )
        self._hooks.on_upstream_news(heartbeat, now_s)

    def _receive_gossip(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        all_plausible = self.table.record_digest(heartbeat.digest, now_s)
        for member in heartbeat.members:
            if member.name != self.name:
                all_plausible &= self.table.record_gossip(member, now_s)
        if not all_plausible:
            count_refusal("impossible_member")
            LOG.warning(
                "implausible heartbeat state of routers gossiped by a peer",
                extra={"peer": heartbeat.sender.name},
            )


def count_refusal(reason: str) -> None:
    """Count a refused message of a peer, or a failed call to one."""
    metrics.counter(
        "toucanrudder_peer_refusals", "Refused or failed calls of peers"
    ).add(1, {"reason": reason})
