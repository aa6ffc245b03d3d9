"""Wire form of answers about usage caps."""

from toucanrudder.admission import caps
from toucanrudder.peers import peers_pb2

_NUMBERS_BY_OUTCOME = {
    caps.Outcome.GRANTED: peers_pb2.CapReply.GRANTED,
    caps.Outcome.REFUSED: peers_pb2.CapReply.REFUSED,
    caps.Outcome.TOO_LARGE: peers_pb2.CapReply.TOO_LARGE,
}
_OUTCOMES_BY_NUMBER = {
    number: outcome for outcome, number in _NUMBERS_BY_OUTCOME.items()
}


def to_wire(decision: caps.Decision | None) -> peers_pb2.CapReply:
    """Return a decision as a message; None if the cap is not owned here."""
    if decision is None:
        return peers_pb2.CapReply()
    return peers_pb2.CapReply(
        outcome=_NUMBERS_BY_OUTCOME[decision.outcome], wait_s=decision.wait_s
    )


def from_wire(message: peers_pb2.CapReply) -> caps.Decision | None:
    """Return the decision in a message; None if the peer is not the owner.

    Raises
    ------
    ValueError
        The wait is negative or not finite.
    """
    if not caps.is_finite(message.wait_s) or message.wait_s < 0:
        raise ValueError("the wait is negative or not finite")
    outcome = _OUTCOMES_BY_NUMBER.get(message.outcome)
    if outcome is None:
        return None
    return caps.Decision(outcome, message.wait_s)
