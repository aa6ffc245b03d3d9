"""Which faults a soak injects, and when.  No I/O."""

from collections.abc import Iterator
import enum
import random

import attrs


class Fault(enum.Enum):
    """What is done from outside."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    HUP = "hup"
    STORE_BUSY = "store busy"
    STORE_SILENT = "store silent"
    STORE_LOST = "store lost"
    STORE_FORGETS = "store forgets"
    STORE_CUT = "store cut"
    CUT = "upstream cut"
    FREEZE = "upstream freeze"
    DELAY = "upstream delay"
    SICK = "upstream sick"
    CRASH = "upstream crash"
    DRAIN = "drain"
    DOCUMENT = "document"
    WEIGHTS = "weights"
    POISON = "poison"
    POISON_PART = "poison part"
    STANDSTILL = "standstill"
    UPSTREAM_STANDSTILL = "upstream standstill"
    LIMIT = "upstream limit"
    LEAVE = "upstream leaves unregistered"
    REST = "upstream rest"
    WATCHES_LOST = "watches lost"
    STRANGE_ENTRY = "strange entry"
    CLIENT_CROWD = "client crowd"
    BROKEN_ANSWERS = "upstream answers broken"
    RESETS = "upstream resets"


#: How often each comes, against the others.
WEIGHTS = {
    Fault.TERM: 3,
    Fault.KILL: 2,
    Fault.PAUSE: 2,
    Fault.HUP: 1,
    Fault.STORE_BUSY: 1,
    Fault.STORE_SILENT: 1,
    Fault.STORE_LOST: 1,
    Fault.STORE_FORGETS: 1,
    Fault.STORE_CUT: 1,
    Fault.CUT: 2,
    Fault.FREEZE: 2,
    Fault.DELAY: 1,
    Fault.SICK: 3,
    Fault.CRASH: 2,
    Fault.DRAIN: 2,
    Fault.DOCUMENT: 4,
    Fault.WEIGHTS: 4,
    Fault.POISON: 1,
}

#: How long one standstill lasts, and time from one series to the next.
STANDSTILL_S = (0.6, 0.9)
STANDSTILL_EVERY_S = 5.5

#: Seconds before the first fault, and without a new one at the end.
CALM_S = 1.0
QUIET_END_S = 3.0


@attrs.frozen
class Step:
    """One fault.

    Parameters
    ----------
    at_s : float
        Seconds from the start.
    fault : Fault
        What is done.
    draw : float
        From 0 to 1; chooses the target.
    for_s : float
        How long it lasts, where it lasts.
    """

    at_s: float
    fault: Fault
    draw: float
    for_s: float


def plan(seed: int, length_s: float, a_second: float) -> tuple[Step, ...]:
    """Return the faults of one soak, in order.

    Some come in series of the same kind, and all may overlap.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    length_s : float
        Length of the soak.
    a_second : float
        Faults a second, on average.

    Examples
    --------
    >>> plan(1, 10.0, 1.0) == plan(1, 10.0, 1.0) != plan(2, 10.0, 1.0)
    True
    """
    rng = random.Random(seed)
    steps = []
    at_s = CALM_S
    while True:
        at_s += rng.expovariate(a_second)
        if at_s > length_s - QUIET_END_S:
            steps.append(_part_step(seed, length_s))
            steps.extend(_standstill_steps(seed, length_s))
            steps.append(limit_step(seed, length_s))
            steps.append(leave_step(seed, length_s))
            steps.append(rest_step(seed, length_s))
            steps.extend(_store_steps(seed, length_s))
            steps.append(_crowd_step(seed, length_s))
            steps.extend(_answer_steps(seed, length_s))
            return tuple(sorted(steps, key=_at_s))
        (fault,) = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            for_s = rng.uniform(0.3, 3.0)
            steps.append(Step(at_s, fault, rng.random(), for_s))
            at_s += rng.uniform(0.1, 0.8)


def _at_s(step: Step) -> float:
    return step.at_s


def standstills(
    seed: int, length_s: float, *faults: Fault
) -> tuple[Step, ...]:
    """Return a plan with nothing but standstills of all that a fault names.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    length_s : float
        Length of the soak.
    *faults : Fault
        Kinds of standstills, which begin again and again.
    """
    rng = random.Random(seed)
    steps = []
    at_s = CALM_S
    while at_s < length_s - QUIET_END_S:
        for fault in faults:
            for_s = rng.uniform(*STANDSTILL_S)
            steps.append(Step(at_s, fault, 0.0, for_s))
        at_s += STANDSTILL_EVERY_S
    return tuple(steps)


def _generator(seed: int, fault: str) -> random.Random:
    """Return a generator for one fault, so that other draws stay as they are.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    fault : str
        Name of the fault.
    """
    return random.Random(f"{fault} of {seed}")


def _time_s(rng: random.Random, latest_s: float) -> float:
    """Return a time between the calm at the beginning and another one."""
    return rng.uniform(CALM_S, max(CALM_S, latest_s))


def _standstill_steps(seed: int, length_s: float) -> Iterator[Step]:
    rng = _generator(seed, "standstills")
    for fault in (Fault.STANDSTILL, Fault.UPSTREAM_STANDSTILL):
        at_s = _time_s(rng, length_s - QUIET_END_S)
        for_s = rng.uniform(*STANDSTILL_S)
        yield Step(at_s, fault, rng.random(), for_s)


def limit_step(seed: int, length_s: float) -> Step:
    """Return the step from which an upstream states a limit for a while."""
    rng = _generator(seed, "limit")
    at_s = _time_s(rng, length_s / 4)
    return Step(at_s, Fault.LIMIT, rng.random(), length_s / 2)


def leave_step(seed: int, length_s: float) -> Step:
    """Return the step from which an upstream's answers say that it leaves."""
    rng = _generator(seed, "leave")
    at_s = _time_s(rng, length_s / 3)
    return Step(at_s, Fault.LEAVE, rng.random(), rng.uniform(1.0, 3.0))


def rest_step(seed: int, length_s: float) -> Step:
    """Return the step from which an upstream asks for rest for a while."""
    rng = _generator(seed, "rest")
    at_s = _time_s(rng, length_s / 3)
    return Step(at_s, Fault.REST, rng.random(), length_s / 2)


def _store_steps(seed: int, length_s: float) -> Iterator[Step]:
    rng = _generator(seed, "store")
    for fault in (Fault.WATCHES_LOST, Fault.STRANGE_ENTRY):
        at_s = _time_s(rng, length_s / 2)
        yield Step(at_s, fault, rng.random(), 0.0)


def _crowd_step(seed: int, length_s: float) -> Step:
    rng = _generator(seed, "client crowd")
    at_s = _time_s(rng, length_s / 2)
    return Step(at_s, Fault.CLIENT_CROWD, rng.random(), rng.uniform(1.0, 3.0))


def _answer_steps(seed: int, length_s: float) -> Iterator[Step]:
    rng = _generator(seed, "answers")
    for fault in (Fault.BROKEN_ANSWERS, Fault.RESETS):
        at_s = _time_s(rng, length_s / 2)
        yield Step(at_s, fault, rng.random(), rng.uniform(1.5, 3.0))


def _part_step(seed: int, length_s: float) -> Step:
    rng = _generator(seed, "part")
    at_s = _time_s(rng, length_s / 2)
    return Step(at_s, Fault.POISON_PART, rng.random(), 0.0)
