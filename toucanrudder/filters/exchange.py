"""State of one HTTP request, shared by the filters."""

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
    """One HTTP request that passes through the filter chain.

    Parameters
    ----------
    http : aiohttp.web.Request
        The request as received.
    state : state.RouterState
        The router's state.
    request_id : str
        Request ID returned to the caller.
    arrived_s : float
        Arrival time on the event loop's clock.
    organisation : model.Organisation or None
        Set by the ``identify`` filter.
    priority : messages.Priority
        Set by the ``identify`` filter.
    raw : bytes
        The request's body, set by the ``read_body`` filter.
    request : messages.ModelRequest or None
        Set by the ``parse`` filter.
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
        """The configuration in force at the time of access."""
        return self.state.document()

    def room_group(self, target: str) -> tuple[str, str]:
        """Return what requests have in common that share room in memory.

        Parameters
        ----------
        target : str
            What they ask for.
        """
        organisation = self.organisation
        return organisation.name if organisation else "", target
