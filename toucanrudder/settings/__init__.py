"""Settings of the router daemons, read from INI files."""

from toucanrudder.settings.loading import load
from toucanrudder.settings.options import GROUPS

__all__ = ("GROUPS", "load")
