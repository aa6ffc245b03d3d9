"""Answers on usage caps, as routers give them to each other."""

from toucanrudder.admission import caps
from toucanrudder.peers import peers_pb2

_OUTCOMES = {
    caps.Outcome.GRANTED: peers_pb2.CapReply.GRANTED,
    caps.Outcome.REFUSED: peers_pb2.CapReply.REFUSED,
    caps.Outcome.TOO_LARGE: peers_pb2.CapReply.TOO_LARGE,
}
_OUTCOMES_OF = {number: outcome for outcome, number in _OUTCOMES.items()}


def to_wire(decision: caps.Decision | None) -> peers_pb2.CapReply:
    """Return a decision, or none from who owns no cap, as a message."""
    if decision is None:
        return peers_pb2.CapReply()
    return peers_pb2.CapReply(
        outcome=_OUTCOMES[decision.outcome], wait_s=decision.wait_s
    )


def from_wire(message: peers_pb2.CapReply) -> caps.Decision | None:
    """Return the decision in a message; None from who owns no cap.

    Raises
    ------
    ValueError
        Its wait is no time.
    """
    if not caps.is_finite(message.wait_s) or message.wait_s < 0:
        raise ValueError("the wait is no time")
    outcome = _OUTCOMES_OF.get(message.outcome)
    if outcome is None:
        return None
    return caps.Decision(outcome, message.wait_s)
