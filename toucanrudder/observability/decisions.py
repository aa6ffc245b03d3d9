"""Structured log events of the forwarding path, one for each decision.

Each class is one kind of event.  Its fields are the inputs of the decision
and their ages.  ``docs/operators/events.md`` lists the events and is checked
against this module.  No field holds a key, a prompt or a body.
"""

import logging

import attrs

LOG = logging.getLogger("toucanrudder.decisions")


@attrs.frozen(kw_only=True)
class Started:
    """The router has started and serves requests."""

    router: str
    zone: str


@attrs.frozen(kw_only=True)
class Stopping:
    """A graceful shutdown has begun."""

    router: str
    open_requests: int
    grace_s: float


@attrs.frozen(kw_only=True)
class Stopped:
    """The graceful shutdown has ended."""

    router: str
    open_requests: int


@attrs.frozen(kw_only=True)
class Reloaded:
    """SIGHUP was received; changed settings take effect at the next start."""

    router: str


@attrs.frozen(kw_only=True)
class ConfigurationTaken:
    """This router has put a newer configuration into force.

    ``source`` is ``store`` or ``peer``.  ``confirmed_age_s`` is the time since
    the store last answered this router's watch, and ``behind_s`` the time
    since a peer first said that it had a newer one.  ``api_keys`` is the
    number of valid keys; null if requests need none.
    """

    generation: int
    previous: int
    source: str
    api_keys: int | None
    confirmed_age_s: float | None
    behind_s: float


@attrs.frozen(kw_only=True)
class ConfigurationBehind:
    """A peer has a newer configuration than this router."""

    generation: int
    peer_generation: int
    peer: str
    confirmed_age_s: float | None


@attrs.frozen(kw_only=True)
class WatchReplaced:
    """A watch of the store did not tell of a change that peers know."""

    kind: str
    generation: int
    confirmed_age_s: float | None


@attrs.frozen(kw_only=True)
class StoreLost:
    """Calls to the store for objects of one kind fail."""

    kind: str
    error: str


@attrs.frozen(kw_only=True)
class StoreRegained:
    """Calls to the store for objects of one kind succeed again."""

    kind: str
    away_s: float


@attrs.frozen(kw_only=True)
class StoreRestored:
    """The store was restored from an older copy; all objects are reread."""

    era: int
    previous: int


@attrs.frozen(kw_only=True)
class UpstreamSeen:
    """An upstream changed state; a missing one stays in use for a time."""

    upstream: str
    service: str
    software_version: str
    change: str
    source: str


@attrs.frozen(kw_only=True)
class WeightsNamed:
    """A newer version of a model's weights is available."""

    model: str
    version: int


@attrs.frozen(kw_only=True)
class DutyChanged:
    """This router began or ceased a duty that it performs for all routers."""

    duty: str
    held: bool
    routers: int


@attrs.frozen(kw_only=True)
class BeliefsDropped:
    """Cached prefix blocks of earlier weights were dropped from the index."""

    parts: int


@attrs.frozen(kw_only=True)
class LeaseChanged:
    """This router acquired or lost the lease for load orders."""

    held: bool
    fencing: int
    left_s: float


@attrs.frozen(kw_only=True)
class TurnEnded:
    """This router releases the lease because it cannot make progress."""

    reason: str
    engines_left: int
    list_age_s: float
    held_s: float


@attrs.frozen(kw_only=True)
class OrderGiven:
    """An engine was ordered to load weights."""

    upstream: str
    model: str
    version: int
    had_version: int
    fencing: int
    lease_left_s: float
    expected_orders: int
    running: int
    reading: int
    memory_share: float
    mode: str
    taken: bool


@attrs.frozen(kw_only=True)
class OrderEnded:
    """A load order has completed, or is no longer waited for."""

    upstream: str
    model: str
    version: int
    has_version: int
    took_s: float


@attrs.frozen(kw_only=True)
class OrderMissed:
    """An engine lacks weights and could not be ordered to load them."""

    upstream: str
    model: str
    version: int
    had_version: int
    reason: str
    unanswered_s: float
    list_age_s: float
    fencing: int


@attrs.frozen(kw_only=True)
class ControllerEnded:
    """A controller ended unexpectedly; it is restarted."""

    controller: str
    error: str


