"""Plans which engines load which weights next.  No I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
import types

import attrs

from toucanrudder.forwarding import model
from toucanrudder.http1 import calls

#: Fraction of a service's engines that load at once: normally, and when
#: weights are urgent (see `Pace`).  More would remove too much capacity, and
#: engines that load together share the bandwidth of the weights' source.
LOADING_SHARE = 1 / 5
URGENT_LOADING_SHARE = 1 / 3

#: Time after which an order that shows no effect is given up and the
#: engine may get another.  An engine loads in well under a second once its
#: requests have ended, which takes a few.
ORDER_TIMEOUT_S = 4.0


#: Fraction of the bound from which an engine goes before less busy ones:
#: it needs up to three eighths of the default eight seconds to finish its
#: requests and load, and may wait as long for the engines before it.
URGENT_AGE_SHARE = 0.31


@attrs.frozen
class Pace:
    """How fast engines must load new weights.

    Parameters
    ----------
    bound_s : float
        Seconds after new weights are named at which no request may begin
        on older ones.

    Examples
    --------
    >>> Pace(8.0).urgent_s, Pace(6.0).urgent_s
    (2.48, 1.8599999999999999)
    """

    bound_s: float = 8.0

    @property
    def urgent_s(self) -> float:
        """Age in seconds of weights whose engine goes before others."""
        return URGENT_AGE_SHARE * self.bound_s


DEFAULT_PACE = Pace()


#: Fewest running requests with which an engine loads without waiting for
#: them to end.
KEEP_MIN_RUNNING = 3


class Mode(enum.Enum):
    """What happens to an engine's requests when it loads weights."""

    #: They finish first; until then no new request begins.
    WAIT = "wait"
    #: They continue on the new weights.
    KEEP = "keep"


class Contact(enum.Enum):
    """What a request for a report found at an engine's address."""

    REPORTED = "reported"
    #: The process is alive, or may be, but gave no report.
    NO_ANSWER = "no_answer"
    #: A new connection was refused, and no earlier one is left.
    REFUSED = "refused"
    #: Another process has answered.
    REPLACED = "replaced"
    #: No connection could be opened, or not in time.
    NOT_REACHED = "not_reached"


_CONTACT_BY_FAILURE = {
    calls.Failure.REFUSED: Contact.REFUSED,
    calls.Failure.NOT_REACHED: Contact.NOT_REACHED,
}


#: Most events of one request that may be in flight when an engine reports.
MAX_EVENTS_IN_FLIGHT = 1


@attrs.frozen
class EngineReport:
    """An engine's report on its weights and load.

    Parameters
    ----------
    weights : mapping of str to int
        Version by model.
    is_busy : bool
        Whether it is carrying out an order.
    orders : int
        Number of orders that it has accepted.  An order names the number
        that it expects, so it is rejected if a later one came first.
    running : int
        Running requests.
    reading : int
        Running requests whose prompts are still being prefilled.
    waiting : int
        Queued requests.
    events : mapping of str to int
        Number of events sent so far, by ID of the running request.
    memory_share : float
        Fraction of its memory that running requests use.
    started_at_ms : int
        Unix time of its start in ms; 0 if unknown.
    """

    weights: dict[str, int]
    is_busy: bool = False
    orders: int = 0
    running: int = 0
    reading: int = 0
    waiting: int = 0
    events: Mapping[str, int] = attrs.field(factory=dict)
    memory_share: float = 0.0
    started_at_ms: int = 0

    def has_lost_events(self, request_id: str, received: int) -> bool:
        """Return whether the engine sent events that never arrived.

        Parameters
        ----------
        request_id : str
            A request that was sent there.
        received : int
            Number of events of its answer that have arrived.

        Examples
        --------
        >>> EngineReport({}, events={"r": 5}).has_lost_events("r", 5)
        False
        >>> EngineReport({}, events={"r": 9}).has_lost_events("r", 5)
        True
        >>> EngineReport({}).has_lost_events("r", 5)
        True
        >>> EngineReport({}, waiting=1).has_lost_events("r", 5)
        False
        """
        sent = self.events.get(request_id)
        if sent is None:
            # The request has ended, unless it is queued or the report is
            # older than the request.
            return not self.waiting
        return sent > received + MAX_EVENTS_IN_FLIGHT


@attrs.frozen
class ReportReply:
    """Outcome of a request for an engine's report.

    Parameters
    ----------
    contact : Contact
        What was found at the engine's address.
    report : EngineReport or None
        The report, if there is one.
    asked_at_s : float
        Monotonic time of the request.
    """

    contact: Contact
    report: EngineReport | None = None
    asked_at_s: float = 0.0

    @classmethod
    def of(cls, report: EngineReport | None) -> "ReportReply":
        """Return the reply of an engine that answers with a report or not."""
        if report is None:
            return cls(Contact.NO_ANSWER)
        return cls(Contact.REPORTED, report)

    @classmethod
    def failed(
        cls, failure: calls.Failure | None, is_replaced: bool = False
    ) -> "ReportReply":
        """Return a reply without a report.

        Parameters
        ----------
        failure : calls.Failure or None
            Why there was no answer; None if there was one.
        is_replaced : bool
            Whether another process has answered.
        """
        if is_replaced:
            return cls(Contact.REPLACED)
        return cls(_CONTACT_BY_FAILURE.get(failure, Contact.NO_ANSWER))


