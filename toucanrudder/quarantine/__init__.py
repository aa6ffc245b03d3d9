"""Bounds the engines that one request can crash."""

from toucanrudder.quarantine.entry import Entry
from toucanrudder.quarantine.entry import fingerprint
from toucanrudder.quarantine.entry import InFlight
from toucanrudder.quarantine.entry import Kind
from toucanrudder.quarantine.suspicion import Detail
from toucanrudder.quarantine.suspicion import Standing
from toucanrudder.quarantine.suspicion import Suspicions
from toucanrudder.quarantine.suspicion import Trial

__all__ = (
    "Detail",
    "Entry",
    "InFlight",
    "Kind",
    "Standing",
    "Suspicions",
    "Trial",
    "fingerprint",
)
