"""One log line for each change that an operator makes or tries."""

import logging

LOG = logging.getLogger("toucanrudder.audit")


def record(author: str, change: str, generation: int, outcome: str) -> None:
    """Log who changed what, under which generation, and how it ended.

    Parameters
    ----------
    author : str
        Operator's name, or the address it came from.
    change : str
        What was changed; never holds keys or prompts.
    generation : int
        Generation in force after the change.
    outcome : str
        ``"done"`` or the code of the error.
    """
    LOG.info(
        "change %s by %s, generation %d, %s",
        change,
        author,
        generation,
        outcome,
        extra={
            "author": author,
            "change": change,
            "generation": generation,
            "outcome": outcome,
        },
    )
