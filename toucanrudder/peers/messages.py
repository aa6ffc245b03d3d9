"""What routers tell each other, as typed values, and its wire form."""

import math

import attrs

from toucanrudder.membership import routers
from toucanrudder.peers import peers_pb2
from toucanrudder.prefix import request_rates
from toucanrudder.quarantine import entry

#: Entries of each list that are read from one heartbeat; a peer's fault
#: must not fill this router's memory.
MAX_MEMBERS = 64
MAX_LOADS = 4096
MAX_QUARANTINE = 4096
MAX_HOT = 256
MAX_DIGEST = 1024

#: What no router can have at one upstream.
MOST_TOKENS = 1_000_000_000
MOST_REQUESTS = 1_000_000


class BadHeartbeat(Exception):
    """A heartbeat does not say who sent it or holds what cannot be."""


@attrs.frozen
class UpstreamLoad:
    """A router's own work at one upstream.

    Parameters
    ----------
    upstream : str
        Its name.
    prefill_tokens : int
        Prompt tokens sent there that have given no first token yet.
    requests : int
        Requests that are there now.
    """

    upstream: str
    prefill_tokens: int
    requests: int


@attrs.frozen
class Avoided:
    """An upstream's process that takes no work for a while.

    Parameters
    ----------
    upstream : str
        Identity of the process.
    for_s : float
        Seconds from the sending of the message.
    """

    upstream: str
    for_s: float


@attrs.frozen
class Weights:
    """The newest version that was named of a model's weights."""

    model: str
    version: int


@attrs.frozen
class Served:
    """A time in which the registry served some router or other.

    Parameters
    ----------
    for_s : float
        How long it is.
    age_s : float
        Time since the last call that was served.
    """

    for_s: float
    age_s: float


@attrs.frozen
class Heartbeat:
    """One router's word to another.

    Parameters
    ----------
    sender : routers.Member
        Who says it.
    generation : int
        Generation of the document in force there; 0 for none.
    loads : tuple of UpstreamLoad
        The sender's own work.
    quarantine : tuple of entry.Entry
        Facts about crashes.
    hot_prefixes : tuple of request_rates.HotPrefix
        The sender's own hottest prefixes.
    total_rate_per_s : float
        Requests a second that the sender sees.
    members : tuple of routers.Member
        Some routers that the sender has heard of.
    want_all : bool
        Whether the sender asks for all quarantine entries.
    leaving_upstreams : tuple of str
        Processes of upstreams that have said that they leave.
    avoided : tuple of Avoided
        Processes of upstreams that take no work for a while.
    weights : tuple of Weights
        The newest weights that have been named.
    registry : Served or None
        When the registry served the sender, or others that it has heard.
    digest : routers.Digest
        How far routers have come that the sender has heard of.
    wanted : tuple of int
        Keys, as in digests, of routers that the sender does not know.
    """

    sender: routers.Member
    generation: int = 0
    loads: tuple[UpstreamLoad, ...] = ()
    quarantine: tuple[entry.Entry, ...] = ()
    hot_prefixes: tuple[request_rates.HotPrefix, ...] = ()
    total_rate_per_s: float = 0.0
    members: tuple[routers.Member, ...] = ()
    want_all: bool = False
    leaving_upstreams: tuple[str, ...] = ()
    avoided: tuple[Avoided, ...] = ()
    weights: tuple[Weights, ...] = ()
    registry: Served | None = None
    digest: routers.Digest = routers.NO_DIGEST
    wanted: tuple[int, ...] = ()


def to_wire(heartbeat: Heartbeat) -> peers_pb2.Heartbeat:
    """Return the heartbeat as a protobuf message."""
    return peers_pb2.Heartbeat(
        sender=_member_to_wire(heartbeat.sender),
        generation=heartbeat.generation,
        loads=[
            peers_pb2.UpstreamLoad(
                upstream=load.upstream,
                prefill_tokens=load.prefill_tokens,
                requests=load.requests,
            )
            for load in heartbeat.loads
        ],
        quarantine=[
            peers_pb2.QuarantineEntry(
                kind=each.kind.value,
                fingerprint=each.fingerprint,
                at_s=each.at_s,
                upstream=each.upstream,
                incarnation=each.incarnation,
                isolated=each.isolated,
            )
            for each in heartbeat.quarantine
        ],
        hot_prefixes=[
            peers_pb2.HotPrefix(key=hot.key, rate_per_s=hot.rate_per_s)
            for hot in heartbeat.hot_prefixes
        ],
        total_rate_per_s=heartbeat.total_rate_per_s,
        members=[_member_to_wire(member) for member in heartbeat.members],
        want_all=heartbeat.want_all,
        leaving_upstreams=heartbeat.leaving_upstreams,
        avoided=[
            peers_pb2.Avoided(upstream=each.upstream, for_s=each.for_s)
            for each in heartbeat.avoided
        ],
        weights=[
            peers_pb2.Weights(model=each.model, version=each.version)
            for each in heartbeat.weights
        ],
        registry=_served_to_wire(heartbeat.registry),
        digest_keys=heartbeat.digest.keys,
        digest_beats=heartbeat.digest.beats,
        wanted=heartbeat.wanted,
    )


