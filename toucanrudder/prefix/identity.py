"""Identities of prompt blocks, as engines publish them.

They are defined in ``docs/protocols.md``.  All identities are hashes keyed
with a salt that only the fleet knows, so that a caller can neither compute
the identity of another organisation's block nor construct two texts with the
same one.
"""

from collections.abc import Sequence
import hashlib
import json

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 2000
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
KEY_BYTES = 16
_SALT_PERSON = b"cache-salt"


def cache_salt(fleet_key: str, organisation: str) -> bytes:
    """Return the cache salt of an organisation.

    Parameters
    ----------
    fleet_key : str
        Secret shared by all routers.
    organisation : str
        Name of the organisation.

    Returns
    -------
    bytes
        16 bytes; sent to engines in hex as ``X-Cache-Salt``.

    Examples
    --------
    >>> one = cache_salt("0123456789abcdef", "hal-een")
    >>> one == cache_salt("0123456789abcdef", "hal-twee")
    False
    >>> len(one)
    16
    """
    # The same secret signs resume tokens.  Without a separate
    # personalisation, a token could be replayed as a salt.
    secret = hashlib.blake2b(fleet_key.encode(), digest_size=32).digest()
    return hashlib.blake2b(
        organisation.encode("utf-8", "surrogatepass"),
        key=secret,
        digest_size=KEY_BYTES,
        person=_SALT_PERSON,
    ).digest()


def block_keys(
    organisation_salt: bytes,
    model: str,
    adapter: str,
    weights_version: str,
    text: str,
) -> tuple[bytes, ...]:
    """Return the identities of the full blocks of a prompt.

    Parameters
    ----------
    organisation_salt : bytes
        From `cache_salt`.
    model, adapter, weights_version : str
        The model that computes the blocks; other weights never match.
    text : str
        Canonical text of the prompt.

    Returns
    -------
    tuple of bytes
        One identity for each block, outermost first; each identifies the
        whole prefix up to the end of its block.

    Examples
    --------
    >>> first = block_keys(b"s" * 16, "m", "", "1", "x" * 16000)
    >>> len(first)
    2
    >>> first[:1] == block_keys(b"s" * 16, "m", "", "1", "x" * 8001)
    True
    >>> set(first) & set(block_keys(b"s" * 16, "m", "", "2", "x" * 16000))
    set()
    """
    data = text.encode("utf-8", "surrogatepass")
    parent = _digest(
        f"{model}\n{adapter}\n{weights_version}".encode(), organisation_salt
    )
    block_digests = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        parent = _digest(parent + block, organisation_salt)
        block_digests.append(parent)
    return tuple(block_digests)


def canonical_text(path: str, body: dict) -> str:
    """Return the prompt text of a request, as engines cache it.

    Parameters
    ----------
    path : str
        ``/v1/completions`` or ``/v1/chat/completions``.
    body : dict
        The caller's JSON body.

    Returns
    -------
    str
        The prompt, or the messages joined as engines join them.

    Examples
    --------
    >>> canonical_text("/v1/completions", {"prompt": "hallo"})
    'hallo'
    >>> canonical_text("/v1/chat/completions", {
    ...     "messages": [{"role": "user", "content": "hallo"}]})
    'user\\nhallo\\n'
    """
    if path.endswith("/chat/completions"):
        messages = body.get("messages") or ()
        return "".join(_message_text(message) for message in messages)
    return _content_text(body.get("prompt"))


def estimate_prompt_tokens(text: str) -> int:
    """Estimate the number of tokens in a canonical text.

    Examples
    --------
    >>> estimate_prompt_tokens("x" * 9)
    3
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    return -(-size_bytes // BYTES_PER_TOKEN)


def _digest(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=KEY_BYTES).digest()


def _message_text(message: object) -> str:
    if not isinstance(message, dict):
        return _content_text(message)
    content = _content_text(message.get("content"))
    return f"{message.get('role', '')}\n{content}\n"


def _content_text(content: object) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if _is_parts(content):
        return "".join(str(part.get("text", "")) for part in content)
    return json.dumps(content, ensure_ascii=False)


def _is_parts(content: object) -> bool:
    return isinstance(content, Sequence) and all(
        isinstance(part, dict) for part in content
    )
