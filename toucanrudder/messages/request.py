"""A caller's request to a model, checked and ready for decisions."""

import enum

import attrs


class Priority(enum.IntEnum):
    """Priority classes; the smaller value goes first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2

    @property
    def label(self) -> str:
        """The word that headers and metrics use."""
        return self.name.lower()


@attrs.frozen
class ModelRequest:
    """A request to a model.

    Parameters
    ----------
    request_id : str
        Identity that the caller sees.
    organisation : str
        Whose request it is.
    priority : Priority
        Class it runs in.
    path : str
        ``/v1/completions`` or ``/v1/chat/completions``.
    model : str
        Model's name.
    stream : bool
        Whether the caller wants server-sent events.
    prompt_tokens : int
        Tokens of the prompt, estimated.
    prefix_keys : tuple of bytes
        Identities of the prompt's blocks, outermost first; 16 bytes each.
    body : dict
        The caller's JSON body.
    body_sha256 : str
        Hex digest of the raw body.
    first_token_by_s : float
        Monotonic time by which the first token must be sent.
    """

    request_id: str
    organisation: str
    priority: Priority
    path: str
    model: str
    stream: bool
    prompt_tokens: int
    prefix_keys: tuple[bytes, ...]
    body: dict = attrs.field(repr=False)
    body_sha256: str
    first_token_by_s: float
