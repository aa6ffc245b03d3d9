"""Whose turn it is to give orders, and when a turn ends.  No I/O.

A holder of the lease may be unable to do the work: its list of engines is
old, or its calls to engines get no answer while the store's do.  It cannot
tell that from engines that are down.  So a turn ends when work is left
that this router gets no further with, and another router tries.
"""

from collections.abc import Iterable
import enum

import attrs

from toucanrudder.forwarding import rollout

#: Time without any engine's answer after which a turn ends: three calls
#: one after the other, none of which may take longer than 0.4 s.
NOTHING_S = 1.5

#: Part of the time within which engines must follow, after which a turn
#: ends for an engine that gives no answer while others do: six seconds of
#: ten.  The registry drops an engine that is down after some four.
SOME_SHARE = 0.6

#: Age of a router's list of engines from which it does not begin a turn
#: before others: two rounds of asking a reader and then the store.
LIST_S = 3.0

#: Time after a turn that was given up in which another router begins one;
#: also how much longer a router with an old list waits.  The next in line
#: needs half a second to see that the lease is free.
REST_S = 3.0


class Ending(enum.Enum):
    """Why a router gives its turn up."""

    NO_ANSWER = "no_answer"
    SILENT_ENGINE = "silent_engine"
    OLD_LIST = "old_list"


@attrs.define
class Turn:
    """What came of this router's questions to engines during its turn.

    Parameters
    ----------
    pace : rollout.Pace
        How fast engines must follow.
    has_new_list : bool
        Whether this router's list of engines was new then.

    Examples
    --------
    >>> turn = Turn()
    >>> turn.asks(0.8); turn.unanswered("i2", 1.0); turn.answered("i1", 2.4)
    >>> turn.ending(["i1", "i2"], 0.1, 3.0)
    >>> turn.ending(["i1", "i2"], 0.1, 4.0)
    <Ending.NO_ANSWER: 'no_answer'>
    >>> turn.answered("i1", 6.0)
    >>> turn.ending(["i1", "i2"], 0.1, 6.1)
    <Ending.SILENT_ENGINE: 'silent_engine'>
    >>> turn.ending(["i1"], 0.1, 6.1), turn.ending(["i1"], 9.0, 6.1)
    (None, <Ending.OLD_LIST: 'old_list'>)
    """

    pace: rollout.Pace = rollout.USUAL_PACE
    has_new_list: bool = True
    #: When an engine last answered, or else when one was first asked: a
    #: turn may begin with a wait for what the last holder has sent.
    _heard_s: float | None = None
    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _busy_since_s: dict[str, float] = attrs.field(factory=dict)

    def asks(self, now_s: float) -> None:
        """Note that an engine is asked."""
        if self._heard_s is None:
            self._heard_s = now_s

    def heard(self, now_s: float) -> None:
        """Note that some engine has answered."""
        self._heard_s = now_s

    def answered(self, name: str, now_s: float) -> None:
        """Note an engine that can be ordered."""
        self.heard(now_s)
        self._silent_since_s.pop(name, None)
        self._busy_since_s.pop(name, None)

    def busy(self, name: str, now_s: float) -> None:
        """Note an engine that carries out another order."""
        self.heard(now_s)
        self._silent_since_s.pop(name, None)
        self._busy_since_s.setdefault(name, now_s)

    def unanswered(self, name: str, now_s: float) -> None:
        """Note an engine that gave no report."""
        self._silent_since_s.setdefault(name, now_s)

    def silent_s(self, name: str, now_s: float) -> float:
        """Return for how long an engine has given no report."""
        return now_s - self._silent_since_s.get(name, now_s)

    def stuck(self, now_s: float) -> set[str]:
        """Return the engines that could not be ordered when last asked."""
        busy = {
            name
            for name, since_s in self._busy_since_s.items()
            if now_s - since_s > rollout.PATIENCE_S
        }
        return busy | set(self._silent_since_s)

    def ending(
        self, left: Iterable[str], list_age_s: float, now_s: float
    ) -> Ending | None:
        """Return why the turn ends now, if it does.

        Parameters
        ----------
        left : iterable of str
            Engines that lack weights.
        list_age_s : float
            Age of this router's list of engines.
        now_s : float
            Monotonic time.
        """
        if self.has_new_list and list_age_s > LIST_S:
            return Ending.OLD_LIST
        silent_s = max((self.silent_s(n, now_s) for n in left), default=0.0)
        if silent_s > SOME_SHARE * self.pace.bound_s:
            return Ending.SILENT_ENGINE
        unheard_s = 0.0 if self._heard_s is None else now_s - self._heard_s
        if silent_s > 0.0 and unheard_s > NOTHING_S:
            return Ending.NO_ANSWER
        return None


def waits_s(place: int, each_s: float, list_age_s: float) -> float:
    """Return how long a router waits before it begins a turn.

    Parameters
    ----------
    place : int
        Routers that go before it.
    each_s : float
        How long it waits for each of them.
    list_age_s : float
        Age of its list of engines.  One with an old list goes after all
        that have a new one, but it goes: the registry may be out of reach
        of everybody.

    Examples
    --------
    >>> waits_s(2, 1.0, 0.5), waits_s(0, 1.0, 60.0)
    (2.0, 3.0)
    """
    return place * each_s + (REST_S if list_age_s > LIST_S else 0.0)
