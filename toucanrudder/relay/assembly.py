"""Builds a whole answer from the chunks of a streamed one."""

from collections.abc import Iterator

import orjson

_OBJECTS = {
    "chat.completion.chunk": "chat.completion",
    "text_completion.chunk": "text_completion",
}


def chunks_of(events: bytes) -> Iterator[dict]:
    """Yield the JSON objects in whole events; the closing one has none."""
    for line in events.split(b"\n"):
        if line.startswith(b"data: {"):
            yield orjson.loads(line[6:])


def merge(into: dict, delta: dict) -> None:
    """Add a delta to what came before it.

    Strings are appended, lists of objects with an ``index`` are merged
    item by item, other lists are extended, and all else is replaced.

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
        before = into.get(key)
        if before is None or value is None:
            into[key] = value if value is not None else before
        elif isinstance(before, str) and isinstance(value, str):
            # Roles and types come once more in some engines' chunks.
            into[key] = value if key in ("role", "type") else before + value
        elif isinstance(before, dict) and isinstance(value, dict):
            merge(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            _merge_items(before, value)
        else:
            into[key] = value


def _merge_items(before: list, items: list) -> None:
    by_index = {
        item["index"]: item
        for item in before
        if isinstance(item, dict) and "index" in item
    }
    for item in items:
        index = item.get("index") if isinstance(item, dict) else None
        if index is not None and index in by_index:
            rest = {k: v for k, v in item.items() if k != "index"}
            merge(by_index[index], rest)
        else:
            before.append(item)


class Assembly:
    """A whole answer in the making."""

    def __init__(self):
        self._head: dict = {}
        self._choices: dict[int, dict] = {}

    def add(self, events: bytes) -> None:
        """Take whole events of the stream."""
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
        whole = self._choices.setdefault(index, {"index": index})
        fields = {k: v for k, v in choice.items() if k != "index"}
        reason = fields.pop("finish_reason", None)
        if reason is not None or "finish_reason" not in whole:
            whole["finish_reason"] = reason
        if "delta" in fields:
            message = whole.setdefault("message", {})
            merge(message, fields.pop("delta") or {})
        merge(whole, fields)

    def answer(self) -> dict:
        """Return the answer in the shape of an unstreamed one."""
        head = dict(self._head)
        head["object"] = _OBJECTS.get(head.get("object"), head.get("object"))
        head["choices"] = [self._choices[i] for i in sorted(self._choices)]
        return head

    def plain_text(self) -> str | None:
        """Return the text if it is all there is, else None.

        More than one choice, tool calls or log probabilities are state
        that ``continue_from`` cannot carry to another engine.
        """
        if not self._choices:
            return ""
        choice = self._choices.get(0, {})
        message = choice.get("message") or {}
        others = (message.get("tool_calls"), choice.get("logprobs"))
        if len(self._choices) > 1 or any(others):
            return None
        return choice.get("text") or message.get("content") or ""

    def usage(self) -> dict | None:
        """Return the last usage that the engine gave."""
        return self._head.get("usage")
