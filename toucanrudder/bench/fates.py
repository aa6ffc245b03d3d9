"""What became of each request, as its caller saw it."""

import enum

import attrs

from toucanrudder.bench import workload


class Fate(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    LOST = "lost"


@attrs.define
class Outcome:
    """One request.

    Parameters
    ----------
    ask : workload.ModelAsk or workload.ServiceAsk
        What was asked.
    fate : Fate
        How it ended; lost unless something says otherwise.
    code : str
        Error code of a refusal.
    first_token_s : float or None
        Time from the due moment to the first token.
    finished_at_s : float
        Time after the start of the run.
    """

    ask: workload.ModelAsk | workload.ServiceAsk
    fate: Fate = Fate.LOST
    code: str = ""
    first_token_s: float | None = None
    finished_at_s: float = 0.0
