"""Decides who holds a lease, and until when the holder may act.  No I/O.

The store keeps no timestamps that could be compared between clocks.  A
holder counts from before it sent the write that acquired or renewed its
lease; another router counts from after it read the result of that write.
The other's wait therefore always ends after the holder's validity, as long
as their clocks run at the same rate within the margin.
"""

import enum

import attrs

from toucanrudder.store import feed

#: Term of a lease, counted from its last write.
TERM_S = 10.0

#: Subtracted from the term for the holder and added to it for all others;
#: covers clocks that run at different rates and orders in flight.
MARGIN_S = 2.0


@attrs.frozen
class LeaseTiming:
    """Term of a lease, and the margin between two holders.

    Parameters
    ----------
    term_s : float
        Term of a lease in seconds, counted from its last write.
    margin_s : float
        Seconds subtracted from the term for the holder and added to it for
        all others.
    """

    term_s: float = TERM_S
    margin_s: float = MARGIN_S

    @property
    def validity_s(self) -> float:
        """Seconds after a write for which its writer may act."""
        return self.term_s - self.margin_s

    @property
    def takeover_after_s(self) -> float:
        """Seconds without a write after which another may take the lease."""
        return self.term_s + self.margin_s


DEFAULT_TIMING = LeaseTiming()

#: Shares of the failover time.  A holder that stops renewing acts for two
#: thirds of it; the next holder takes the lease after 14/15, which leaves a
#: fifteenth for the write.  The gap between the two, 0.8 s of a failover
#: time of 3 s, is longer than an order can be in flight.
TERM_SHARE = 0.8
MARGIN_SHARE = 2 / 15


def timing_for_failover(failover_s: float) -> LeaseTiming:
    """Return the timing with which a failed holder is replaced in time.

    Parameters
    ----------
    failover_s : float
        Seconds from the last write of the failed holder until another
        process holds the lease.

    Examples
    --------
    >>> timing = timing_for_failover(3.0)
    >>> round(timing.validity_s, 6), round(timing.takeover_after_s, 6)
    (2.0, 2.8)
    """
    return LeaseTiming(TERM_SHARE * failover_s, MARGIN_SHARE * failover_s)


#: Fencing numbers reserved for each era of a store.  Numbers that are
#: missing in the restored copy may be known to nobody, and no number may be
#: issued twice.
FENCING_PER_ERA = 1 << 20


@attrs.frozen
class Record:
    """The value of a lease's object in the store.

    Parameters
    ----------
    holder : str
        Identity of the holder's process; empty after a release.
    fencing : int
        Fencing number; increases with each change of the holder.
    write_id : str
        Identity of the last write; shows after a lost response whether the
        write took effect.
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
        Fencing number that orders carry.
    acquired_s : float
        Monotonic time at which this process acquired the lease.
    valid_until_s : float
        Monotonic time by which this process must have stopped acting.
    follows_release : bool
        Whether the previous holder released the lease, so that its last
        order may still be in flight.  A holder whose lease expired had
        stopped acting long before.
    era : int
        Era of the store when the lease was last written.
    """

    fencing: int
    acquired_s: float
    valid_until_s: float
    follows_release: bool = False
    era: int = 0

    def is_valid(self, now_s: float) -> bool:
        """Return whether the holder may act now."""
        return now_s < self.valid_until_s


@attrs.frozen
class Observation:
    """Lease object as last read, and since when it has been unchanged."""

    position: feed.Position
    record: Record
    unchanged_since_s: float


def min_fencing(era: int) -> int:
    """Return a fencing number above all that earlier eras issued.

    Examples
    --------
    >>> min_fencing(0), min_fencing(2) > min_fencing(1) + 1_000_000
    (0, True)
    """
    return era * FENCING_PER_ERA


class Step(enum.Enum):
    """Next action of a process on a lease."""

    CREATE = "create"
    TAKE = "take"
    RENEW = "renew"
    WAIT = "wait"


def observe(
    previous: Observation | None,
    position: feed.Position,
    record: Record,
    now_s: float,
) -> Observation:
    """Return the observation after a read that ended at `now_s`."""
    if previous is not None and previous.position == position:
        return previous
    return Observation(position, record, now_s)


def next_step(
    observation: Observation | None,
    holder_id: str,
    now_s: float,
    timing: LeaseTiming = DEFAULT_TIMING,
    *,
    restored_s: float = float("-inf"),
    is_held: bool = False,
) -> Step:
    """Return the next action of this process.

    A restored store may lack the record of the newest holder, which goes on
    acting until its validity ends.

    Parameters
    ----------
    observation : Observation or None
        Lease object as last read; None if there is none.
    holder_id : str
        Identity of this process.
    now_s : float
        Monotonic time.
    timing : LeaseTiming
        Must be the same for all processes that compete for the lease.
    restored_s : float
        Monotonic time at which this process noticed that the store was
        restored.
    is_held : bool
        Whether this process holds the lease and it has not expired.

    Examples
    --------
    >>> position = feed.Position(era=1, revision=1)
    >>> held = Observation(position, Record("other", 5, "w"), 0.0)
    >>> next_step(held, "me", now_s=TERM_S)
    <Step.WAIT: 'wait'>
    >>> next_step(held, "me", now_s=TERM_S + MARGIN_S)
    <Step.TAKE: 'take'>
    """
    may_be_held_by_other = now_s - restored_s < timing.takeover_after_s
    if observation is not None and observation.record.holder == holder_id:
        return Step.RENEW if is_held or not may_be_held_by_other else Step.WAIT
    if may_be_held_by_other:
        return Step.WAIT
    if observation is None:
        return Step.CREATE
    if not observation.record.holder:
        return Step.TAKE
    # Engines that ignore fencing numbers would obey two holders at once.
    # The old holder's validity, by its own clock, must therefore have ended.
    has_expired = (
        now_s - observation.unchanged_since_s >= timing.takeover_after_s
    )
    return Step.TAKE if has_expired else Step.WAIT


def valid_until_s(
    sent_s: float, timing: LeaseTiming = DEFAULT_TIMING
) -> float:
    """Return when the validity of a write sent at `sent_s` ends."""
    return sent_s + timing.validity_s
