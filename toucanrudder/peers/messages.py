"""Heartbeats between routers, as typed values and in wire form."""

from collections.abc import Iterable
import math

import attrs

from toucanrudder.membership import routers
from toucanrudder.peers import peers_pb2
from toucanrudder.prefix import request_rates
from toucanrudder.quarantine import entry

#: Entries of each list that are read from one heartbeat; bounds the memory
#: that a faulty peer can fill.
MAX_MEMBERS = 64
MAX_LOADS = 4096
MAX_QUARANTINE = 4096
MAX_HOT = 256
MAX_DIGEST = 1024
MAX_SOFTWARE = 256
MAX_VERSIONS = 32

#: Largest plausible load of one router at one upstream.
MAX_PREFILL_TOKENS = 1_000_000_000
MAX_REQUESTS = 1_000_000

#: The same of work left in seconds, of a time factor and its inverse, of the
#: weight of samples, and of a stated slowness.
MAX_WORK_S = 100_000.0
MAX_TIME_FACTOR = 1_000.0
MAX_SAMPLES = 1_000_000.0
MAX_SLOWNESS_PERCENT = 1_000_000


class BadHeartbeat(Exception):
    """A heartbeat without a sender, or with an invalid value."""


@attrs.frozen
class UpstreamLoad:
    """A router's own load at one upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    prefill_tokens : int
        Prompt tokens sent there without a first token yet.
    requests : int
        Requests in flight there.
    work_s : float
        Usual seconds of their work that are left.
    time_factor, samples : float
        Time for a unit of work there relative to the usual one, by the
        router's own samples, and their weight.
    slowness : float or None
        The newest stated slowness that the router knows, its own or passed
        on; None if it knows none.
    slowness_age_s : float
        Seconds since it was stated.
    """

    upstream: str
    prefill_tokens: int
    requests: int
    work_s: float = 0.0
    time_factor: float = 1.0
    samples: float = 0.0
    slowness: float | None = None
    slowness_age_s: float = 0.0


@attrs.frozen
class Avoided:
    """An upstream process that is given no work for some time.

    Parameters
    ----------
    upstream : str
        Identity of the process.
    for_s : float
        Seconds, counted from the sending of the message.
    """

    upstream: str
    for_s: float


@attrs.frozen
class Brittle:
    """A service whose upstreams fail if they refuse too often.

    Parameters
    ----------
    service : str
        Name of the service.
    refusals_per_s : float
        Refusals for want of room per second that one of them bears.
    age_s : float
        Seconds since one of them last said so.
    """

    service: str
    refusals_per_s: float
    age_s: float


@attrs.frozen
class PublishedVersion:
    """A version of weights and the seconds since it was published."""

    version: int
    age_s: float


@attrs.frozen
class Weights:
    """The newest versions of a model's weights named in the store.

    Parameters
    ----------
    model : str
        The model's name.
    published : tuple of PublishedVersion
        Its newest versions, the newest one first.
    """

    model: str
    published: tuple[PublishedVersion, ...]


@attrs.frozen
class Served:
    """A period in which the registry served calls of some router.

    Parameters
    ----------
    for_s : float
        Length of the period in seconds.
    age_s : float
        Seconds since the last call that was served.
    """

    for_s: float
    age_s: float


@attrs.frozen
class SoftwareVersion:
    """A software version that upstreams of a service have or had.

    Parameters
    ----------
    service, version : str
        The service and the version.
    first_age_s, last_age_s : float
        Seconds since it was first and last registered.
    """

    service: str
    version: str
    first_age_s: float
    last_age_s: float


@attrs.frozen
class SoftwareNews:
    """Software versions that a router has seen.

    Parameters
    ----------
    complete_for_s : float or None
        For how long it has known all of them; None if it does not.
    versions : tuple of SoftwareVersion
        Those that it remembers.
    """

    complete_for_s: float | None = None
    versions: tuple[SoftwareVersion, ...] = ()


@attrs.frozen
class Limited:
    """An upstream that states how many requests it takes.

    Parameters
    ----------
    upstream : str
        Identity of the process.
    rate_per_s : float or None
        Requests per second from all routers; None if it states no limit any
        more.
    age_s : float
        Seconds since its answer.
    """

    upstream: str
    rate_per_s: float | None
    age_s: float


@attrs.frozen
class EngineWeights:
    """Weights that an engine has stated to the sender itself.

    Parameters
    ----------
    upstream : str
        Identity of the process.
    model : str
        The model's name.
    version : int
        Version of its weights; versions of a process only rise.
    """

    upstream: str
    model: str
    version: int


@attrs.frozen
class FleetSize:
    """A number of routers that were live at one time.

    Parameters
    ----------
    routers : int
        The number.
    age_s : float
        Seconds since then.
    """

    routers: int
    age_s: float


