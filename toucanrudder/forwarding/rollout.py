"""Which engine is to load which weights next.  No I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
import types

import attrs

from toucanrudder.forwarding import model

#: Part of a service's engines that load at once, while there is time and
#: when weights are getting too old.  More would take too much capacity
#: out, and engines that load together share the source of the weights and
#: get slower.
LOADING_SHARE = 1 / 5
URGENT_SHARE = 1 / 3

#: After this long without a sign that an order is being carried out, the
#: engine may be given another.  An engine loads in well under a second
#: once its requests have ended, which takes a few.
ORDER_TIMEOUT_S = 4.0


#: Part of the time within which engines must follow, from which an engine
#: goes before less busy ones: it needs up to three eighths of the usual
#: eight seconds to end its requests and load, and may wait as long for
#: those before it.
URGENT_AGE_SHARE = 0.31


@attrs.frozen
class Pace:
    """How fast engines must follow new weights.

    Parameters
    ----------
    bound_s : float
        Time after which no request may begin on older ones.

    Examples
    --------
    >>> Pace(8.0).urgent_s, Pace(6.0).urgent_s
    (2.48, 1.8599999999999999)
    """

    bound_s: float = 8.0

    @property
    def urgent_s(self) -> float:
        """Age of weights from which their engine goes before others."""
        return URGENT_AGE_SHARE * self.bound_s


DEFAULT_PACE = Pace()


#: Requests running on an engine from which it is not waited until they
#: have ended.
KEEP_FROM = 3


class Mode(enum.Enum):
    """What becomes of an engine's requests when it loads weights."""

    #: They end first; until then nothing new begins.
    WAIT = "wait"
    #: They go on under the new weights.
    KEEP = "keep"


#: Events that may be on their way when an engine reports.
EVENTS_ON_THEIR_WAY = 1


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    weights : mapping of str to int
        Version by model.
    is_busy : bool
        Whether an order is being carried out.
    orders : int
        Number of orders that it has accepted; an order that names the
        number it expects is not carried out after a later one.
    running : int
        Requests that it runs.
    reading : int
        Those of them whose prompts it is still reading.
    waiting : int
        Requests that it has not begun to run.
    events : mapping of str to int
        Events made so far, by the identity of each running request.
    memory_share : float
        Part of its memory that running requests take.
    born_ms : int
        Unix time of its start; 0 if it does not say.
    """

    weights: dict[str, int]
    is_busy: bool = False
    orders: int = 0
    running: int = 0
    reading: int = 0
    waiting: int = 0
    events: Mapping[str, int] = attrs.field(factory=dict)
    memory_share: float = 0.0
    born_ms: int = 0

    def has_lost_events(self, request_id: str, received: int) -> bool:
        """Say whether events of a request were made that never arrived.

        Parameters
        ----------
        request_id : str
            A request that was sent there.
        received : int
            Events of its answer that have arrived.

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
        made = self.events.get(request_id)
        if made is None:
            # It has ended, so far as the report is not too old, unless it
            # is one of those that wait.
            return not self.waiting
        return made > received + EVENTS_ON_THEIR_WAY


#: Longest time for which an engine gets no new work before its order:
#: with prompts read in 0.2 to 0.5 s and answers made in two to three, the
#: runs that an order would spoil are then few.
MAX_DRAIN_S = 1.0

#: The same while prompts are still being read.
MAX_PREFILL_WAIT_S = 1.8

#: The same once weights are urgent (see `Pace`): a prompt is read by
#: then unless it waits for memory.
URGENT_PREFILL_WAIT_S = 0.5

#: Part of an engine's memory in use from which it is loaded: what it does
#: not do then, no other engine can do for it.
LOADED_SHARE = 0.8


