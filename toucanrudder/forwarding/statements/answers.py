"""Statements in an answer that hold for the upstream that was asked.

An answer at an upstream's address may come from another process, and one
without a seal or a proof from anything.  No I/O.
"""

from toucanrudder.forwarding import dialect

#: Refusal by a process that has too much to do.
_OVERLOADED = 503

#: Refusal of one caller, or of all callers if the request has not run.
_TOO_MANY = 429


def states_leaving(facts: dialect.AnswerFacts) -> bool:
    """Whether the upstream that was asked has announced to leave.

    Examples
    --------
    >>> states_leaving(dialect.AnswerFacts(True, is_leaving=True))
    False
    >>> states_leaving(
    ...     dialect.AnswerFacts(True, is_leaving=True, is_sealed=True)
    ... )
    True
    """
    is_genuine = (
        facts.is_sealed or facts.has_not_run or facts.has_other_weights
    )
    return facts.is_leaving and is_genuine and not is_of_other(facts)


def asked_rest_s(status: int, facts: dialect.AnswerFacts) -> float | None:
    """Return the rest that the upstream that was asked wants.

    Parameters
    ----------
    status : int
        Status of its answer.  A 429 that the request has run into may
        concern its caller alone.
    facts : dialect.AnswerFacts
        What the answer states.

    Returns
    -------
    float or None
        Seconds; None if it does not ask for rest.

    Examples
    --------
    >>> facts = dialect.AnswerFacts(True, retry_after_s=2.5)
    >>> asked_rest_s(503, facts), asked_rest_s(429, facts)
    (2.5, None)
    """
    is_asked = status == _OVERLOADED or (
        status == _TOO_MANY and facts.has_not_run
    )
    return facts.retry_after_s if is_asked and not is_of_other(facts) else None


def is_of_other(facts: dialect.AnswerFacts) -> bool:
    """Whether another process has answered at the upstream's address."""
    return facts.is_other_process or facts.names_other_process