@attrs.frozen
class QuarantinePositions:
    """How far two routers have each other's quarantine entries.

    Parameters
    ----------
    receiver : int
        Digest key of the process of the receiver that is meant.
    seen : int
        Position of its log up to which the sender has all entries.
    position : int or None
        Position of the sender's log up to which the receiver has all entries
        with this message; None if that is unknown.
    """

    receiver: int
    seen: int
    position: int | None = None


@attrs.frozen
class Heartbeat:
    """Periodic message of one router to another.

    Parameters
    ----------
    sender : routers.Member
        The sending router.
    generation : int
        Generation of the sender's document in force; 0 for none.
    loads : tuple of UpstreamLoad
        The sender's own load at upstreams.
    quarantine : tuple of entry.Entry
        Quarantine entries about crashes.
    hot_prefixes : tuple of request_rates.HotPrefix
        The sender's own hottest prefixes.
    total_rate_per_s : float
        Requests a second that the sender receives.
    members : tuple of routers.Member
        Some routers that the sender knows.
    want_all : bool
        Whether the sender asks for all quarantine entries.
    leaving_upstreams : tuple of str
        Upstream processes that have announced that they leave.
    avoided : tuple of Avoided
        Upstream processes that are given no work for some time.
    weights : tuple of Weights
        The newest weights versions named in the store.
    registry : Served or None
        When the registry last served the sender or a router known to it.
    digest : routers.Digest
        Newest beats of routers that the sender knows.
    wanted : tuple of int
        Digest keys of routers that the sender does not know.
    unreached : tuple of str
        Services whose upstreams the sender cannot reach.
    brittle : tuple of Brittle
        Services whose upstreams fail if they refuse too often.
    full : tuple of Avoided
        Upstream processes that have refused a request for want of room.
    software : SoftwareNews
        Software versions that the sender has seen.
    fleet : FleetSize or None
        Largest number of live routers that the sender knows of.
    limited : tuple of Limited
        Upstream processes that state, or stated, how many requests they take.
    engine_weights : tuple of EngineWeights
        Weights that engines have stated to the sender recently.
    quarantine_positions : QuarantinePositions or None
        How far sender and receiver have each other's quarantine entries;
        None if the sender does not know the receiver, or cannot say.
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
    unreached: tuple[str, ...] = ()
    brittle: tuple[Brittle, ...] = ()
    full: tuple[Avoided, ...] = ()
    software: SoftwareNews = SoftwareNews()
    fleet: FleetSize | None = None
    limited: tuple[Limited, ...] = ()
    engine_weights: tuple[EngineWeights, ...] = ()
    quarantine_positions: QuarantinePositions | None = None


def to_wire(heartbeat: Heartbeat) -> peers_pb2.Heartbeat:
    """Return the heartbeat as a protobuf message."""
    return peers_pb2.Heartbeat(
        sender=_member_to_wire(heartbeat.sender),
        generation=heartbeat.generation,
        loads=[_load_to_wire(load) for load in heartbeat.loads],
        quarantine=[
            peers_pb2.QuarantineEntry(
                kind=record.kind.value,
                fingerprint=record.fingerprint,
                at_s=record.at_s,
                upstream=record.upstream,
                incarnation=record.incarnation,
                isolated=record.isolated,
                sequence=record.sequence,
                is_vouched=record.is_vouched,
            )
            for record in heartbeat.quarantine
        ],
        hot_prefixes=[
            peers_pb2.HotPrefix(key=hot.key, rate_per_s=hot.rate_per_s)
            for hot in heartbeat.hot_prefixes
        ],
        total_rate_per_s=heartbeat.total_rate_per_s,
        members=[_member_to_wire(member) for member in heartbeat.members],
        want_all=heartbeat.want_all,
        leaving_upstreams=heartbeat.leaving_upstreams,
        avoided=_avoided_to_wire(heartbeat.avoided),
        weights=[_weights_to_wire(weights) for weights in heartbeat.weights],
        registry=_served_to_wire(heartbeat.registry),
        digest_keys=heartbeat.digest.keys,
        digest_beats=heartbeat.digest.beats,
        wanted=heartbeat.wanted,
        unreached=heartbeat.unreached,
        brittle=[
            peers_pb2.BrittleService(
                service=brittle.service,
                refusals_per_s=brittle.refusals_per_s,
                age_s=brittle.age_s,
            )
            for brittle in heartbeat.brittle
        ],
        full=_avoided_to_wire(heartbeat.full),
        software=_software_to_wire(heartbeat.software),
        fleet=_fleet_to_wire(heartbeat.fleet),
        limited=[
            peers_pb2.LimitedUpstream(
                upstream=limited.upstream,
                rate_per_s=limited.rate_per_s,
                age_s=limited.age_s,
            )
            for limited in heartbeat.limited
        ],
        engine_weights=[
            peers_pb2.EngineWeights(
                upstream=engine.upstream,
                model=engine.model,
                version=engine.version,
            )
            for engine in heartbeat.engine_weights
        ],
        **_positions_to_wire(heartbeat.quarantine_positions),
    )


def from_wire(message: peers_pb2.Heartbeat) -> Heartbeat:
    """Return the heartbeat in a protobuf message.

    Raises
    ------
    BadHeartbeat
        The sender is missing, a kind is unknown, a rate is not finite, a
        duration is negative, a load or the fleet is implausibly large, or the
        digest is too long or has different numbers of keys and beats.
    """
    if not message.sender.name or not message.sender.address:
        raise BadHeartbeat("the sender's name or address is missing")
    try:
        return Heartbeat(
            sender=_member_from_wire(message.sender),
            generation=message.generation,
            loads=tuple(
                _load_from_wire(load) for load in message.loads[:MAX_LOADS]
            ),
            quarantine=tuple(
                _entry_from_wire(record)
                for record in message.quarantine[:MAX_QUARANTINE]
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
            avoided=_avoided_from_wire(message.avoided),
            weights=tuple(
                _weights_from_wire(weights)
                for weights in message.weights[:MAX_HOT]
            ),
            registry=_served_from_wire(message),
            digest=_digest_from_wire(message),
            wanted=tuple(message.wanted[:MAX_DIGEST]),
            unreached=tuple(message.unreached[:MAX_HOT]),
            brittle=tuple(
                Brittle(
                    brittle.service,
                    _duration_s(brittle.refusals_per_s),
                    _duration_s(brittle.age_s),
                )
                for brittle in message.brittle[:MAX_HOT]
            ),
            full=_avoided_from_wire(message.full),
            software=_software_from_wire(message.software),
            fleet=_fleet_from_wire(message),
            limited=tuple(
                _limited_from_wire(limited)
                for limited in message.limited[:MAX_LOADS]
            ),
            engine_weights=tuple(
                EngineWeights(engine.upstream, engine.model, engine.version)
                for engine in message.engine_weights[:MAX_LOADS]
            ),
            quarantine_positions=_positions_from_wire(message),
        )
    except ValueError as error:
        raise BadHeartbeat(str(error)) from error


def _positions_to_wire(
    positions: QuarantinePositions | None,
) -> dict[str, int | None]:
    if positions is None:
        return {}
    return {
        "quarantine_receiver": positions.receiver,
        "quarantine_seen": positions.seen,
        "quarantine_position": positions.position,
    }


def _positions_from_wire(
    message: peers_pb2.Heartbeat,
) -> QuarantinePositions | None:
    if not message.HasField("quarantine_receiver"):
        return None
    position = None
    # Entries that are not read must be sent again.
    is_whole = len(message.quarantine) <= MAX_QUARANTINE
    if is_whole and message.HasField("quarantine_position"):
        position = message.quarantine_position
    return QuarantinePositions(
        message.quarantine_receiver, message.quarantine_seen, position
    )


def _avoided_to_wire(entries: Iterable[Avoided]) -> list[peers_pb2.Avoided]:
    return [
        peers_pb2.Avoided(upstream=entry.upstream, for_s=entry.for_s)
        for entry in entries
    ]


def _avoided_from_wire(entries) -> tuple[Avoided, ...]:
    return tuple(
        Avoided(entry.upstream, _finite(entry.for_s))
        for entry in entries[:MAX_LOADS]
    )


def _served_to_wire(served: Served | None) -> peers_pb2.Served | None:
    if served is None:
        return None
    return peers_pb2.Served(for_s=served.for_s, age_s=served.age_s)


def _served_from_wire(message: peers_pb2.Heartbeat) -> Served | None:
    if not message.HasField("registry"):
        return None
    served = message.registry
    return Served(_duration_s(served.for_s), _duration_s(served.age_s))


def _limited_from_wire(message: peers_pb2.LimitedUpstream) -> Limited:
    rate_per_s = None
    if message.HasField("rate_per_s"):
        rate_per_s = _duration_s(message.rate_per_s)
    return Limited(message.upstream, rate_per_s, _duration_s(message.age_s))


def _fleet_to_wire(fleet: FleetSize | None) -> peers_pb2.FleetSize | None:
    if fleet is None:
        return None
    return peers_pb2.FleetSize(routers=fleet.routers, age_s=fleet.age_s)


def _fleet_from_wire(message: peers_pb2.Heartbeat) -> FleetSize | None:
    if not message.HasField("fleet"):
        return None
    if not 1 <= message.fleet.routers <= routers.MAX_ROUTERS:
        raise ValueError("the number of routers is implausible")
    return FleetSize(message.fleet.routers, _duration_s(message.fleet.age_s))


def _software_to_wire(news: SoftwareNews) -> peers_pb2.SoftwareNews:
    return peers_pb2.SoftwareNews(
        complete_for_s=news.complete_for_s,
        versions=[
            peers_pb2.SoftwareVersion(
                service=each.service,
                version=each.version,
                first_age_s=each.first_age_s,
                last_age_s=each.last_age_s,
            )
            for each in news.versions
        ],
    )


def _software_from_wire(message: peers_pb2.SoftwareNews) -> SoftwareNews:
    complete_for_s = None
    if message.HasField("complete_for_s"):
        complete_for_s = _duration_s(message.complete_for_s)
    if len(message.versions) > MAX_SOFTWARE:
        # The sender may know of versions that would not be read.
        complete_for_s = None
    return SoftwareNews(
        complete_for_s,
        tuple(
            SoftwareVersion(
                each.service,
                each.version,
                _duration_s(each.first_age_s),
                _duration_s(each.last_age_s),
            )
            for each in message.versions[:MAX_SOFTWARE]
        ),
    )


def _member_to_wire(member: routers.Member) -> peers_pb2.Member:
    return peers_pb2.Member(
        name=member.name,
        address=member.address,
        incarnation=member.incarnation,
        beat=member.beat,
        leaving=member.leaving,
        zone=member.zone,
    )


def _load_to_wire(load: UpstreamLoad) -> peers_pb2.UpstreamLoad:
    message = peers_pb2.UpstreamLoad(
        upstream=load.upstream,
        prefill_tokens=load.prefill_tokens,
        requests=load.requests,
        work_s=load.work_s,
    )
    if load.samples:
        message.time_factor = load.time_factor
        message.samples = load.samples
    if load.slowness is not None:
        message.slowness_percent = round(100 * load.slowness)
        message.slowness_age_s = load.slowness_age_s
    return message


def _load_from_wire(message: peers_pb2.UpstreamLoad) -> UpstreamLoad:
    percent = message.slowness_percent
    load = UpstreamLoad(
        message.upstream,
        message.prefill_tokens,
        message.requests,
        _duration_s(message.work_s),
        _duration_s(message.time_factor) if message.samples else 1.0,
        _duration_s(message.samples),
        percent / 100 if percent else None,
        _duration_s(message.slowness_age_s),
    )
    if (
        load.prefill_tokens > MAX_PREFILL_TOKENS
        or load.requests > MAX_REQUESTS
        or load.work_s > MAX_WORK_S
        or load.samples > MAX_SAMPLES
        or percent > MAX_SLOWNESS_PERCENT
        or not 1 / MAX_TIME_FACTOR <= load.time_factor <= MAX_TIME_FACTOR
    ):
        raise ValueError("the load at an upstream is implausible")
    return load


def _digest_from_wire(message: peers_pb2.Heartbeat) -> routers.Digest:
    keys, beats = list(message.digest_keys), list(message.digest_beats)
    if len(keys) != len(beats) or len(keys) > MAX_DIGEST:
        raise ValueError("the digest's keys and beats are invalid")
    return routers.Digest(keys, beats)


def _member_from_wire(message: peers_pb2.Member) -> routers.Member:
    return routers.Member(
        message.name,
        message.address,
        message.incarnation,
        message.beat,
        message.leaving,
        message.zone,
    )


def _entry_from_wire(message: peers_pb2.QuarantineEntry) -> entry.Entry:
    return entry.Entry(
        entry.Kind(message.kind),
        message.fingerprint,
        _finite(message.at_s),
        message.upstream,
        message.incarnation,
        message.isolated,
        message.sequence,
        message.is_vouched,
    )


def _weights_to_wire(weights: Weights) -> peers_pb2.Weights:
    return peers_pb2.Weights(
        model=weights.model,
        version=weights.published[0].version,
        published=[
            peers_pb2.PublishedVersion(
                version=published.version, age_s=published.age_s
            )
            for published in weights.published
        ],
    )


def _weights_from_wire(message: peers_pb2.Weights) -> Weights:
    published = tuple(
        PublishedVersion(each.version, _duration_s(each.age_s))
        for each in message.published[:MAX_VERSIONS]
    )
    # Older routers tell no ages.
    return Weights(
        message.model, published or (PublishedVersion(message.version, 0.0),)
    )


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError("a number is not finite")
    return value


def _duration_s(value: float) -> float:
    if _finite(value) < 0:
        raise ValueError("a duration is negative")
    return value