def waits_for_requests(
    report: EngineReport,
    waited_s: float,
    age_s: float,
    pace: Pace = DEFAULT_PACE,
) -> bool:
    """Say whether the order waits until more of its requests have ended.

    On a quiet fleet others take the work meanwhile: requests that change
    weights on their way cost 0.087 of a quiet day's worth without waiting
    and 0.021 with it.  On a loaded one it costs more than it saves: 0.79
    to 0.75 of the worth served in a day of high load.

    Where weights are urgent there is no time for it.  After a holder of
    the lease has frozen, its successor begins with engines that are some
    five seconds behind; a second's wait on each made the last one answer
    on weights that had been superseded for more than eight.

    Parameters
    ----------
    report : EngineReport
        What the engine says.
    waited_s : float
        For how long it has got no new work.
    age_s : float
        For how long its weights have been superseded.
    pace : Pace
        How fast engines must follow.

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
    if is_urgent or report.memory_share >= LOADED_SHARE:
        return False
    return report.running >= KEEP_FROM and waited_s < MAX_DRAIN_S


def load_mode(report: EngineReport) -> Mode:
    """Return how an engine is to load.

    An engine that waits takes nothing new until its slowest request has
    ended: with many of them that is two to four seconds of an engine's
    work, with few some hundred milliseconds.  What requests make after
    the change is worth nothing, which is half of their answers.

    A prompt that is being read while weights change would leave parts
    that were made on the new weights under the old ones' name, in the
    engine and in the store of kept parts, and others would answer from
    them.  So an engine that reads waits.
    """
    if report.reading or report.running < KEEP_FROM:
        return Mode.WAIT
    return Mode.KEEP


@attrs.frozen
class LoadTask:
    """An engine that lacks the newest weights of a model."""

    upstream: model.Upstream
    model: str
    version: int

    @property
    def key(self) -> tuple[str, str, int]:
        """What tells it from all other work."""
        return self.upstream.incarnation, self.model, self.version


@attrs.define
class PendingOrder:
    """An order that is being given, or has not shown its effect.

    Parameters
    ----------
    version : int
        Weights that the engine is to load.
    at_s : float
        Monotonic time of the last step.
    has_place : bool
        Whether the engine counts among those that load at once.
    """

    version: int
    at_s: float
    has_place: bool = True


def outstanding_tasks(
    upstreams: Iterable[model.Upstream], newest: Mapping[str, int]
) -> list[LoadTask]:
    """Return what is left to do; engines that leave need no new weights.

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
        Engines that stay.
    oldest_s : float
        Age of the oldest weights among them.
    pace : Pace
        How fast engines must follow.

    Examples
    --------
    >>> [max_concurrent_loads(9, oldest_s) for oldest_s in (0.0, 3.0)]
    [2, 3]
    >>> max_concurrent_loads(1, 0.0)
    1
    """
    share = URGENT_SHARE if oldest_s > pace.urgent_s else LOADING_SHARE
    return max(1, math.ceil(engines * share))


def _under_way(
    given: Mapping[str, PendingOrder], now_s: float
) -> dict[str, PendingOrder]:
    return {
        name: order
        for name, order in given.items()
        if now_s - order.at_s < ORDER_TIMEOUT_S
    }


def free_slots(
    engines: Iterable[model.Upstream],
    given: Mapping[str, PendingOrder],
    oldest_s: float,
    now_s: float,
    pace: Pace = DEFAULT_PACE,
) -> int:
    """Return how many more of a service's engines may load now.

    Parameters
    ----------
    engines : iterable of model.Upstream
        Those that stay.
    given : mapping of str to PendingOrder
        Orders under way, by incarnation.
    oldest_s : float
        Age of the oldest weights among the engines.
    now_s : float
        Monotonic time.
    pace : Pace
        How fast engines must follow.

    Examples
    --------
    >>> engines = [model.Upstream(f"i{n}", "s", "") for n in range(10)]
    >>> given = {
    ...     "i1": PendingOrder(2, 0.0),
    ...     "i2": PendingOrder(2, 0.0, has_place=False),
    ... }
    >>> free_slots(engines, given, 0.0, now_s=0.5)
    1
    """
    names = {each.incarnation for each in engines}
    taken = sum(
        order.has_place
        for name, order in _under_way(given, now_s).items()
        if name in names
    )
    return max_concurrent_loads(len(names), oldest_s, pace) - taken


def plan_orders(
    upstreams: Iterable[model.Upstream],
    newest: Mapping[str, int],
    given: Mapping[str, PendingOrder],
    busy: Mapping[str, float],
    age_s: Callable[[LoadTask], float],
    now_s: float,
    pace: Pace = DEFAULT_PACE,
    stuck: Mapping[str, float] = types.MappingProxyType({}),
) -> list[LoadTask]:
    """Return the orders to give now, the cheapest engines first.

    Engines whose weights are getting too old go before all others: where
    versions follow each other faster than engines can load them, a busy
    one would be passed over each time.

    Engines that could not be ordered when last asked are asked again beside
    those that have a place.  Failure: some are silent.  They have no work,
    so they would be the cheapest, and take a place until a call has timed
    out, again and again.  Symptom: with as many of them as places, no other
    engine is ever ordered.  As it is, each takes a place from another only
    once, and goes on as soon as it answers.  No more are asked than may
    load, those first that were asked longest ago.

    Parameters
    ----------
    upstreams : iterable of model.Upstream
        The engines of one service.
    newest : mapping of str to int
        Newest version by model.
    given : mapping of str to PendingOrder
        Orders under way, by incarnation.
    busy : mapping of str to float
        How much work an engine has, by incarnation.
    age_s : callable
        For how long an engine's weights have been superseded.
    now_s : float
        Monotonic time.
    pace : Pace
        How fast engines must follow.
    stuck : mapping of str to float
        Engines that could not be ordered, by incarnation, and when each
        was last asked.
    """
    engines = [each for each in upstreams if not each.is_leaving]
    under_way = _under_way(given, now_s)
    open_tasks = [
        task
        for task in outstanding_tasks(engines, newest)
        if task.upstream.incarnation not in under_way
    ]
    oldest_s = max(map(age_s, open_tasks), default=0.0)
    free = free_slots(engines, given, oldest_s, now_s, pace)
    asked = sorted(
        (t for t in open_tasks if t.upstream.incarnation in stuck),
        key=lambda task: stuck[task.upstream.incarnation],
    )
    asking = sum(not order.has_place for order in under_way.values())
    may_ask = max_concurrent_loads(len(engines), oldest_s, pace) - asking
    open_tasks = [
        task for task in open_tasks if task.upstream.incarnation not in stuck
    ]
    open_tasks.sort(
        key=lambda task: (
            -max(0.0, age_s(task) - pace.urgent_s),
            busy.get(task.upstream.incarnation, 0.0),
            task.upstream.incarnation,
        )
    )
    return open_tasks[: max(0, free)] + asked[: max(0, may_ask)]
