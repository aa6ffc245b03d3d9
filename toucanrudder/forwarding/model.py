"""Configuration, registered upstreams and requests."""

from collections.abc import Mapping
import enum

import attrs

from toucanrudder.admission import caps

#: Upper bound of the tokens of a prompt or an answer.
MAX_TOKENS = 10**9

_NOT_NEGATIVE = attrs.validators.ge(0)
_SIZE = attrs.validators.and_(_NOT_NEGATIVE, attrs.validators.le(MAX_TOKENS))


class Repetition(enum.Enum):
    """What may be done with a request that may have run."""

    #: It may run again.
    IDEMPOTENT = "idempotent"
    #: It must run at most once.
    ONCE = "once"
    #: A stream that another upstream may resume.
    RESUMABLE = "resumable"


@attrs.frozen
class Split:
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Routing rule for requests to a host and a path.

    Parameters
    ----------
    name, host, path_prefix : str
        Its name, and which requests it matches.
    splits : tuple of Split
        Services by weight.
    repetition : Repetition
        Whether requests may be repeated.
    is_stream : bool
        Whether answers are server-sent events.
    max_upstreams : int
        Upstreams that may run one request.
    timeout_s : float
        Time limit until the answer is complete.
    objective_s : float
        Latency objective: time to the answer, or to a stream's first
        event.
    event_gap_s : float
        Longest allowed gap between two events of a stream.
    priority : int
        Rank; 0 is the most urgent.
    is_public : bool
        Whether requests without a key are accepted.
    """

    name: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repetition: Repetition = Repetition.ONCE
    is_stream: bool = False
    max_upstreams: int = 1
    timeout_s: float = 60.0
    objective_s: float = 1.0
    event_gap_s: float = 1.0
    priority: int = 5
    is_public: bool = False

    @property
    def weighted_splits(self) -> list[Split]:
        """The splits that get requests."""
        return [split for split in self.splits if split.weight > 0]

    @property
    def services(self) -> list[str]:
        """The services that get requests."""
        return [split.service for split in self.weighted_splits]


@attrs.frozen
class Engine:
    """Configured properties of a service's engines.

    Parameters
    ----------
    slots : int
        Requests that one engine runs concurrently.
    cache_tokens : int
        Capacity of its KV cache in tokens.
    takes_copies : bool
        Whether it can hold a copy of another engine's run and continue it.
    token_bytes : float
        KV cache size of one token, as transferred by a copy; 0 if not
        configured.
    link_bits_per_s : float
        Bandwidth of its link for copies; 0 if not configured.
    """

    slots: int
    cache_tokens: int
    takes_copies: bool = False
    token_bytes: float = 0.0
    link_bits_per_s: float = 0.0


@attrs.frozen
class Service:
    """A group of interchangeable upstreams."""

    name: str
    engine: Engine | None = None


@attrs.frozen
class CacheStore:
    """A store of cached prompt parts that engines write to and read from.

    Parameters
    ----------
    address : str
        ``IP:port``; also its identity.
    zone : str
        Its availability zone.
    link_bits_per_s : float
        Bandwidth of its link; 0 if not configured.
    """

    address: str
    zone: str = ""
    link_bits_per_s: float = 0.0


@attrs.frozen
class Organisation:
    """An organisation, identified by its API keys.

    Parameters
    ----------
    name : str
        Also sent to upstreams.
    api_keys : frozenset of str
        Never logged.
    priority : int or None
        Rank of all its requests; None for that of the route.
    is_isolated : bool
        Whether it shares no cache with other organisations.
    rate_per_s, burst : float
        Usage cap over all routers, in `unit`; a rate of 0 means no cap.
    unit : caps.Unit
        What the cap counts.
    plain_tokens : int
        Tokens counted for a request that states no token counts.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(default=frozenset(), repr=False)
    priority: int | None = None
    is_isolated: bool = False
    rate_per_s: float = attrs.field(default=0.0, validator=_NOT_NEGATIVE)
    burst: float = attrs.field(default=0.0, validator=_NOT_NEGATIVE)
    unit: caps.Unit = caps.Unit.REQUESTS
    plain_tokens: int = attrs.field(default=0, validator=_NOT_NEGATIVE)

    @property
    def cap(self) -> caps.Cap | None:
        """Its usage cap; None if it has none."""
        if self.rate_per_s <= 0:
            return None
        return caps.Cap(
            self.rate_per_s, self.burst, self.unit, self.plain_tokens
        )


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests and connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class Configuration:
    """A complete configuration of one generation.

    Parameters
    ----------
    requires_keys : bool
        Whether requests need an API key, unless their route is public.  It
        does not depend on how many keys there are.
    """

    generation: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.field(factory=dict)
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    cache_stores: tuple[CacheStore, ...] = ()
    requires_keys: bool = attrs.field(
        default=attrs.Factory(
            lambda self: bool(self.organisations), takes_self=True
        )
    )

    @requires_keys.validator
    def _check_keys(self, attribute, value):
        if self.organisations and not value:
            raise ValueError("organisations have keys that nobody asks for")

    @property
    def api_keys(self) -> int:
        """Number of API keys that are valid."""
        return sum(len(each.api_keys) for each in self.organisations)