#: Longest time for which an engine gets no new work before its order.
#: With prefills of 0.2 to 0.5 s and answers of two to three seconds, few
#: requests that the order would spoil are then left.
MAX_DRAIN_S = 1.0

#: The same while prompts are still being prefilled.
MAX_PREFILL_WAIT_S = 1.8

#: The same once weights are urgent (see `Pace`): a prompt is prefilled by
#: then unless it waits for memory.
URGENT_PREFILL_WAIT_S = 0.5

#: Fraction of an engine's memory in use from which it counts as loaded: no
#: other engine has room for the work that it does not do then.
HIGH_MEMORY_SHARE = 0.8


def waits_for_requests(
    report: EngineReport,
    waited_s: float,
    age_s: float,
    pace: Pace = DEFAULT_PACE,
) -> bool:
    """Return whether an order waits until more requests have ended.

    On a lightly loaded fleet other engines take the work meanwhile, and
    fewer requests change weights midway: these cost 0.021 of a quiet day's
    worth with waiting and 0.087 without.  Under high load waiting costs more
    than it saves: 0.75 of the day's worth is served, against 0.79.

    Urgent weights leave no time for it.  After a lease holder has frozen,
    its successor starts with engines some five seconds behind; waiting a
    second on each let the last one answer on weights superseded for more
    than eight.

    Parameters
    ----------
    report : EngineReport
        The engine's newest report.
    waited_s : float
        Seconds for which it has got no new work.
    age_s : float
        Seconds since its weights were superseded.
    pace : Pace
        How fast engines must load new weights.

    Examples
    --------
    >>> quiet = EngineReport({}, running=9, memory_share=0.3)
    >>> [waits_for_requests(quiet, waited_s, 1.0) for waited_s in (0.2, 1.1)]
    [True, False]
    >>> waits_for_requests(attrs.evolve(quiet, memory_share=0.8), 0.2, 1.0)
    False
    """
    is_urgent = age_s > pace.urgent_s
    if report.reading:
        return waited_s < (
            URGENT_PREFILL_WAIT_S if is_urgent else MAX_PREFILL_WAIT_S
        )
    if is_urgent or report.memory_share >= HIGH_MEMORY_SHARE:
        return False
    return report.running >= KEEP_MIN_RUNNING and waited_s < MAX_DRAIN_S


def load_mode(report: EngineReport) -> Mode:
    """Return what an engine does with its requests when it loads.

    An engine that waits takes no new request until its slowest one has
    ended: with many of them this loses two to four seconds of the engine's
    work, with few some hundred milliseconds.  If it does not wait, the
    output after the change, half of the answers, is worth nothing.

    If weights change during a prefill, parts computed on the new weights
    are cached under the old version, in the engine and in the part store,
    and other requests would answer from them.  So an engine that prefills
    waits.
    """
    if report.reading or report.running < KEEP_MIN_RUNNING:
        return Mode.WAIT
    return Mode.KEEP


@attrs.frozen
class LoadTask:
    """A version of a model's weights that an engine has yet to load."""

    upstream: model.Upstream
    model: str
    version: int

    @property
    def key(self) -> tuple[str, str, int]:
        """Unique key of the task."""
        return self.upstream.incarnation, self.model, self.version


@attrs.define
class PendingOrder:
    """An order that is being sent or carried out.

    Parameters
    ----------
    version : int
        Weights that the engine is to load.
    at_s : float
        Monotonic time of its last progress.
    holds_slot : bool
        Whether the engine counts towards the concurrent loads.
    """

    version: int
    at_s: float
    holds_slot: bool = True


def outstanding_tasks(
    upstreams: Iterable[model.Upstream], newest: Mapping[str, int]
) -> list[LoadTask]:
    """Return the loads that are left; engines that leave need none.

    Examples
    --------
    >>> one = model.Upstream("i1", "s", "10.0.0.1:1", weights={"m": 1})
    >>> [task.version for task in outstanding_tasks([one], {"m": 3})]
    [3]
    >>> outstanding_tasks([one], {"m": 1})
    []
    """
    return [
        LoadTask(upstream, name, newest[name])
        for upstream in upstreams
        if not upstream.is_leaving
        for name, version in upstream.weights.items()
        if name in newest and version < newest[name]
    ]


