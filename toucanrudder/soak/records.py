"""What the soak's callers and upstreams saw.  No I/O."""

import enum

import attrs

#: Events of a whole stream, unless a call says otherwise.
EVENTS = 6


class Kind(enum.Enum):
    """What a caller asks for."""

    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"
    READ = "read"
    WRITE = "write"
    #: Asks whether the newest route is known.
    PROBE = "probe"
    #: Asks with a head as long as the newest document lets it be.
    HEAD_PROBE = "head_probe"
    #: Asks with a key of the document before the newest.
    KEY_PROBE = "key_probe"
    #: A write under which each upstream process ends that runs it.
    POISON = "poison"
    #: A stream with a part at which each engine ends that begins to answer.
    POISON_PART = "poison_part"

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self in (
            Kind.STREAM_RESUMABLE,
            Kind.READ,
            Kind.PROBE,
            Kind.HEAD_PROBE,
            Kind.KEY_PROBE,
            Kind.POISON_PART,
        )

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream."""
        return self in (
            Kind.STREAM_ONCE,
            Kind.STREAM_RESUMABLE,
            Kind.POISON_PART,
        )


@attrs.define
class Call:
    """One try of a caller, and how it ended.

    Parameters
    ----------
    request_id : str
        Its identity.
    kind : Kind
        What it asks for.
    router : str
        Which router was asked.
    router_start : int
        How often that router had been started.
    sent_s, ended_s : float
        By the monotonic clock; infinite until it has ended.
    status : int or None
        None if the answer's head never came.
    is_whole : bool
        Whether the answer ended as a whole one does.
    is_own : bool
        Whether all that came belongs to this request.
    events : list of int
        Numbers of the events of a stream that came.
    left : bool
        Whether the caller has left before the end.
    generation : int
        For a probe: the newest generation, after which it asks.
    organisation : str
        Whose key it carries.
    stream_id : str
        Request that received the first event of the stream; empty for its
        own.
    resumed_after : int
        Number of the event after which it resumes the stream; 0 for none.
    software : set of str
        Software versions of the events that came.
    length : int
        Events of the whole stream that is asked for.
    limit_s : float
        Time limit that the request states.
    has_long_head : bool
        Whether its head is longer than every second document lets it be.
    """

    request_id: str
    kind: Kind
    router: str
    router_start: int
    sent_s: float
    ended_s: float = float("inf")
    status: int | None = None
    is_whole: bool = False
    is_own: bool = True
    events: list[int] = attrs.field(factory=list)
    left: bool = False
    generation: int = 0
    organisation: str = ""
    stream_id: str = ""
    resumed_after: int = 0
    software: set[str] = attrs.field(factory=set)
    length: int = EVENTS
    limit_s: float = 3.0
    has_long_head: bool = False

    @property
    def is_long(self) -> bool:
        """Whether it asks for a stream that lasts for seconds."""
        return self.length > EVENTS

    @property
    def is_served(self) -> bool:
        """Whether the caller has got what he asked for."""
        return self.status == 200 and self.is_whole


@attrs.frozen
class Run:
    """A request that an upstream began to run.

    Parameters
    ----------
    request_id, service, incarnation : str
        Which request, and where.
    at_s : float
        When it arrived.
    goes_on : bool
        Whether it is the same run, continued from a copy of its memory.
    faults : tuple of str
        What is wrong with how it was asked for.
    """

    request_id: str
    service: str
    incarnation: str
    at_s: float
    goes_on: bool = False
    faults: tuple[str, ...] = ()


@attrs.frozen
class Span:
    """A time in which something was disturbed.

    Parameters
    ----------
    kind : str
        What happened.
    target : str
        A router, an upstream, or empty for the store.
    from_s, until_s : float
        When.
    """

    kind: str
    target: str
    from_s: float
    until_s: float

    def touches(self, target: str, from_s: float, until_s: float) -> bool:
        """Whether it disturbs a target in a time."""
        is_there = self.target in ("", target)
        return is_there and self.from_s < until_s and from_s < self.until_s


@attrs.define
class StatedLimit:
    """A limit that an upstream stated for a while.

    Parameters
    ----------
    incarnation, service : str
        The upstream.
    rate_per_s : float
        Requests per second that it took from all routers.
    from_s, until_s : float
        When it answered with it first, and when it ceased to.
    arrivals_s : list of float
        When requests arrived.
    """

    incarnation: str
    service: str
    rate_per_s: float
    from_s: float = float("inf")
    until_s: float = float("inf")
    arrivals_s: list[float] = attrs.field(factory=list)


@attrs.frozen
class Sighting:
    """A request at an upstream.

    Parameters
    ----------
    at_s : float
        When.
    request_id, incarnation : str
        Which request, and where.
    """

    at_s: float
    request_id: str
    incarnation: str


@attrs.frozen
class MemoryGrowth:
    """What clients or upstreams that keep to no limit made a router hold.

    Parameters
    ----------
    router : str
        The router.
    kind : str
        What was sent.
    before_bytes, after_bytes : int
        The most memory that the process had had resident by then.
    """

    router: str
    kind: str
    before_bytes: int
    after_bytes: int


@attrs.define
class AskedRest:
    """A rest that an upstream asked for when it refused requests.

    Parameters
    ----------
    incarnation, service : str
        The upstream.
    rest_s : float
        Seconds that it asked for.
    refused, arrivals : list of Sighting
        The requests that it refused, and all that arrived.
    """

    incarnation: str
    service: str
    rest_s: float
    refused: list[Sighting] = attrs.field(factory=list)
    arrivals: list[Sighting] = attrs.field(factory=list)


@attrs.define
class Record:
    """All that was seen in one soak."""

    calls: list[Call] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    arrivals: list[tuple[float, str, str]] = attrs.field(factory=list)
    spans: list[Span] = attrs.field(factory=list)
    #: When each generation was acknowledged by the store.
    acknowledged: dict[int, float] = attrs.field(factory=dict)
    #: When each upstream's leaving was acknowledged.
    leaving: dict[str, float] = attrs.field(factory=dict)
    #: When the poisonous request ended an upstream's process.
    crashes: list[float] = attrs.field(factory=list)
    #: When a request with the poisonous part reached an engine.
    part_arrivals: list[float] = attrs.field(factory=list)
    #: Limits that upstreams stated.
    limits: list[StatedLimit] = attrs.field(factory=list)
    #: Answers in which upstreams said that they leave.
    stated_leaving: list[Sighting] = attrs.field(factory=list)
    #: Rests that upstreams asked for.
    rests: list[AskedRest] = attrs.field(factory=list)
    #: What clients and upstreams without limits made of routers' memory.
    memory_growths: list[MemoryGrowth] = attrs.field(factory=list)
    #: Routers that ended by themselves.
    died: list[str] = attrs.field(factory=list)
    recovered_after_s: float | None = None

    def is_calm(
        self, router: str, from_s: float, until_s: float, before_s: float
    ) -> bool:
        """Whether neither the router nor the store was disturbed."""
        return not any(
            each.touches(router, from_s - before_s, until_s)
            for each in self.spans
        )
