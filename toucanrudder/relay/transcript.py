"""What a stream has said so far, kept for continuing it elsewhere."""

from toucanrudder.relay import assembly

#: Raw events are folded into text when they exceed this.
FOLD_BYTES = 65_536

#: A longer text is not kept; its stream cannot be continued.
MAX_TEXT_CHARACTERS = 1_000_000


class Transcript:
    """Text of choice 0, gathered lazily.

    Events are kept as bytes and parsed only when they grow large or when
    an engine has crashed: parsing each event would cost the relay more
    than all of its other work.
    """

    def __init__(self):
        self._events: list[bytes] = []
        self._event_bytes = 0
        self._text: list[str] = []
        self._characters = 0
        self._plain = True

    def add(self, events: list[bytes]) -> None:
        """Take events that the caller was given."""
        self._events.extend(events)
        self._event_bytes += sum(map(len, events))
        if self._event_bytes > FOLD_BYTES:
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
        for event in self._events:
            chunk = assembly.chunk_of(event) or {}
            for choice in chunk.get("choices") or ():
                self._fold_choice(choice)
        self._events.clear()
        self._event_bytes = 0

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
