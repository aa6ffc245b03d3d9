"""What can go wrong in the engine stand-in."""

import attrs


@attrs.define
class Faults:
    """Faults of the engine; all are off by default.

    Faults at an event strike the connection on which a stream was asked
    for, not those that resume it, nor streams that continue another's.

    Parameters
    ----------
    crash_marker : str
        The process dies when a prompt with this text starts to run.
    crash_after_event : int
        The process dies once a stream has sent this event.
    crossed_answers : int
        So many next answers are those to somebody else's request.
    crossed_event : int
        This event of each stream comes from somebody else's answer.
    stale_answers, stale_refusals : int
        Before so many next answers, the late answer to an earlier request
        is written on the same connection.
    late_s : float
        Whole answers and first events come this much later.
    duplicated_event, skipped_event : int
        This event of each stream is sent twice, or not at all.
    cut_after_event : int
        A stream's first connection breaks after this event.
    end_after_event : int
        The answer ends after this event as if it were complete, without
        the closing event.
    stall_after_event : int
        A stream's first connection goes silent after this event; others
        work.
    refuse : bool
        Refuse with a proof that nothing ran.
    fail_every : int
        Each request whose count this divides is answered 500 after it has
        been accepted.
    stall : bool
        Nothing is generated any more.
    leaving : bool
        Refuse new work as a leaving instance does.
    event_gap_every : int
        Each cache event whose number this divides is lost.
    """

    crash_marker: str = ""
    crash_after_event: int = 0
    crossed_answers: int = 0
    crossed_event: int = 0
    stale_answers: int = 0
    stale_refusals: int = 0
    late_s: float = 0.0
    duplicated_event: int = 0
    skipped_event: int = 0
    cut_after_event: int = 0
    end_after_event: int = 0
    stall_after_event: int = 0
    refuse: bool = False
    fail_every: int = 0
    stall: bool = False
    leaving: bool = False
    event_gap_every: int = 0

    @property
    def strikes_events(self) -> bool:
        """Whether single events of streams are affected."""
        return any(
            (
                self.crash_after_event,
                self.crossed_event,
                self.duplicated_event,
                self.skipped_event,
                self.cut_after_event,
                self.end_after_event,
                self.stall_after_event,
            )
        )