def from_wire(message: peers_pb2.Heartbeat) -> Heartbeat:
    """Return the heartbeat in a protobuf message.

    Raises
    ------
    BadHeartbeat
        It names no sender, or holds an unknown kind, a rate that is not
        finite, a negative duration, more work than there can be, or half a
        digest.
    """
    if not message.sender.name or not message.sender.address:
        raise BadHeartbeat("it names no sender")
    try:
        return Heartbeat(
            sender=_member_from_wire(message.sender),
            generation=message.generation,
            loads=tuple(
                _load_from_wire(load) for load in message.loads[:MAX_LOADS]
            ),
            quarantine=tuple(
                _entry_from_wire(each)
                for each in message.quarantine[:MAX_QUARANTINE]
            ),
            hot_prefixes=tuple(
                request_rates.HotPrefix(hot.key, _finite(hot.rate_per_s))
                for hot in message.hot_prefixes[:MAX_HOT]
            ),
            total_rate_per_s=_finite(message.total_rate_per_s),
            members=tuple(
                _member_from_wire(member)
                for member in message.members[:MAX_MEMBERS]
            ),
            want_all=message.want_all,
            leaving_upstreams=tuple(message.leaving_upstreams[:MAX_LOADS]),
            avoided=tuple(
                Avoided(each.upstream, _finite(each.for_s))
                for each in message.avoided[:MAX_LOADS]
            ),
            weights=tuple(
                Weights(each.model, each.version)
                for each in message.weights[:MAX_HOT]
            ),
            registry=_served_from_wire(message),
            digest=_digest_from_wire(message),
            wanted=tuple(message.wanted[:MAX_DIGEST]),
        )
    except ValueError as error:
        raise BadHeartbeat(str(error)) from error


def _served_to_wire(served: Served | None) -> peers_pb2.Served | None:
    if served is None:
        return None
    return peers_pb2.Served(for_s=served.for_s, age_s=served.age_s)


def _served_from_wire(message: peers_pb2.Heartbeat) -> Served | None:
    if not message.HasField("registry"):
        return None
    told = message.registry
    return Served(_duration_s(told.for_s), _duration_s(told.age_s))


def _member_to_wire(member: routers.Member) -> peers_pb2.Member:
    return peers_pb2.Member(
        name=member.name,
        address=member.address,
        incarnation=member.incarnation,
        beat=member.beat,
        leaving=member.leaving,
    )


def _load_from_wire(message: peers_pb2.UpstreamLoad) -> UpstreamLoad:
    load = UpstreamLoad(
        message.upstream, message.prefill_tokens, message.requests
    )
    if load.prefill_tokens > MOST_TOKENS or load.requests > MOST_REQUESTS:
        raise ValueError("more work than there can be")
    return load


def _digest_from_wire(message: peers_pb2.Heartbeat) -> routers.Digest:
    keys, beats = list(message.digest_keys), list(message.digest_beats)
    if len(keys) != len(beats) or len(keys) > MAX_DIGEST:
        raise ValueError("no digest")
    return routers.Digest(keys, beats)


def _member_from_wire(message: peers_pb2.Member) -> routers.Member:
    return routers.Member(
        message.name,
        message.address,
        message.incarnation,
        message.beat,
        message.leaving,
    )


def _entry_from_wire(message: peers_pb2.QuarantineEntry) -> entry.Entry:
    return entry.Entry(
        entry.Kind(message.kind),
        message.fingerprint,
        _finite(message.at_s),
        message.upstream,
        message.incarnation,
        message.isolated,
    )


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError("a number is not finite")
    return value


def _duration_s(value: float) -> float:
    if _finite(value) < 0:
        raise ValueError("a duration is negative")
    return value
