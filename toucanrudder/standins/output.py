"""What the engine stand-in answers: a function of prompt and position.

A test can therefore tell whose answer it is, and whether an event is
missing, without asking the engine.
"""

import functools
import hashlib
import json

import attrs

CHAT = "/v1/chat/completions"
DONE = "[DONE]"


def canonical_text(path: str, body: dict) -> str:
    """Return the text that the prompt's tokens are taken from.

    Examples
    --------
    >>> canonical_text("/v1/completions", {"prompt": "Is it clear?"})
    'Is it clear?'
    """
    if path != CHAT:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "".join(prompt)
    return "".join(
        f"{message['role']}\n{_content(message.get('content'))}\n"
        for message in body["messages"]
    )


def _content(content: object) -> str:
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return content or ""


def word(prompt_sha256: str, number: int) -> str:
    """Return the text of the event `number` of the answer to a prompt."""
    return f"{prompt_sha256[:8]}.{number} "


def expected_text(path: str, body: dict) -> str:
    """Return the whole answer that any engine gives to this request.

    Examples
    --------
    >>> expected_text("/v1/completions", {"prompt": "", "max_tokens": 2})
    'e3b0c442.1 e3b0c442.2 '
    """
    digest = hashlib.sha256(canonical_text(path, body).encode()).hexdigest()
    return "".join(
        word(digest, number) for number in range(1, max_tokens(body) + 1)
    )


def max_tokens(body: dict) -> int:
    """Return how many tokens the answer to this request has."""
    return int(body.get("max_tokens") or 16)


@attrs.define
class Writer:
    """Makes the chunks of one answer.

    Parameters
    ----------
    request_id : str
        Identity of the try; each chunk's ``id`` ends with it.
    path : str
        Path of the call, which decides the shape.
    model : str
        Model's name.
    prompt_sha256 : str
        Digest of the canonical text.
    created_s : int
        Wall clock time of the answer.
    """

    request_id: str
    path: str
    model: str
    prompt_sha256: str
    created_s: int
    _frame: tuple[str, str] | None = None

    def event(self, number: int) -> bytes:
        """Return the server-sent event of one token."""
        if number == 1 and self.path == CHAT:
            delta = {
                "role": "assistant",
                "content": word(self.prompt_sha256, 1),
            }
            return _event(1, json.dumps(self._chunk(delta)))
        if self._frame is None:
            before, after = json.dumps(self._chunk({"content": "@@"})).split(
                "@@"
            )
            self._frame = (before, after)
        before, after = self._frame
        text = word(self.prompt_sha256, number)
        return _event(number, f"{before}{text}{after}")

    def last_event(self, number: int, usage: dict) -> bytes:
        """Return the event with ``finish_reason`` and ``usage``."""
        chunk = self._chunk({}, finish_reason="stop") | {"usage": usage}
        return _event(number, json.dumps(chunk))

    def done_event(self, number: int) -> bytes:
        """Return the event that closes the stream."""
        return _event(number, DONE)

    def whole(self, tokens: int, first: int, usage: dict) -> dict:
        """Return the answer to a request that is not streamed."""
        text = "".join(
            word(self.prompt_sha256, number)
            for number in range(first, tokens + 1)
        )
        if self.path == CHAT:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message}
        else:
            choice = {"index": 0, "text": text}
        return {
            "id": self._identity,
            "object": self._kind,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice | {"finish_reason": "stop"}],
            "usage": usage,
        }

    @property
    def _kind(self) -> str:
        return "chat.completion" if self.path == CHAT else "text_completion"

    @property
    def _identity(self) -> str:
        prefix = "chatcmpl" if self.path == CHAT else "cmpl"
        return f"{prefix}-{self.request_id}"

    def _chunk(self, delta: dict, finish_reason: str | None = None) -> dict:
        if self.path == CHAT:
            choice = {"index": 0, "delta": delta}
            kind = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": delta.get("content", "")}
            kind = self._kind
        return {
            "id": self._identity,
            "object": kind,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice | {"finish_reason": finish_reason}],
        }


@functools.lru_cache(maxsize=1024)
def _id_line(number: int) -> str:
    return f"id: {number}\ndata: "


def _event(number: int, data: str) -> bytes:
    return f"{_id_line(number)}{data}\n\n".encode()
