"""Signed tokens with which a caller resumes a stream at any router."""

import base64
import binascii
import hashlib
import hmac
import json

import attrs

from toucanrudder import errors

STEP = "resume"
_MAC_BYTES = 16
_PERSONALISATION = b"resume-token"


@attrs.frozen
class Stream:
    """Location and owner of a stream, as encoded in its token."""

    upstream: str
    engine_id: str
    organisation: str


def _mac(fleet_key: str, payload: bytes) -> bytes:
    key = hashlib.blake2b(fleet_key.encode(), person=_PERSONALISATION).digest()
    return hashlib.blake2b(payload, key=key, digest_size=_MAC_BYTES).digest()


def sign(fleet_key: str, stream: Stream) -> str:
    """Return a token for the stream, authenticated with the fleet key.

    Examples
    --------
    >>> from toucanrudder.relay import tokens
    >>> stream = tokens.Stream("e1", "ab12", "acme")
    >>> tokens.verify("k" * 16, tokens.sign("k" * 16, stream)) == stream
    True
    """
    payload = json.dumps(attrs.astuple(stream)).encode()
    return base64.urlsafe_b64encode(
        _mac(fleet_key, payload) + payload
    ).decode()


def verify(fleet_key: str, token: str) -> Stream:
    """Return the stream that a valid token names.

    Raises
    ------
    RudderError
        ``unknown_stream`` if the token was not signed with this key.
    """
    try:
        data = base64.urlsafe_b64decode(token.encode())
    except (binascii.Error, ValueError):
        data = b""
    mac, payload = data[:_MAC_BYTES], data[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(fleet_key, payload)):
        raise errors.RudderError(
            errors.Code.UNKNOWN_STREAM, "invalid resume token", step=STEP
        )
    return Stream(*json.loads(payload))
