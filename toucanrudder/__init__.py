"""Router for language-model traffic with long shared prompts.

The library is split by subject; the daemons are thin.  Start reading at
:mod:`toucanrudder.router` (the daemon), :mod:`toucanrudder.filters` (what a
request passes through) and :mod:`toucanrudder.controllers` (what keeps the
state those filters decide on).
"""

__version__ = "0.1.0"

__all__ = ("__version__",)
