"""Whose turn it is to give orders, and when a turn ends.  No I/O.

A holder of the lease may be unable to do the work: its list of engines is
old, or its calls to engines get no answer while the store's do.  It cannot
tell that from engines that are down.  So a turn ends when work is left
that this router gets no further with, and another router tries.
"""

from collections.abc import Collection
import enum

import attrs

from toucanrudder.forwarding import rollout

#: Time after a turn's first question after which it ends if no engine has
#: answered: three calls one after the other, each of 0.4 s at most.
NOTHING_S = 1.5

#: Part of the time within which engines must follow, after which a turn
#: ends for an engine that gives no answer while others do: six seconds of
#: ten.  The registry drops an engine that is down after some four.
SOME_SHARE = 0.6

#: Time by which the registry's next word may be late before a router's
#: list of engines counts as old: a call that broke off, and the next one.
OVERDUE_S = 2.0


class TurnEndReason(enum.Enum):
    """Why a router gives its turn up."""

    NO_ANSWER = "no_answer"
    SILENT_ENGINE = "silent_engine"
    OLD_LIST = "old_list"


@attrs.define
class EngineAnswers:
    """Which engines answered this router's questions, over all its turns.

    Kept from turn to turn.  Failure: each turn begins with the engines that
    have the least work, and silent ones have none.  Symptom: a turn ends,
    or a place is lost, over the same engines as the turn before.

    Examples
    --------
    >>> answers = EngineAnswers()
    >>> answers.unanswered("i1", 1.0); answers.unanswered("i1", 3.0)
    >>> answers.silent_s("i1", 4.0), answers.stuck(4.0)
    (3.0, {'i1': 3.0})
    >>> answers.answered("i1"); answers.stuck(4.0)
    {}
    """

    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _busy_since_s: dict[str, float] = attrs.field(factory=dict)
    _asked_s: dict[str, float] = attrs.field(factory=dict)

    def answered(self, name: str) -> None:
        """Note an engine that can be ordered."""
        for times_s in (
            self._silent_since_s,
            self._busy_since_s,
            self._asked_s,
        ):
            times_s.pop(name, None)

    def busy(self, name: str, now_s: float) -> None:
        """Note an engine that carries out another order."""
        self._silent_since_s.pop(name, None)
        self._busy_since_s.setdefault(name, now_s)
        self._asked_s[name] = now_s

    def unanswered(self, name: str, now_s: float) -> None:
        """Note an engine that gave no report."""
        self._silent_since_s.setdefault(name, now_s)
        self._asked_s[name] = now_s

    def keep(self, names: Collection[str]) -> None:
        """Forget all other engines."""
        for name in set(self._asked_s) - set(names):
            self.answered(name)

    def silent_s(self, name: str, now_s: float) -> float:
        """Return for how long an engine has given no report."""
        return now_s - self._silent_since_s.get(name, now_s)

    def stuck(self, now_s: float) -> dict[str, float]:
        """Return the engines that cannot be ordered, and when last asked."""
        return {
            name: asked_s
            for name, asked_s in self._asked_s.items()
            if name in self._silent_since_s
            or now_s - self._busy_since_s[name] > rollout.ORDER_TIMEOUT_S
        }


@attrs.define
class Turn:
    """One router's turn to give orders.

    Parameters
    ----------
    pace : rollout.Pace
        How fast engines must follow.
    has_new_list : bool
        Whether this router's list of engines was new when it began.
    first_asked_s : float or None
        When the first engine was asked: a turn may begin with a wait for
        what the last holder has sent.
    has_heard : bool
        Whether any engine has answered.
    """

    pace: rollout.Pace = rollout.DEFAULT_PACE
    has_new_list: bool = True
    first_asked_s: float | None = None
    has_heard: bool = False

    def asks(self, now_s: float) -> None:
        """Note that an engine is asked."""
        if self.first_asked_s is None:
            self.first_asked_s = now_s

    def ending(
        self,
        left: Collection[str],
        answers: EngineAnswers,
        overdue_s: float,
        now_s: float,
    ) -> TurnEndReason | None:
        """Return why the turn ends now, if it does.

        Parameters
        ----------
        left : collection of str
            Engines that lack weights.
        answers : EngineAnswers
            What came of the questions.
        overdue_s : float
            Time by which the registry's next word is late.
        now_s : float
            Monotonic time.

        Examples
        --------
        >>> answers = EngineAnswers()
        >>> answers.unanswered("i2", 1.0)
        >>> turn = Turn(first_asked_s=0.8)
        >>> turn.ending(["i2"], answers, 0.0, now_s=2.0)
        >>> turn.ending(["i2"], answers, 0.0, now_s=2.4)
        <TurnEndReason.NO_ANSWER: 'no_answer'>
        >>> turn.has_heard = True
        >>> turn.ending(["i2"], answers, 0.0, now_s=2.4)
        >>> turn.ending(["i2"], answers, 0.0, now_s=6.0)
        <TurnEndReason.SILENT_ENGINE: 'silent_engine'>
        >>> turn.ending([], answers, 0.0, now_s=6.0)
        >>> turn.ending([], answers, 9.0, now_s=6.0)
        <TurnEndReason.OLD_LIST: 'old_list'>
        """
        if self.has_new_list and overdue_s > OVERDUE_S:
            return TurnEndReason.OLD_LIST
        if self.first_asked_s is None:
            return None
        # What was silent in an earlier turn is asked in this one first.
        asked_for_s = now_s - self.first_asked_s
        silent_s = max(
            (answers.silent_s(name, now_s) for name in left), default=0.0
        )
        if min(silent_s, asked_for_s) > SOME_SHARE * self.pace.bound_s:
            return TurnEndReason.SILENT_ENGINE
        if silent_s > 0 and not self.has_heard and asked_for_s > NOTHING_S:
            return TurnEndReason.NO_ANSWER
        return None


def start_delay_s(
    place: int, each_s: float, overdue_s: float, last_s: float
) -> float:
    """Return how long a router waits before it begins a turn.

    Parameters
    ----------
    place : int
        Routers that go before it.
    each_s : float
        How long it waits for each of them.
    overdue_s : float
        Time by which the registry's next word is late.
    last_s : float
        How much longer a router with an old list waits.  It goes after
        those that have a new one, but it goes: the registry may be out of
        reach of everybody.

    Examples
    --------
    >>> start_delay_s(2, 1.0, 0.5, 3.0), start_delay_s(0, 1.0, 60.0, 3.0)
    (2.0, 3.0)
    """
    return place * each_s + (last_s if overdue_s > OVERDUE_S else 0.0)