def max_concurrent_loads(
    engines: int, oldest_s: float, pace: Pace = DEFAULT_PACE
) -> int:
    """Return how many of a service's engines may load at once.

    Parameters
    ----------
    engines : int
        Number of engines that do not leave.
    oldest_s : float
        Age in seconds of the oldest weights among them.
    pace : Pace
        How fast engines must load new weights.

    Examples
    --------
    >>> [max_concurrent_loads(9, oldest_s) for oldest_s in (0.0, 3.0)]
    [2, 3]
    >>> max_concurrent_loads(1, 0.0)
    1
    """
    share = URGENT_LOADING_SHARE if oldest_s > pace.urgent_s else LOADING_SHARE
    return max(1, math.ceil(engines * share))


def _in_progress(
    pending: Mapping[str, PendingOrder], now_s: float
) -> dict[str, PendingOrder]:
    return {
        name: order
        for name, order in pending.items()
        if now_s - order.at_s < ORDER_TIMEOUT_S
    }


def free_slots(
    engines: Iterable[model.Upstream],
    pending: Mapping[str, PendingOrder],
    oldest_s: float,
    now_s: float,
    pace: Pace = DEFAULT_PACE,
) -> int:
    """Return how many more of a service's engines may load now.

    Parameters
    ----------
    engines : iterable of model.Upstream
        Those that do not leave.
    pending : mapping of str to PendingOrder
        Orders in progress, by incarnation.
    oldest_s : float
        Age in seconds of the oldest weights among the engines.
    now_s : float
        Monotonic time.
    pace : Pace
        How fast engines must load new weights.

    Examples
    --------
    >>> engines = [model.Upstream(f"i{n}", "s", "") for n in range(10)]
    >>> pending = {
    ...     "i1": PendingOrder(2, 0.0),
    ...     "i2": PendingOrder(2, 0.0, holds_slot=False),
    ... }
    >>> free_slots(engines, pending, 0.0, now_s=0.5)
    1
    """
    names = {engine.incarnation for engine in engines}
    used = sum(
        order.holds_slot
        for name, order in _in_progress(pending, now_s).items()
        if name in names
    )
    return max_concurrent_loads(len(names), oldest_s, pace) - used


def plan_orders(
    upstreams: Iterable[model.Upstream],
    newest: Mapping[str, int],
    pending: Mapping[str, PendingOrder],
    requests: Mapping[str, float],
    age_s: Callable[[LoadTask], float],
    now_s: float,
    pace: Pace = DEFAULT_PACE,
    stuck: Mapping[str, float] = types.MappingProxyType({}),
) -> list[LoadTask]:
    """Return the orders to give now, the least busy engines first.

    Engines with urgent weights go before all others: if versions follow
    each other faster than engines can load them, a busy one would be passed
    over each time.

    Engines that could not be ordered when last asked are asked again
    without a load slot.  Engines that do not answer have no work; chosen as
    the least busy they would each hold a slot until a call has timed out,
    again and again, and as many of them as slots would block all others.
    Now each of them holds a slot only once and gets one as soon as it
    answers.  At most as many are asked as may load, the one asked longest
    ago first.

    Parameters
    ----------
    upstreams : iterable of model.Upstream
        The engines of one service.
    newest : mapping of str to int
        Newest version by model.
    pending : mapping of str to PendingOrder
        Orders in progress, by incarnation.
    requests : mapping of str to float
        Number of requests at each engine, by incarnation.
    age_s : callable
        Returns the seconds since the weights of a task's engine were
        superseded.
    now_s : float
        Monotonic time.
    pace : Pace
        How fast engines must load new weights.
    stuck : mapping of str to float
        Monotonic time of the last question to each engine that could not
        be ordered, by incarnation.
    """
    engines = [engine for engine in upstreams if not engine.is_leaving]
    in_progress = _in_progress(pending, now_s)
    open_tasks = [
        task
        for task in outstanding_tasks(engines, newest)
        if task.upstream.incarnation not in in_progress
    ]
    oldest_s = max(map(age_s, open_tasks), default=0.0)
    free = free_slots(engines, pending, oldest_s, now_s, pace)
    stuck_tasks = sorted(
        (task for task in open_tasks if task.upstream.incarnation in stuck),
        key=lambda task: stuck[task.upstream.incarnation],
    )
    asking = sum(not order.holds_slot for order in in_progress.values())
    max_asked = max_concurrent_loads(len(engines), oldest_s, pace) - asking
    open_tasks = [
        task for task in open_tasks if task.upstream.incarnation not in stuck
    ]
    open_tasks.sort(
        key=lambda task: (
            -max(0.0, age_s(task) - pace.urgent_s),
            requests.get(task.upstream.incarnation, 0.0),
            task.upstream.incarnation,
        )
    )
    return open_tasks[: max(0, free)] + stuck_tasks[: max(0, max_asked)]
