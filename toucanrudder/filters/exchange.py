"""What the filters know of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
import attrs

from toucanrudder import messages
from toucanrudder.document import model

if TYPE_CHECKING:
    from toucanrudder.router import state


@attrs.define
class Exchange:
    """One request on its way through the chain.

    Parameters
    ----------
    http : aiohttp.web.Request
        The request as it came.
    state : state.RouterState
        The router's state.
    request_id : str
        Identity that the caller sees.
    arrived_s : float
        Time by the loop's clock.
    organisation : model.Organisation or None
        Set by the filter that identifies.
    priority : messages.Priority
        Set by the filter that identifies.
    raw : bytes
        The request's body, set by the filter that reads it.
    request : messages.ModelRequest or None
        Set by the filter that parses.
    """

    http: web.Request
    state: state.RouterState
    request_id: str
    arrived_s: float
    organisation: model.Organisation | None = None
    priority: messages.Priority = messages.Priority.NORMAL
    raw: bytes = attrs.field(default=b"", repr=False)
    request: messages.ModelRequest | None = None

    @property
    def document(self) -> model.Document:
        """The configuration in force when it is asked for."""
        return self.state.document()
