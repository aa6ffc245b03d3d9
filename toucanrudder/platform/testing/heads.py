"""Heads of upstreams' answers, as the platform's dialect reads them."""

from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import model
from toucanrudder.http1 import message
from toucanrudder.platform import dialect


def read_facts(
    status: int, *headers: tuple[bytes, bytes]
) -> dialects.AnswerFacts:
    """Return what an answer of the upstream ``u`` states."""
    return dialect.PlatformDialect().answer_facts(
        model.Call("id", "h", "/"),
        model.Upstream("u", "s", "u:1"),
        message.AnswerHead(status, headers),
    )
