"""Choice of the upstream for a request."""

from toucanrudder.placement.types import Decision
from toucanrudder.placement.types import FleetView
from toucanrudder.placement.types import UpstreamView

__all__ = ("Decision", "FleetView", "UpstreamView")
