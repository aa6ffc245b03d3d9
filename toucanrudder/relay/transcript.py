"""Text of a stream so far, kept to continue it at another engine."""

from toucanrudder.relay import assembly

#: Raw events are parsed into text when they exceed this size.  Most
#: streams end before, and the memory of an open one stays bounded.
MAX_UNPARSED_BYTES = 262_144

#: A stream with a longer text cannot be continued; the rest is not kept.
MAX_TEXT_CHARACTERS = 1_000_000


class Transcript:
    """Text of choice 0, parsed lazily.

    Events are kept as bytes and parsed only when they exceed a size limit
    or the text is needed after an engine failure.  Parsing each event
    would cost the relay more than all its other work.
    """

    def __init__(self):
        self._blocks: list[bytes] = []
        self._block_bytes = 0
        self._text: list[str] = []
        self._characters = 0
        self._is_text_only = True

    def add(self, events: bytes) -> None:
        """Add events that are sent to the caller."""
        self._blocks.append(events)
        self._block_bytes += len(events)
        if self._block_bytes > MAX_UNPARSED_BYTES:
            self._parse_blocks()

    def text(self) -> str | None:
        """Return the text, or None if it can't be used to continue.

        ``continue_from`` cannot represent more than one choice, tool calls
        or log probabilities.
        """
        self._parse_blocks()
        if not self._is_text_only or self._characters > MAX_TEXT_CHARACTERS:
            return None
        return "".join(self._text)

    def _parse_blocks(self) -> None:
        for chunk in assembly.chunks_of(b"".join(self._blocks)):
            for choice in chunk.get("choices") or ():
                self._add_choice(choice)
        self._blocks.clear()
        self._block_bytes = 0

    def _add_choice(self, choice: dict) -> None:
        delta = choice.get("delta") or {}
        if (
            choice.get("index", 0) != 0
            or choice.get("logprobs")
            or delta.get("tool_calls")
        ):
            self._is_text_only = False
        piece = choice.get("text") or delta.get("content") or ""
        if self._is_text_only and self._characters <= MAX_TEXT_CHARACTERS:
            self._text.append(piece)
            self._characters += len(piece)
