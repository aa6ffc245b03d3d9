"""Quarantine of requests that crash engines."""

from toucanrudder.quarantine.entry import Entry
from toucanrudder.quarantine.entry import fingerprint
from toucanrudder.quarantine.entry import InFlight
from toucanrudder.quarantine.entry import Kind
from toucanrudder.quarantine.entry import part_fingerprint
from toucanrudder.quarantine.suspects import Detail
from toucanrudder.quarantine.suspects import Standing
from toucanrudder.quarantine.suspects import SuspectTracker
from toucanrudder.quarantine.suspects import Trial

__all__ = (
    "Detail",
    "Entry",
    "InFlight",
    "Kind",
    "Standing",
    "SuspectTracker",
    "Trial",
    "fingerprint",
    "part_fingerprint",
)
