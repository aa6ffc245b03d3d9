"""Assembly of an unstreamed answer from the chunks of a stream."""

from collections.abc import Iterator

import orjson

_OBJECTS = {
    "chat.completion.chunk": "chat.completion",
    "text_completion.chunk": "text_completion",
}


def chunks_of(events: bytes) -> Iterator[dict]:
    """Yield the JSON objects of complete events, without ``[DONE]``."""
    for line in events.split(b"\n"):
        if line.startswith(b"data: {"):
            yield orjson.loads(line[6:])


def merge(into: dict, delta: dict) -> None:
    """Merge a delta into the value accumulated so far.

    Strings are appended, lists of objects with an ``index`` are merged
    item by item, other lists are extended, and other values are replaced.

    Examples
    --------
    >>> from toucanrudder.relay import assembly
    >>> message = {"content": "a", "calls": [{"index": 0, "args": "{"}]}
    >>> assembly.merge(
    ...     message, {"content": "b", "calls": [{"index": 0, "args": "}"}]})
    >>> message
    {'content': 'ab', 'calls': [{'index': 0, 'args': '{}'}]}
    """
    for key, value in delta.items():
        current = into.get(key)
        if current is None or value is None:
            into[key] = value if value is not None else current
        elif isinstance(current, str) and isinstance(value, str):
            # Some engines repeat the role or type in later chunks.
            into[key] = value if key in ("role", "type") else current + value
        elif isinstance(current, dict) and isinstance(value, dict):
            merge(current, value)
        elif isinstance(current, list) and isinstance(value, list):
            _merge_items(current, value)
        else:
            into[key] = value


def _merge_items(current: list, items: list) -> None:
    by_index = {
        item["index"]: item
        for item in current
        if isinstance(item, dict) and "index" in item
    }
    for item in items:
        index = item.get("index") if isinstance(item, dict) else None
        if index is not None and index in by_index:
            rest = {k: v for k, v in item.items() if k != "index"}
            merge(by_index[index], rest)
        else:
            current.append(item)


class Assembly:
    """Accumulator of the chunks of one answer."""

    def __init__(self):
        self._head: dict = {}
        self._choices: dict[int, dict] = {}

    def add(self, events: bytes) -> None:
        """Add complete events of the stream."""
        for chunk in chunks_of(events):
            self._add_chunk(chunk)

    def _add_chunk(self, chunk: dict) -> None:
        for key, value in chunk.items():
            if key == "choices":
                continue
            if value is not None or key not in self._head:
                self._head[key] = value
        for choice in chunk.get("choices") or ():
            self._add_choice(choice)

    def _add_choice(self, choice: dict) -> None:
        index = choice.get("index", 0)
        merged = self._choices.setdefault(index, {"index": index})
        fields = {k: v for k, v in choice.items() if k != "index"}
        reason = fields.pop("finish_reason", None)
        if reason is not None or "finish_reason" not in merged:
            merged["finish_reason"] = reason
        if "delta" in fields:
            message = merged.setdefault("message", {})
            merge(message, fields.pop("delta") or {})
        merge(merged, fields)

    def answer(self) -> dict:
        """Return the answer in the format of an unstreamed one."""
        head = dict(self._head)
        head["object"] = _OBJECTS.get(head.get("object"), head.get("object"))
        head["choices"] = [self._choices[i] for i in sorted(self._choices)]
        return head

    def plain_text(self) -> str | None:
        """Return the text if the answer consists of one text only, else None.

        ``continue_from`` cannot represent more than one choice, tool calls
        or log probabilities.
        """
        if not self._choices:
            return ""
        choice = self._choices.get(0, {})
        message = choice.get("message") or {}
        non_text = (message.get("tool_calls"), choice.get("logprobs"))
        if len(self._choices) > 1 or any(non_text):
            return None
        return choice.get("text") or message.get("content") or ""

    def usage(self) -> dict | None:
        """Return the last usage reported by the engine."""
        return self._head.get("usage")