@attrs.frozen(kw_only=True)
class Placed:
    """A request was placed on an upstream.

    ``resume_after`` is the ID of the event after which a stream goes on, and
    ``resumes`` the caller's request that received the stream's first event.
    The request was matched by the configuration of ``generation``; the one in
    force now is ``current_generation``.
    Where upstreams are uneven, ``expected_s`` is the time to the first event
    or plain answer that was expected there, reckoned from ``time_factor``,
    ``slowness`` and ``work_left_s``; ``second`` is the best other upstream.
    """

    request_id: str
    organisation: str
    route: str
    upstream: str
    software_version: str
    attempt: int
    resume_after: str | None
    resumes: str | None
    reason: str
    waited_s: float
    left_s: float
    generation: int
    current_generation: int
    weights_version: int | None
    weights_age_s: float
    prompt_tokens: int
    missing_tokens: int
    copy_from: str
    save_to: str
    own_requests: int
    told_requests: float
    told_age_s: float | None
    candidates: int
    known: int
    routers: int
    expected_s: float | None = None
    time_factor: float | None = None
    slowness: float | None = None
    work_left_s: float | None = None
    second: str = ""
    second_s: float | None = None


@attrs.frozen(kw_only=True)
class PartStoreSeen:
    """A KV cache store stopped answering, or answers again."""

    address: str
    change: str


@attrs.frozen(kw_only=True)
class TryEnded:
    """An attempt got no complete answer; names the step that follows.

    ``fault`` says how its connection ended, ``silent_s`` for how long nothing
    had arrived, and ``stalled_s`` for how much of that this router did not
    run.  ``is_charged`` says whether the step costs a retry, and
    ``budget_routers`` by how many routers the slack for retries is divided.
    """

    request_id: str
    upstream: str
    attempt: int
    ended: str
    after_s: float
    may_have_run: bool
    events: int
    next_step: str
    budget_left: float
    budget_routers: int
    is_charged: bool
    carried_requests: int
    identity: str
    silence: str
    copy_at: str
    unsent: str
    fault: str
    silent_s: float
    stalled_s: float


@attrs.frozen(kw_only=True)
class RunEndAwaited:
    """An engine was asked whether it has ended a run that broke off there.

    ``run`` is the last finding: ``ended``, ``in_progress``, ``unknown`` or
    ``not_reached``; ``memory`` says whether its engine made all of its
    memory with the same weights: ``unchanged``, ``changed`` or ``unproved``.
    ``is_continued`` says whether its copy is continued.
    """

    request_id: str
    upstream: str
    events: int
    run: str
    memory: str
    is_continued: bool
    replies: int
    took_s: float


@attrs.frozen(kw_only=True)
class AnswerSilent:
    """All attempts of a request are silent; names what is done beside them.

    ``next_step`` is ``wait`` if no further attempt is allowed or possible.
    """

    request_id: str
    upstream: str
    attempt: int
    events: int
    silence: str
    next_step: str
    after_s: float


@attrs.frozen(kw_only=True)
class Stalled:
    """This router did not run for a while: stopped, or without a processor."""

    router: str
    for_s: float
    open_requests: int


@attrs.frozen(kw_only=True)
class CrashSuspected:
    """An upstream's connection broke during a request.

    ``request`` and ``parts`` are fingerprints in the quarantine, and
    ``crashes`` is how many crashes are known for the request, this included.
    """

    request_id: str
    upstream: str
    request: str
    parts: tuple[str, ...]
    crashes: int
    events: int


@attrs.frozen(kw_only=True)
class PartBlocked:
    """Prompts with a part are refused, as upstreams crashed at it.

    ``group`` has the parts that explain the crashes equally well; prompts
    are refused if they have all of them.
    """

    part: str
    group: tuple[str, ...]
    crashes: int
    ends_in_s: float


@attrs.frozen(kw_only=True)
class StreamResumed:
    """A caller has taken up a stream that it began with an earlier request.

    ``source`` says how it was decided where the stream may go on.
    """

    request_id: str
    resumes: str | None
    route: str
    source: str
    service: str
    software_version: str | None
    asked: int
    answered: int
    took_s: float


@attrs.frozen(kw_only=True)
class LimitStated:
    """An upstream has changed the requests per second that it takes.

    ``rate_per_s`` is None if it states no limit any more, and ``source`` is
    the router that has told this one, if it was not an answer.
    """

    upstream: str
    service: str
    rate_per_s: float | None
    source: str


@attrs.frozen(kw_only=True)
class LeavingStated:
    """An upstream announces to leave, and gets no new work until it ends.

    ``source`` is the router that has told this one, if it was not an answer.
    """

    upstream: str
    service: str
    source: str


@attrs.frozen(kw_only=True)
class RestRequested:
    """A refusing upstream wants no request of this router for ``for_s``.

    ``asked_s`` is what it says.
    """

    upstream: str
    service: str
    asked_s: float
    for_s: float


@attrs.frozen(kw_only=True)
class Waited:
    """A request that had to wait for room gets a place.

    ``rank`` is its urgency, 0 the most urgent; ``waiting`` says how many
    requests it goes before.
    """

    request_id: str
    service: str
    organisation: str
    rank: int
    waited_s: float
    left_s: float
    waiting: int


