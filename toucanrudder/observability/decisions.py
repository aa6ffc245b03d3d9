"""What the forwarding path writes down: one line for each decision.

Each class is one kind of line; its fields are what decided, and how old
that was.  ``docs/operators/events.md`` lists them and is checked against
this module.  No field holds a key, a prompt or a body.
"""

import logging

import attrs

LOG = logging.getLogger("toucanrudder.decisions")


@attrs.frozen(kw_only=True)
class Started:
    """The process serves."""

    router: str
    zone: str


@attrs.frozen(kw_only=True)
class Stopping:
    """A planned stop has begun."""

    router: str
    open_requests: int
    grace_s: float


@attrs.frozen(kw_only=True)
class Stopped:
    """The planned stop has ended."""

    router: str
    open_requests: int


@attrs.frozen(kw_only=True)
class Reloaded:
    """The signal for new settings came; they hold from the next start."""

    router: str


@attrs.frozen(kw_only=True)
class ConfigurationTaken:
    """A newer configuration is in force here."""

    generation: int
    previous: int
    source: str


@attrs.frozen(kw_only=True)
class StoreLost:
    """Calls of one kind to the store fail."""

    kind: str
    error: str


@attrs.frozen(kw_only=True)
class StoreRegained:
    """The store answers again."""

    kind: str
    away_s: float


@attrs.frozen(kw_only=True)
class StoreRestored:
    """The store has come back from an older copy; all is read anew."""

    era: int
    previous: int


@attrs.frozen(kw_only=True)
class UpstreamSeen:
    """An upstream came, leaves, or went; missing: believed for a while."""

    upstream: str
    service: str
    change: str
    source: str


@attrs.frozen(kw_only=True)
class WeightsNamed:
    """New weights are to be had."""

    model: str
    version: int


@attrs.frozen(kw_only=True)
class DutyChanged:
    """This router does something for all others, or does it no more."""

    duty: str
    held: bool
    routers: int


@attrs.frozen(kw_only=True)
class BeliefsDropped:
    """Parts kept under earlier weights are believed in no more."""

    parts: int


@attrs.frozen(kw_only=True)
class LeaseChanged:
    """This router holds the lease for orders, or holds it no more."""

    held: bool
    fencing: int
    left_s: float


@attrs.frozen(kw_only=True)
class TurnEnded:
    """This router gives the lease up, as it gets no further."""

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
    """An order is done with, or is waited for no more."""

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
    """A controller ended though the router did not stop; it starts again."""

    controller: str
    error: str


@attrs.frozen(kw_only=True)
class Placed:
    """A request was given to an upstream."""

    request_id: str
    organisation: str
    route: str
    upstream: str
    attempt: int
    reason: str
    waited_s: float
    left_s: float
    generation: int
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


@attrs.frozen(kw_only=True)
class PartStoreSeen:
    """A store of cached parts stopped answering, or answers again."""

    address: str
    change: str


@attrs.frozen(kw_only=True)
class TryEnded:
    """An upstream gave no whole answer; says what follows."""

    request_id: str
    upstream: str
    attempt: int
    ended: str
    after_s: float
    may_have_run: bool
    events: int
    next_step: str
    budget_left: float
    carried_requests: int
    identity: str
    silence: str
    copy_at: str


@attrs.frozen(kw_only=True)
class Answered:
    """A caller got the whole answer of an upstream."""

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


@attrs.frozen(kw_only=True)
class Refused:
    """A caller got an answer of the router's own."""

    request_id: str
    route: str
    code: str
    status: int
    ran: str
    retry_after_s: float | None
    after_s: float
    peer: str
    detail: str


@attrs.frozen(kw_only=True)
class Capped:
    """A request was refused, as its organisation has used up its cap."""

    organisation: str
    cost: float
    outcome: str
    wait_s: float
    routers: int


@attrs.frozen(kw_only=True)
class CallerLeft:
    """A caller closed before his answer was whole."""

    request_id: str
    route: str
    after_s: float
    attempts: int


KINDS = (
    Started,
    Stopping,
    Stopped,
    Reloaded,
    ConfigurationTaken,
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
    Answered,
    Refused,
    CallerLeft,
)

#: Kinds that come with each request that goes well.  They are the first
#: to be dropped when lines come faster than they can be written.
ROUTINE = (Placed, Answered)


def _rounded(value):
    return round(value, 4) if isinstance(value, float) else value


def record(event) -> None:
    """Write the event down.

    Parameters
    ----------
    event : one of KINDS
        What was decided or has come to be believed.
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
