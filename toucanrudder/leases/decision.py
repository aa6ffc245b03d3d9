"""Who holds a lease, and until when it may act.  No I/O.

The store keeps no times that could be compared between clocks.  A holder
counts from before it sent the write that gave or renewed its lease;
another router counts from after it read that write's result.  So the
other's waiting always ends after the holder's time, if their clocks run
alike within the margin.
"""

import enum

import attrs

from toucanrudder.store import feed

#: Time for which a lease is held after it was written.
TERM_S = 10.0

#: Taken off the holder's side and added on the others': covers clocks
#: that run differently and orders that are on their way.
MARGIN_S = 2.0


@attrs.frozen
class LeaseTiming:
    """How long a lease is held, and what is left between two holders.

    Parameters
    ----------
    term_s : float
        Time for which a lease is held after it was written.
    margin_s : float
        Taken off the holder's side and added on the others'.
    """

    term_s: float = TERM_S
    margin_s: float = MARGIN_S

    @property
    def validity_s(self) -> float:
        """Time after a write for which its writer may act."""
        return self.term_s - self.margin_s

    @property
    def takeover_after_s(self) -> float:
        """Time without a write after which another may take the lease."""
        return self.term_s + self.margin_s


DEFAULT_TIMING = LeaseTiming()

#: Parts of the time within which another holder must follow.  A silent
#: holder acts for two thirds of it; the next takes the lease after 14/15,
#: which leaves a fifteenth for the write.  What lies between, eight tenths
#: of a second of three, is longer than an order can be on its way.
TERM_SHARE = 0.8
MARGIN_SHARE = 2 / 15


def timing_for_failover(failover_s: float) -> LeaseTiming:
    """Return the terms under which another holder follows in time.

    Parameters
    ----------
    failover_s : float
        From the last write of a holder that falls silent until another
        holds the lease.

    Examples
    --------
    >>> timing = timing_for_failover(3.0)
    >>> round(timing.validity_s, 6), round(timing.takeover_after_s, 6)
    (2.0, 2.8)
    """
    return LeaseTiming(TERM_SHARE * failover_s, MARGIN_SHARE * failover_s)


#: Fencing numbers for each era of a store: what an older copy lacks, nobody
#: may know of, and no number may be given out twice.
FENCING_PER_ERA = 1 << 20


@attrs.frozen
class Record:
    """The value of a lease's object in the store.

    Parameters
    ----------
    holder : str
        Identity of the holder's process; empty when it was released.
    fencing : int
        Rises with each change of the holder.
    write_id : str
        Identity of the last write, to settle lost answers.
    """

    holder: str = ""
    fencing: int = 0
    write_id: str = ""


@attrs.frozen
class Lease:
    """A lease that this process holds.

    Parameters
    ----------
    fencing : int
        Number that orders carry.
    acquired_s : float
        Monotonic time at which it was first held.
    valid_until_s : float
        Monotonic time at which this process must have stopped acting.
    follows_release : bool
        Whether another gave it up, whose last order may still be on its
        way; one that fell silent had stopped acting long before.
    era : int
        Of the store, when the lease was last written.
    """

    fencing: int
    acquired_s: float
    valid_until_s: float
    follows_release: bool = False
    era: int = 0

    def is_valid(self, now_s: float) -> bool:
        """Say whether the holder may act now."""
        return now_s < self.valid_until_s


@attrs.frozen
class Seen:
    """What was last read of a lease, and since when it is unchanged."""

    position: feed.Position
    record: Record
    since_s: float


def min_fencing(era: int) -> int:
    """Return a fencing number above all that earlier eras have given out.

    Examples
    --------
    >>> min_fencing(0), min_fencing(2) > min_fencing(1) + 1_000_000
    (0, True)
    """
    return era * FENCING_PER_ERA


class Step(enum.Enum):
    """What a process does next about a lease."""

    CREATE = "create"
    TAKE = "take"
    RENEW = "renew"
    WAIT = "wait"


def observe(
    seen: Seen | None, position: feed.Position, record: Record, now_s: float
) -> Seen:
    """Return what is known after a read that ended at `now_s`."""
    if seen is not None and seen.position == position:
        return seen
    return Seen(position, record, now_s)


def next_step(
    seen: Seen | None,
    holder_id: str,
    now_s: float,
    timing: LeaseTiming = DEFAULT_TIMING,
    *,
    restored_s: float = float("-inf"),
    is_held: bool = False,
) -> Step:
    """Say what to do.

    A store that was restored may lack the newest holder's record, and that
    holder acts on until its time is over.

    Parameters
    ----------
    seen : Seen or None
        The lease's object as last read; None if there is none.
    holder_id : str
        Identity of this process.
    now_s : float
        Monotonic time.
    timing : LeaseTiming
        The same for all processes that want the lease.
    restored_s : float
        Monotonic time at which this process noticed that the store was
        restored.
    is_held : bool
        Whether this process's own lease has not run out.

    Examples
    --------
    >>> position = feed.Position(era=1, revision=1)
    >>> seen = Seen(position, Record("other", 5, "w"), since_s=0.0)
    >>> next_step(seen, "me", now_s=TERM_S)
    <Step.WAIT: 'wait'>
    >>> next_step(seen, "me", now_s=TERM_S + MARGIN_S)
    <Step.TAKE: 'take'>
    """
    may_be_others = now_s - restored_s < timing.takeover_after_s
    if seen is not None and seen.record.holder == holder_id:
        return Step.RENEW if is_held or not may_be_others else Step.WAIT
    if may_be_others:
        return Step.WAIT
    if seen is None:
        return Step.CREATE
    if not seen.record.holder:
        return Step.TAKE
    # Engines that ignore fencing numbers would obey two holders.  So the
    # old holder's time, by its own clock, must have passed before.
    lapsed = now_s - seen.since_s >= timing.takeover_after_s
    return Step.TAKE if lapsed else Step.WAIT


def valid_until_s(
    sent_s: float, timing: LeaseTiming = DEFAULT_TIMING
) -> float:
    """Return until when a write sent at `sent_s` lets the holder act."""
    return sent_s + timing.validity_s
