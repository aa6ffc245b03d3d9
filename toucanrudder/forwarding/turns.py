"""Start and end of a router's turn to give orders.  No I/O.

A lease holder may be unable to order engines: its list of engines is stale,
or its calls to engines get no answer while those to the store do.  It cannot
distinguish this from engines that are down.  So a turn ends when it makes no
progress with outstanding loads, and another router tries.
"""

from collections.abc import Collection
import enum

import attrs

from toucanrudder.forwarding import rollout

#: Time after a turn's first question at which it ends if no engine has
#: answered: three calls in sequence, each of 0.4 s at most.
NO_ANSWER_TIMEOUT_S = 1.5

#: Fraction of the bound on the age of weights after which a turn ends if
#: one engine gives no answer while others do: six seconds of ten.  The
#: registry drops an engine that is down after some four.
SILENT_ENGINE_SHARE = 0.6

#: Time by which the registry's next answer may be overdue before a router's
#: list of engines counts as stale: a failed call and the next one.
MAX_OVERDUE_S = 2.0


class TurnEndReason(enum.Enum):
    """Why a router ends its turn."""

    NO_ANSWER = "no_answer"
    SILENT_ENGINE = "silent_engine"
    OLD_LIST = "old_list"


@attrs.define
class EngineAnswers:
    """Answers of engines to this router's questions, over all its turns.

    Kept from turn to turn: each turn begins with the least busy engines, and
    silent ones have no work.  Otherwise a turn would end, or lose a load
    slot, because of the same engines as the turn before.

    Examples
    --------
    >>> answers = EngineAnswers()
    >>> answers.record_no_report("i1", 1.0)
    >>> answers.record_no_report("i1", 3.0)
    >>> answers.silent_s("i1", 4.0), answers.stuck(4.0)
    (3.0, {'i1': 3.0})
    >>> answers.record_orderable("i1"); answers.stuck(4.0)
    {}
    """

    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _busy_since_s: dict[str, float] = attrs.field(factory=dict)
    _asked_s: dict[str, float] = attrs.field(factory=dict)

    def record_orderable(self, name: str) -> None:
        """Record that an engine can be ordered."""
        for times_s in (
            self._silent_since_s,
            self._busy_since_s,
            self._asked_s,
        ):
            times_s.pop(name, None)

    def record_busy(self, name: str, now_s: float) -> None:
        """Record that an engine is carrying out another order."""
        self._silent_since_s.pop(name, None)
        self._busy_since_s.setdefault(name, now_s)
        self._asked_s[name] = now_s

    def record_no_report(self, name: str, now_s: float) -> None:
        """Record that an engine gave no report."""
        self._silent_since_s.setdefault(name, now_s)
        self._asked_s[name] = now_s

    def retain(self, names: Collection[str]) -> None:
        """Forget all other engines."""
        for name in set(self._asked_s) - set(names):
            self.record_orderable(name)

    def silent_s(self, name: str, now_s: float) -> float:
        """Return the seconds for which an engine has given no report."""
        return now_s - self._silent_since_s.get(name, now_s)

    def stuck(self, now_s: float) -> dict[str, float]:
        """Return when each engine that cannot be ordered was last asked."""
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
        How fast engines must load new weights.
    has_fresh_list : bool
        Whether this router's list of engines was fresh at the start.
    first_asked_s : float or None
        Monotonic time of the first question to an engine; a turn may begin
        with a wait for orders in flight from the last holder.
    has_answer : bool
        Whether any engine has answered.
    """

    pace: rollout.Pace = rollout.DEFAULT_PACE
    has_fresh_list: bool = True
    first_asked_s: float | None = None
    has_answer: bool = False

    def record_question(self, now_s: float) -> None:
        """Record that an engine is asked."""
        if self.first_asked_s is None:
            self.first_asked_s = now_s

    def end_reason(
        self,
        engines: Collection[str],
        answers: EngineAnswers,
        overdue_s: float,
        now_s: float,
    ) -> TurnEndReason | None:
        """Return the reason for the turn to end now, or None.

        Parameters
        ----------
        engines : collection of str
            Engines with outstanding loads.
        answers : EngineAnswers
            Answers of engines so far.
        overdue_s : float
            Seconds by which the registry's next answer is overdue.
        now_s : float
            Monotonic time.

        Examples
        --------
        >>> answers = EngineAnswers()
        >>> answers.record_no_report("i2", 1.0)
        >>> turn = Turn(first_asked_s=0.8)
        >>> turn.end_reason(["i2"], answers, 0.0, now_s=2.0)
        >>> turn.end_reason(["i2"], answers, 0.0, now_s=2.4)
        <TurnEndReason.NO_ANSWER: 'no_answer'>
        >>> turn.has_answer = True
        >>> turn.end_reason(["i2"], answers, 0.0, now_s=2.4)
        >>> turn.end_reason(["i2"], answers, 0.0, now_s=6.0)
        <TurnEndReason.SILENT_ENGINE: 'silent_engine'>
        >>> turn.end_reason([], answers, 0.0, now_s=6.0)
        >>> turn.end_reason([], answers, 9.0, now_s=6.0)
        <TurnEndReason.OLD_LIST: 'old_list'>
        """
        if self.has_fresh_list and overdue_s > MAX_OVERDUE_S:
            return TurnEndReason.OLD_LIST
        if self.first_asked_s is None:
            return None
        # An engine that was silent in an earlier turn must have been silent
        # for as long in this one.
        asking_s = now_s - self.first_asked_s
        silent_s = max(
            (answers.silent_s(name, now_s) for name in engines), default=0.0
        )
        if min(silent_s, asking_s) > SILENT_ENGINE_SHARE * self.pace.bound_s:
            return TurnEndReason.SILENT_ENGINE
        if (
            silent_s > 0
            and not self.has_answer
            and asking_s > NO_ANSWER_TIMEOUT_S
        ):
            return TurnEndReason.NO_ANSWER
        return None


def start_delay_s(
    rank: int, step_s: float, overdue_s: float, stale_list_s: float
) -> float:
    """Return the seconds that a router waits before it begins a turn.

    Parameters
    ----------
    rank : int
        Number of routers before it.
    step_s : float
        Delay for each of them.
    overdue_s : float
        Seconds by which the registry's next answer is overdue.
    stale_list_s : float
        Extra delay of a router with a stale list.  It starts after those
        with a fresh one but is not excluded, as no router may be able to
        reach the registry.

    Examples
    --------
    >>> start_delay_s(2, 1.0, 0.5, 3.0), start_delay_s(0, 1.0, 60.0, 3.0)
    (2.0, 3.0)
    """
    return rank * step_s + (stale_list_s if overdue_s > MAX_OVERDUE_S else 0.0)
