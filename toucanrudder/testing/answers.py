"""Whole HTTP answers as bytes, framed in several ways."""


def with_length(fields: bytes, body: bytes) -> bytes:
    """Return an answer that states the length of its body.

    Parameters
    ----------
    fields : bytes
        Lines of header fields, each with its end.
    body : bytes
        Its body.
    """
    return (
        b"HTTP/1.1 200 OK\r\n"
        + fields
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


def in_chunks(fields: bytes, body: bytes) -> bytes:
    """Return an answer in two chunks, with a trailer."""
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (body[:half], body[half:])
        if part
    )
    return (
        b"HTTP/1.1 200 OK\r\n"
        + fields
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + chunks
        + b"0\r\nX-Trailer: a\r\n\r\n"
    )


def after_interim_answers(fields: bytes, body: bytes) -> bytes:
    """Return an answer with a length after two interim answers."""
    return (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    ) + with_length(fields, body)


FRAMINGS = {
    "with a length": with_length,
    "in chunks": in_chunks,
    "after interim answers": after_interim_answers,
}
