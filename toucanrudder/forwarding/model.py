"""What an operator configures and what upstreams register."""

from collections.abc import Mapping
import enum

import attrs

from toucanrudder.admission import caps

#: No prompt, nor answer, is larger.
MAX_TOKENS = 10**9

_NOT_NEGATIVE = attrs.validators.ge(0)
_SIZE = attrs.validators.and_(_NOT_NEGATIVE, attrs.validators.le(MAX_TOKENS))


class Repetition(enum.Enum):
    """What may be done with a request that has possibly run."""

    #: It may run again.
    IDEMPOTENT = "idempotent"
    #: It runs once at most.
    ONCE = "once"
    #: A stream that another upstream may go on with.
    RESUMABLE = "resumable"


@attrs.frozen
class Split:
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Where requests for a host and a path go.

    Parameters
    ----------
    name, host, path_prefix : str
        What it is and what it takes.
    splits : tuple of Split
        Services by weight.
    repetition : Repetition
        What may be repeated.
    is_stream : bool
        Whether answers are server-sent events.
    max_upstreams : int
        Upstreams that one request may run on.
    timeout_s : float
        Longest time until its answer is whole.
    objective_s : float
        Time to the answer, or to a stream's first event, within which it
        is worth most.
    event_gap_s : float
        Longest pause between two events of a stream.
    priority : int
        Rank; 0 is the most urgent.
    is_public : bool
        Whether it takes requests without a key.
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


@attrs.frozen
class Engine:
    """What is known of a service's engines from the configuration.

    Parameters
    ----------
    slots : int
        Requests that one runs at once.
    cache_tokens : int
        Tokens that its memory holds.
    takes_copies : bool
        Whether it can hold a copy of another's run and go on with it.
    token_bytes : float
        Memory of one token, which a copy moves; 0 if it is not told.
    link_bits_per_s : float
        Width of its link for copies; 0 if it is not told.
    """

    slots: int
    cache_tokens: int
    takes_copies: bool = False
    token_bytes: float = 0.0
    link_bits_per_s: float = 0.0


@attrs.frozen
class Service:
    """A group of equal upstreams."""

    name: str
    engine: Engine | None = None


@attrs.frozen
class CacheStore:
    """A store of cached parts that engines write to and fetch from.

    Parameters
    ----------
    address : str
        ``IP:port``; also its identity.
    zone : str
        Its availability zone.
    link_bits_per_s : float
        Width of its link; 0 if it is not told.
    """

    address: str
    zone: str = ""
    link_bits_per_s: float = 0.0


@attrs.frozen
class Organisation:
    """Whose requests; named by its keys.

    Parameters
    ----------
    name : str
        Upstreams are told it.
    api_keys : frozenset of str
        Never logged.
    priority : int or None
        Rank of all its requests; None leaves it to the route.
    is_isolated : bool
        Whether no cache is shared with others.
    rate_per_s, burst : float
        Its usage cap over all routers, in `unit`; a rate of 0 is none.
    unit : caps.Unit
        What its cap counts.
    plain_tokens : int
        What a request counts that tells no tokens.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
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
    """Bounds of what a caller may send."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class Configuration:
    """Everything an operator has put in force, under one generation."""

    generation: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.field(factory=dict)
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    cache_stores: tuple[CacheStore, ...] = ()


@attrs.frozen
class Document:
    """A configuration together with the bytes that it was read from.

    Parameters
    ----------
    configuration : Configuration
        Its meaning.
    source : bytes
        What it was read from, for other routers.
    """

    configuration: Configuration
    source: bytes = attrs.field(repr=False)

    @property
    def generation(self) -> int:
        """Rises with each accepted change."""
        return self.configuration.generation


@attrs.frozen
class Upstream:
    """One process that serves requests, as it registered itself.

    Parameters
    ----------
    incarnation : str
        Identity of one start of the process; a restarted one has another.
    service, address, zone : str
        Which service, ``IP:port``, and availability zone.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it has announced that it will stop.
    weights : mapping of str to int
        Version of each model's weights.
    name : str
        What the process is called, also after a restart.
    born_ms : int
        Unix time of this start; 0 if it is not told.
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
    born_ms: int = 0
    #: The weights in a form that can be looked up; compared often.
    weights_key: frozenset[tuple[str, int]] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(
            lambda self: frozenset(self.weights.items()), takes_self=True
        ),
    )

    def is_same_start(self, born_ms: int) -> bool:
        """Whether words that name their start come from this one.

        Those of an earlier one arrive late, those of a later one before
        its entry: its counts begin anew and would be believed of this one.

        Examples
        --------
        >>> this = Upstream("i@7", "s", "10.0.0.1:1", name="i", born_ms=7)
        >>> this.is_same_start(7), this.is_same_start(8), this.is_same_start(0)
        (True, False, True)
        """
        return not (born_ms and self.born_ms) or born_ms == self.born_ms


@attrs.frozen
class Part:
    """A stretch of a prompt that several requests may share."""

    identity: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a request asks a model.

    Parameters
    ----------
    model : str
        The model's name.
    parts : tuple of Part
        In order; the last is the request's or its session's own.
    prompt_tokens, max_output_tokens : int
        Sizes.
    has_token_counts : bool
        Whether the caller told the sizes.
    """

    model: str
    parts: tuple[Part, ...] = ()
    prompt_tokens: int = attrs.field(default=0, validator=_SIZE)
    max_output_tokens: int = attrs.field(default=0, validator=_SIZE)
    has_token_counts: bool = True

    @property
    def total_tokens(self) -> int | None:
        """Tokens in and out; None if the caller did not tell them."""
        if not self.has_token_counts:
            return None
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests may have as well."""
        return self.parts[:-1]


@attrs.frozen
class Load:
    """Load that an upstream tells with an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class Call:
    """A caller's request, read from the wire.

    Parameters
    ----------
    request_id, host, path : str
        Identity of this try of the caller, and what selects the route.
    api_key : str or None
        Proof of the organisation.
    wait_s : float or None
        How long the caller will wait, from now on.
    prompt : Prompt or None
        For engines.
    resume_after : str or None
        Event after which the caller goes on with a stream.
    """

    request_id: str
    host: str
    path: str
    api_key: str | None = attrs.field(default=None, repr=False)
    wait_s: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None
