"""What a stream has said so far, kept for continuing it elsewhere."""

from toucanrudder.relay import assembly

#: Raw events are folded into text when they exceed this: most streams end
#: before, and what an open one holds stays bounded.
FOLD_BYTES = 262_144

#: A longer text is not kept; its stream cannot be continued.
MAX_TEXT_CHARACTERS = 1_000_000


class Transcript:
    """Text of choice 0, gathered lazily.

    Events are kept as bytes and parsed only when they grow large or when
    an engine has crashed: parsing each event would cost the relay more
    than all of its other work.
    """

    def __init__(self):
        self._blocks: list[bytes] = []
        self._block_bytes = 0
        self._text: list[str] = []
        self._characters = 0
        self._plain = True

    def add(self, events: bytes) -> None:
        """Take events that the caller was given."""
        self._blocks.append(events)
        self._block_bytes += len(events)
        if self._block_bytes > FOLD_BYTES:
            self._fold()

    def text(self) -> str | None:
        """Return the text, or None if it alone can't continue the stream.

        More than one choice, tool calls or log probabilities are state
        that ``continue_from`` cannot carry.
        """
        self._fold()
        if not self._plain or self._characters > MAX_TEXT_CHARACTERS:
            return None
        return "".join(self._text)

    def _fold(self) -> None:
        for chunk in assembly.chunks_of(b"".join(self._blocks)):
            for choice in chunk.get("choices") or ():
                self._fold_choice(choice)
        self._blocks.clear()
        self._block_bytes = 0

    def _fold_choice(self, choice: dict) -> None:
        delta = choice.get("delta") or {}
        if (
            choice.get("index", 0) != 0
            or choice.get("logprobs")
            or delta.get("tool_calls")
        ):
            self._plain = False
        piece = choice.get("text") or delta.get("content") or ""
        if self._plain and self._characters <= MAX_TEXT_CHARACTERS:
            self._text.append(piece)
            self._characters += len(piece)