@attrs.frozen
class Document:
    """A configuration and its serialised source.

    Parameters
    ----------
    configuration : Configuration
        The parsed configuration.
    source : bytes
        The bytes it was parsed from, which are sent to other routers.
    """

    configuration: Configuration
    source: bytes = attrs.field(repr=False)

    @property
    def generation(self) -> int:
        """Rises with each accepted change."""
        return self.configuration.generation


def incarnation(name: str, started_at_ms: int) -> str:
    """Return an identity that differs for each start of an upstream.

    A restarted process keeps its name but loses its cache and runs, so
    state recorded for the previous start must not apply to it.

    Examples
    --------
    >>> incarnation("u", 1700), incarnation("u", 0)
    ('u@1700', 'u')
    """
    return f"{name}@{started_at_ms}" if started_at_ms else name


@attrs.frozen
class Upstream:
    """One process that serves requests, as it registered itself.

    Parameters
    ----------
    incarnation : str
        Identity of one start of the process; a restart gets another.
    service, address, zone : str
        Service, ``IP:port`` and availability zone.
    slots : int
        Requests that it runs concurrently.
    is_leaving : bool
        Whether it has announced that it will stop.
    weights : mapping of str to int
        Version of each model's weights.
    name : str
        Name of the process, which a restart keeps.
    started_at_ms : int
        Unix time of this start; 0 if unknown.
    software_version : str
        Version of its software, in no particular order; empty if it states
        none.
    """

    incarnation: str
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    is_leaving: bool = False
    weights: Mapping[str, int] = attrs.field(factory=dict)
    name: str = attrs.field(
        default=attrs.Factory(lambda self: self.incarnation, takes_self=True)
    )
    started_at_ms: int = 0
    software_version: str = ""
    #: Hashable form of `weights` for frequent lookups.
    weights_key: frozenset[tuple[str, int]] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(
            lambda self: frozenset(self.weights.items()), takes_self=True
        ),
    )

    def is_same_start(self, started_at_ms: int) -> bool:
        """Whether a report with this start time is from this incarnation.

        A report of an earlier start may arrive late, and one of a later
        start before its registry entry.  Its counters start from zero and
        must not be attributed to this incarnation.  An unknown start time
        (0) matches any.

        Examples
        --------
        >>> this = Upstream(
        ...     "i@7", "s", "10.0.0.1:1", name="i", started_at_ms=7
        ... )
        >>> this.is_same_start(7), this.is_same_start(8), this.is_same_start(0)
        (True, False, True)
        """
        return (
            not (started_at_ms and self.started_at_ms)
            or started_at_ms == self.started_at_ms
        )


@attrs.frozen
class Part:
    """A section of a prompt that several requests may share."""

    identity: str
    tokens: int


@attrs.frozen
class Prompt:
    """Description of a prompt for a model.

    Parameters
    ----------
    model : str
        The model's name.
    parts : tuple of Part
        In order; the last is specific to the request or its session.
    prompt_tokens, max_output_tokens : int
        Sizes in tokens.
    has_token_counts : bool
        Whether the caller stated the sizes.
    """

    model: str
    parts: tuple[Part, ...] = ()
    prompt_tokens: int = attrs.field(default=0, validator=_SIZE)
    max_output_tokens: int = attrs.field(default=0, validator=_SIZE)
    has_token_counts: bool = True

    @property
    def total_tokens(self) -> int | None:
        """Prompt and output tokens; None if the caller did not state them."""
        if not self.has_token_counts:
            return None
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests may have in common."""
        return self.parts[:-1]


@attrs.frozen
class Load:
    """Load that an upstream reports with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and that wait there, and how many can run at once.
    slowness : float or None
        How long work takes there at this moment, relative to its usual time;
        None if the upstream does not say so.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.frozen
class Call:
    """A caller's request, parsed from its head.

    Parameters
    ----------
    request_id, host, path : str
        Identity of this request of the caller, and what selects the route.
    api_key : str or None
        Authenticates the organisation.
    wait_s : float or None
        How long the caller will wait from now on.
    prompt : Prompt or None
        Prompt description, for engines.
    resume_after : str or None
        ID of the event after which the caller resumes a stream.
    resumes : str or None
        ID of the caller's request that received the stream's first event.
    stream_id : str or None
        The same for any stream: the ID of this request if it begins one.
    """

    request_id: str
    host: str
    path: str
    api_key: str | None = attrs.field(default=None, repr=False)
    wait_s: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None
    resumes: str | None = None
    stream_id: str | None = attrs.field(
        default=attrs.Factory(
            lambda self: (
                self.request_id if self.resume_after is None else self.resumes
            ),
            takes_self=True,
        )
    )
