"""Audit log: one line per change that an operator makes or attempts."""

import logging

LOG = logging.getLogger("toucanrudder.audit")


def log_change(
    author: str, change: str, generation: int, outcome: str
) -> None:
    """Log the author, change, generation and outcome.

    Parameters
    ----------
    author : str
        Operator's name, or the client address.
    change : str
        Description of the change; must not contain keys or prompts.
    generation : int
        Generation in force after the change.
    outcome : str
        ``"done"`` or the error code.
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