@attrs.frozen(kw_only=True)
class WaitRefused:
    """A request is not to wait for room, or not any longer.

    ``ahead`` requests go before it; ``expected_s`` is the time until it
    would have got a place, and ``left_s`` the time for which it may wait.
    """

    request_id: str
    service: str
    organisation: str
    rank: int
    reason: str
    waited_s: float
    left_s: float
    expected_s: float
    ahead: int
    retry_after_s: float | None


@attrs.frozen(kw_only=True)
class Offered:
    """A peer has declined, or not answered, the offer of a request.

    Of the ``peers`` that could have been asked, ``peers_without`` are known
    not to reach the service, and ``zone_without`` of those in this zone.
    """

    request_id: str
    service: str
    peer: str
    peer_zone: str
    reply: str
    after_s: float
    peers: int
    peers_without: int
    zone_without: int


@attrs.frozen(kw_only=True)
class HandedOver:
    """A peer has accepted a request whose service is not reached from here.

    The request was matched by the configuration of ``generation``; the one in
    force now is ``current_generation``.
    """

    request_id: str
    route: str
    service: str
    peer: str
    peer_zone: str
    attempt: int
    waited_s: float
    left_s: float
    generation: int
    current_generation: int


@attrs.frozen(kw_only=True)
class TakenOver:
    """The work on a request that a peer had handed over has ended.

    The peer logs what its caller received.  Its configuration was
    ``offered_generation``; the request was matched by ``generation`` here.
    """

    request_id: str
    origin: str
    upstream: str
    outcome: str
    status: int
    attempts: int
    after_s: float
    taken: int
    offered_generation: int
    generation: int


@attrs.frozen(kw_only=True)
class ContactChanged:
    """New connections to all tried upstreams of a service fail, or one works.

    ``peers_without`` counts the routers that have reported the same.
    """

    service: str
    is_lost: bool
    upstreams: int
    failed: int
    lost_for_s: float
    routers: int
    peers_without: int


@attrs.frozen(kw_only=True)
class Answered:
    """A caller received the complete answer of an upstream.

    ``generation`` is that of the configuration that the request was matched
    by.
    """

    request_id: str
    route: str
    upstream: str
    status: int
    attempts: int
    first_s: float
    whole_s: float
    events: int
    longest_gap_s: float
    objective_s: float
    event_gap_s: float
    generation: int


@attrs.frozen(kw_only=True)
class Refused:
    """A caller received an error from the router itself.

    ``generation`` is that of the configuration that the request was compared
    with; 0 if it was refused before.
    """

    request_id: str
    route: str
    code: str
    status: int
    ran: str
    retry_after_s: float | None
    after_s: float
    peer: str
    detail: str
    generation: int


@attrs.frozen(kw_only=True)
class Capped:
    """A request was refused because of its organisation's cap."""

    organisation: str
    cost: float
    outcome: str
    wait_s: float
    routers: int


@attrs.frozen(kw_only=True)
class CallerLeft:
    """A caller disconnected before its answer was complete.

    ``cause`` says how its connection ended: closed or reset by the caller,
    timed out as its host acknowledged nothing, or closed here as the caller
    did not read.
    """

    request_id: str
    route: str
    after_s: float
    attempts: int
    cause: str


KINDS = (
    Started,
    Stalled,
    Stopping,
    Stopped,
    Reloaded,
    ConfigurationTaken,
    ConfigurationBehind,
    WatchReplaced,
    StoreLost,
    StoreRegained,
    UpstreamSeen,
    WeightsNamed,
    DutyChanged,
    BeliefsDropped,
    LeaseChanged,
    TurnEnded,
    OrderGiven,
    OrderEnded,
    OrderMissed,
    ControllerEnded,
    PartStoreSeen,
    Placed,
    TryEnded,
    RunEndAwaited,
    AnswerSilent,
    CrashSuspected,
    PartBlocked,
    LimitStated,
    LeavingStated,
    RestRequested,
    Waited,
    WaitRefused,
    Offered,
    HandedOver,
    TakenOver,
    ContactChanged,
    Answered,
    Refused,
    CallerLeft,
)

#: Events of each successful request.  They are the first to be dropped
#: when lines arrive faster than they can be written.
ROUTINE = (Placed, Answered)


def _rounded(value):
    return round(value, 4) if isinstance(value, float) else value


def record(event) -> None:
    """Log an event.

    Parameters
    ----------
    event : one of KINDS
        The decision or the observed change.
    """
    if not LOG.isEnabledFor(logging.INFO):
        return
    fields = {
        name: _rounded(value)
        for name, value in attrs.asdict(event, recurse=False).items()
    }
    level = logging.INFO
    LOG.log(
        level,
        type(event).__name__,
        extra={"event": fields, "routine": isinstance(event, ROUTINE)},
    )
